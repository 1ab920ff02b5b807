"""Support for the signals that upstream instances send in their answers.

An overloaded instance announces a limit on the rate of requests from all
routers together, for as long as the limit holds. Each router trusts the limits
that an instance announced to it, and reports them to the other routers, which
obey them before they get them in an answer themselves.

A leaving instance announces it in its entry, and in all its answers, also while
it cannot write to the store. This is final for that start. Routers do not
report it to each other: each learns it from the store or with its first answer,
and a forged message must not empty a service.

An instance that turns a request away may ask the router for a rest: the backoff
of Retry-After. It holds for that router only; a request of another router may
be served.

Signals belong to one start of an instance and outlive its entry: an entry that
comes back after an outage of the store does not void them.
"""

import threading
from dataclasses import dataclass, field
from typing import Final

from lacewingdock.components.upstreams.limits import RateLimit
from lacewingdock.components.upstreams.rest import Rest
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.lru import insert_lru
from lacewingdock.world.backend import UpstreamEntry
from lacewingdock.world.call import ResponseHead

# Most starts of instances whose signals are kept; more than a fleet has.
MAX_REMEMBERED: Final = 16_384
# Smallest relative change of a limit that is logged again.
LOGGED_CHANGE: Final = 0.1

log = get_logger("signals")


@dataclass(slots=True)
class Signals:
    """The signals of one start of an instance.

    Attributes:
        limit: The announced rate limit.
        leaving_since: Monotonic time at which the start first announced that
            it is leaving; None before.
        entry_left: Whether its entry announced that it is leaving.
        rest: The rest that it asked for.
    """

    limit: RateLimit = field(default_factory=RateLimit)
    leaving_since: float | None = None
    entry_left: bool = False
    rest: Rest = field(default_factory=Rest)

    @property
    def leaving(self) -> bool:
        """Whether the start announced that it is leaving."""
        return self.leaving_since is not None


class SignalMemory:
    """Keeps the signals of instances; safe to use from any task.

    Attributes:
        clock: Source of monotonic time.
        by_incarnation: The signals of each start, the last used at the end.
        leavings_said: Number of starts that announced that they are leaving.
        limits_named: Number of times that a limit began.
        rests_asked: Number of times that a rest began.
    """

    __slots__ = (
        "_lock",
        "by_incarnation",
        "clock",
        "leavings_said",
        "limits_named",
        "rests_asked",
    )

    def __init__(self, clock: Clock = STEADY) -> None:
        """Create an empty memory."""
        self.clock = clock
        self.by_incarnation: dict[str, Signals] = {}
        self.leavings_said = 0
        self.limits_named = 0
        self.rests_asked = 0
        self._lock = threading.Lock()

    def of(self, incarnation: str) -> Signals:
        """Return the signals of a start, new ones if there are none."""
        with self._lock:
            found = self.by_incarnation.get(incarnation) or Signals()
            insert_lru(self.by_incarnation, incarnation, found, MAX_REMEMBERED)
        return found

    def announced_leaving(self, incarnation: str) -> bool:
        """Whether a start announced that it is leaving."""
        found = self.by_incarnation.get(incarnation)
        return found is not None and found.leaving

    def record_leaving_entry(self, signals: Signals) -> None:
        """Record that a start's entry announces that it is leaving."""
        with self._lock:
            signals.entry_left = True
            if signals.leaving_since is None:
                signals.leaving_since = self.clock.now()

    def answered(
        self,
        entry: UpstreamEntry,
        signals: Signals,
        head: ResponseHead,
        sent_at: float,
    ) -> bool:
        """Apply the signals in an answer.

        Args:
            entry: The entry of the instance.
            signals: The signals of the start, which are updated.
            head: Head of the answer.
            sent_at: Monotonic time at which the request was sent.

        Returns:
            Whether the limit changed and is to be reported to the other
            routers.
        """
        if head.misdirected or head.instance not in ("", entry.id):
            # Another instance runs at its address.
            return False
        now, limit = self.clock.now(), signals.limit
        before = limit.own_per_s
        with self._lock:
            self._apply_limit(limit, head, sent_at, now)
            leaves = head.leaving and not signals.leaving
            if leaves:
                signals.leaving_since = now
                self.leavings_said += 1
            rests = self._apply_rest(signals.rest, head, sent_at, now)
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

    def apply_peer_limit(
        self,
        entry: UpstreamEntry,
        limit: RateLimit,
        per_s: float,
        observed_at: float,
        router: str,
    ) -> None:
        """Apply a limit that another router reports.

        Args:
            entry: The entry of the instance.
            limit: The limit of the instance, which is updated.
            per_s: Requests a second.
            observed_at: Monotonic time at which that router observed it.
            router: Name of the router.
        """
        now = self.clock.now()
        with self._lock:
            was_limited = limit.at(now) is not None
            if not limit.apply_peer(per_s, observed_at, now):
                return
            self.limits_named += not was_limited
        _log_limit(entry, limit, now, router)

    def _apply_limit(
        self, limit: RateLimit, head: ResponseHead, sent_at: float, now: float
    ) -> None:
        if head.limit_per_s is not None:
            self.limits_named += limit.at(now) is None
            limit.set_own(head.limit_per_s, sent_at, now)
        elif _ran_and_signed(head) and not head.limit_malformed:
            limit.clear_own(sent_at)

    def _apply_rest(
        self, rest: Rest, head: ResponseHead, sent_at: float, now: float
    ) -> bool:
        """Apply the rest in an answer; return whether a rest begins."""
        if head.rest_s is None:
            if _ran_and_signed(head):
                rest.record_served(sent_at)
            return False
        was_at_rest = now < rest.until
        rest.extend(head.rest_s, now)
        begins = now < rest.until and not was_at_rest
        self.rests_asked += begins
        return begins


def _ran_and_signed(head: ResponseHead) -> bool:
    """Whether an answer without a signal proves that there is none.

    An instance that did not run a request may not have reached the point where
    it adds signals, and an answer without a signature may come from elsewhere.
    """
    return head.sealed and not head.not_run


def _log_limit(
    entry: UpstreamEntry, limit: RateLimit, now: float, source: str
) -> None:
    """Log a limit that began, ended or changed.

    Args:
        entry: The entry of the instance.
        limit: The limit.
        now: Monotonic time.
        source: "answer", or the name of the router that reported it.
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
