"""Support for finding the instance that an attempt goes to."""

import time
from collections.abc import Collection
from dataclasses import dataclass

from lacewingdock.components.shifts import VersionRule
from lacewingdock.components.upstreams.choice import Chooser, Reservation
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.helpers.log import get_logger

log = get_logger("gateway")


@dataclass(slots=True, frozen=True)
class Seeker:
    """A request that is to be placed.

    Attributes:
        service: The service that it goes to.
        rule: The versions and instances that may run it.
        unread: What it has to read, as `Chooser.choose` takes it.
        tried: The instances that it was at, by their starts.
        request: Its id.
        turn_by: Monotonic time up to which it waits for its turn at an
            instance that takes few, where there is no other.
    """

    service: str
    rule: VersionRule
    unread: float
    tried: Collection[str]
    request: str
    turn_by: float

    def allows(self, instance: UpstreamInstance) -> bool:
        """Whether an instance may run it."""
        return self.rule.admits(instance.entry)


@dataclass(slots=True, frozen=True)
class NoPlace:
    """No instance takes a request now.

    Attributes:
        after_s: Seconds after which one may; None where that is not known.
    """

    after_s: float | None


def find_place(
    chooser: Chooser, seeker: Seeker
) -> UpstreamInstance | Reservation | NoPlace:
    """Return where a request goes now, counted in there.

    Where all that may run it take few, it is a turn that is yet to come.
    """
    chosen = chooser.choose(
        seeker.service,
        seeker.allows,
        seeker.unread,
        seeker.tried,
        seeker.request,
    )
    if chosen is not None:
        return chosen
    turn = chooser.reserve(
        seeker.service, seeker.allows, seeker.unread, seeker.turn_by
    )
    if turn is not None:
        return turn
    return NoPlace(chooser.next_send_s(seeker.service, seeker.allows))


def place(chooser: Chooser, seeker: Seeker) -> UpstreamInstance | NoPlace:
    """Return the instance that a request goes to, once it is its turn."""
    while True:
        found = find_place(chooser, seeker)
        if not isinstance(found, Reservation):
            return found
        wait_s = max(found.at - time.monotonic(), 0.0)
        log.info(
            "waits for its turn",
            request=seeker.request,
            upstream=found.instance.entry.id,
            state=found.instance.state(found.at),
            wait_s=round(wait_s, 3),
        )
        time.sleep(wait_s)
        if found.instance.accepts_requests(time.monotonic()):
            return found.instance
        # It left or was cordoned meanwhile.
        chooser.began(found.instance, seeker.unread)
        chooser.done(found.instance)
