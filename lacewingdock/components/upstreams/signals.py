"""Support for what upstream instances say of themselves in their answers.

An instance in need names a limit on the requests that it takes from all
routers together, for as long as that holds. Each router believes what an
instance told it itself. What it hears of a limit it tells the others, which
keep to it before they meet it themselves.

One that leaves says so in all its answers, also while it can't tell the store.
That is final for this start of it. Others are not told: each learns it with
its first answer, and a forged message must not empty a service.

One that turns a request away may want no other of this router for a while.
That is between the two; another router's request may be served.

What is believed belongs to one start of an instance and outlives its entry:
one whose entry comes back after an outage of the store has said what it said.
"""

import threading
from dataclasses import dataclass, field
from typing import Final

from lacewingdock.components.upstreams.limits import Limit
from lacewingdock.components.upstreams.rest import Rest
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.recent import remember
from lacewingdock.world.backend import UpstreamEntry
from lacewingdock.world.call import ResponseHead

# Starts of instances that are remembered; more than a fleet has.
MAX_REMEMBERED: Final = 16_384
# A limit that moves by less than this part is not told of in the log again.
LOGGED_CHANGE: Final = 0.1

log = get_logger("signals")


@dataclass(slots=True)
class Signals:
    """What one start of an instance says of itself.

    Attributes:
        limit: The limit that it names.
        leaving_since: Monotonic time at which it first said that it leaves;
            None while it did not.
        rest: The rest that it asked for.
    """

    limit: Limit = field(default_factory=Limit)
    leaving_since: float | None = None
    rest: Rest = field(default_factory=Rest)

    @property
    def leaving(self) -> bool:
        """Whether it said that it leaves."""
        return self.leaving_since is not None


class SignalMemory:
    """What instances said, by their starts; safe to use from any task.

    Attributes:
        clock: The time it goes by.
        known: What each start said, the latest at the end.
        leavings_said: Starts that said that they leave.
        limits_named: How often a limit began.
        rests_asked: How often a rest began.
    """

    __slots__ = (
        "_lock",
        "clock",
        "known",
        "leavings_said",
        "limits_named",
        "rests_asked",
    )

    def __init__(self, clock: Clock = STEADY) -> None:
        """Start without any."""
        self.clock = clock
        self.known: dict[str, Signals] = {}
        self.leavings_said = 0
        self.limits_named = 0
        self.rests_asked = 0
        self._lock = threading.Lock()

    def of(self, incarnation: str) -> Signals:
        """Return what an instance's start said."""
        with self._lock:
            found = self.known.get(incarnation) or Signals()
            remember(self.known, incarnation, found, MAX_REMEMBERED)
        return found

    def answered(
        self,
        entry: UpstreamEntry,
        signals: Signals,
        head: ResponseHead,
        sent_at: float,
    ) -> bool:
        """Take what an answer says of its instance.

        Args:
            entry: What the platform says of the instance.
            signals: What it said before.
            head: The answer's head.
            sent_at: Monotonic time at which the request was sent.

        Returns:
            Whether there is news for the other routers.
        """
        if head.misdirected or head.instance not in ("", entry.id):
            # Another one lives at its address.
            return False
        now, limit = self.clock.now(), signals.limit
        before = limit.own_per_s
        with self._lock:
            self._take_limit(limit, head, sent_at, now)
            leaves = head.leaving and not signals.leaving
            if leaves:
                signals.leaving_since = now
                self.leavings_said += 1
            rests = self._take_rest(signals.rest, head, sent_at, now)
        _log_limit(entry, limit, now, "answer")
        if leaves:
            log.info("leaving", upstream=entry.id, service=entry.service)
        if rests:
            log.info(
                "rest",
                upstream=entry.id,
                service=entry.service,
                for_s=head.rest_s,
            )
        return limit.own_per_s not in (before, None)

    def told_limit(
        self,
        entry: UpstreamEntry,
        limit: Limit,
        per_s: float,
        heard_at: float,
        router: str,
    ) -> None:
        """Take what another router heard of an instance's limit.

        Args:
            entry: What the platform says of the instance.
            limit: What is believed of it.
            per_s: Requests a second.
            heard_at: Monotonic time at which it heard that.
            router: Its name.
        """
        now = self.clock.now()
        with self._lock:
            was_limited = limit.at(now) is not None
            if not limit.told(per_s, heard_at, now):
                return
            self.limits_named += not was_limited
        _log_limit(entry, limit, now, router)

    def _take_limit(
        self, limit: Limit, head: ResponseHead, sent_at: float, now: float
    ) -> None:
        if head.limit_per_s is not None:
            self.limits_named += limit.at(now) is None
            limit.named(head.limit_per_s, sent_at, now)
        elif _is_own(head) and not head.limit_malformed:
            limit.named_none(sent_at)

    def _take_rest(
        self, rest: Rest, head: ResponseHead, sent_at: float, now: float
    ) -> bool:
        """Take what an answer says of a rest; return whether one begins."""
        if head.rest_s is None:
            if _is_own(head):
                rest.served(sent_at)
            return False
        was_at_rest = now < rest.until
        rest.asked(head.rest_s, now)
        begins = now < rest.until and not was_at_rest
        self.rests_asked += begins
        return begins


def _is_own(head: ResponseHead) -> bool:
    """Whether an answer shows how its instance serves.

    Who did not run a request need not have come to the point of saying so, and
    what bears no signature need not be its word.
    """
    return head.sealed and not head.not_run


def _log_limit(
    entry: UpstreamEntry, limit: Limit, now: float, source: str
) -> None:
    """Log a limit that began, ended or moved.

    Args:
        entry: What the platform says of the instance.
        limit: What is believed of it.
        now: Monotonic time.
        source: "answer", or the router that told.
    """
    before, per_s = limit.logged, limit.at(now)
    if before is None or per_s is None:
        if before is per_s:
            return
    elif abs(per_s - before) <= LOGGED_CHANGE * before:
        return
    limit.logged = per_s
    log.info(
        "limit",
        upstream=entry.id,
        service=entry.service,
        per_s=per_s,
        before=before,
        source=source,
    )
