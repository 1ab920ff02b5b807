"""Support for placing an attempt on an upstream instance.

A paced instance is cold, names a rate limit, or asked for a backoff by
Retry-After: requests are sent to it one by one, each in its turn.
"""

import time
from collections.abc import Collection
from dataclasses import dataclass

from lacewingdock.components.traffic_shifting import VersionRule
from lacewingdock.components.upstreams.choice import Chooser, Reservation
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.helpers.log import get_logger

log = get_logger("gateway")


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """A request for which an instance is to be chosen.

    Attributes:
        service: The service that the request is routed to.
        rule: The versions and instances that may run the request.
        unread: Prompt work of the request, in the unit of `Chooser.choose`.
        tried: Incarnations of the instances that the request has reached.
        request: Id of the request.
        turn_deadline: Monotonic time up to which the request waits for a turn
            at a paced instance, where no other instance accepts it.
    """

    service: str
    rule: VersionRule
    unread: float
    tried: Collection[str]
    request: str
    turn_deadline: float

    def allows(self, instance: UpstreamInstance) -> bool:
        """Return whether an instance may run the request."""
        return self.rule.admits(instance.entry)


@dataclass(slots=True, frozen=True)
class NoInstance:
    """No instance accepts the request at present.

    Attributes:
        after_s: Seconds after which an instance may accept it; None where
            that is unknown.
    """

    after_s: float | None


def find_instance(
    chooser: Chooser, placement_request: PlacementRequest
) -> UpstreamInstance | Reservation | NoInstance:
    """Choose an instance for a request, and count the request as running there.

    Where only paced instances may run the request, and none has a turn now, a
    later turn is reserved and returned.
    """
    chosen = chooser.choose(
        placement_request.service,
        placement_request.allows,
        placement_request.unread,
        placement_request.tried,
        placement_request.request,
    )
    if chosen is not None:
        return chosen
    turn = chooser.reserve(
        placement_request.service,
        placement_request.allows,
        placement_request.unread,
        placement_request.turn_deadline,
    )
    if turn is not None:
        return turn
    return NoInstance(
        chooser.next_send_s(placement_request.service, placement_request.allows)
    )


def wait_for_instance(
    chooser: Chooser, placement_request: PlacementRequest
) -> UpstreamInstance | NoInstance:
    """Choose an instance for a request, and wait for its turn there."""
    while True:
        found = find_instance(chooser, placement_request)
        if not isinstance(found, Reservation):
            return found
        wait_s = max(found.at - time.monotonic(), 0.0)
        log.info(
            "request waits for its turn at a paced instance",
            request=placement_request.request,
            upstream=found.instance.entry.id,
            state=found.instance.state(found.at),
            wait_s=round(wait_s, 3),
        )
        time.sleep(wait_s)
        if found.instance.accepts_requests(time.monotonic()):
            return found.instance
        # The instance left or was cordoned during the wait.
        chooser.began(found.instance, placement_request.unread)
        chooser.done(found.instance)
