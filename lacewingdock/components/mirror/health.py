"""Availability of the platform's store as this router observes it."""

import math
import threading
from collections.abc import Callable
from typing import Final

from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.log import get_logger

# Seconds for which another router's report that the store answers it is valid.
# Each failed call asks again: one second for the call, half a second for each
# of two routers, and the backoff.
SERVED_OTHERS_S: Final = 2.5

log = get_logger("mirror")


class StoreHealth:
    """Availability of the platform's store, judged by this router's calls.

    Attributes:
        settle_s: Seconds after the store's return in which its lists may
            still lack entries.
        doubt_s: Returns the longest time in seconds, from the beginning of the
            last failed call, for which missing entries may be doubted.
        restored_s: Returns the longest time in seconds for which missing
            entries may be doubted after the store's return from a backup, from
            the last answer before that return.
        answered_at: Monotonic time of the last answer.
        restored_until: Monotonic time up to which lists may lack entries that
            a restored store lost, and may show older versions of others.
        away: Whether the last call failed.
        failed_from: Monotonic time at which the last failed call began.
        returned_at: Monotonic time of the last return of the store.
        lost_at: Monotonic time at which the first failed call ended.
        served_others_at: Latest time for which another router reports that
            the store answered it.
        others_doubt: Returns whether the routers from which this one gets its
            changes doubt missing entries.
        on_answer: Called with each answered call.
        clock: Source of time.
    """

    __slots__ = (
        "_lock",
        "answered_at",
        "away",
        "clock",
        "doubt_s",
        "failed_from",
        "lost_at",
        "on_answer",
        "others_doubt",
        "restored_s",
        "restored_until",
        "returned_at",
        "served_others_at",
        "settle_s",
    )

    def __init__(
        self,
        settle_s: float,
        doubt_s: Callable[[], float] = lambda: math.inf,
        clock: Clock = STEADY,
        restored_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        """Build the state of a store that answers."""
        self.settle_s = settle_s
        self.doubt_s = doubt_s
        self.restored_s = restored_s
        self.answered_at = 0.0
        self.restored_until = -math.inf
        self.clock = clock
        self.away = False
        self.failed_from = 0.0
        self.lost_at = -math.inf
        self.returned_at = 0.0
        self.served_others_at = -math.inf
        self.others_doubt: Callable[[], bool] = lambda: False
        self.on_answer: Callable[[], None] = lambda: None
        self._lock = threading.Lock()

    @property
    def doubtful(self) -> bool:
        """Whether a missing entry may belong to an instance that still runs.

        Entries expire while the store is unavailable, as nobody can renew
        them. If only this router was partitioned from the store, no entry
        expired, and a missing entry means that its instance left.

        Doubt must end before this router counts as undisturbed again: from
        then on an instance that left must get no requests. Any failed call
        began before the disturbance ended, so the bound is measured from its
        beginning. The return that this router observes is up to three seconds
        later, and later still with each call that fails late; with that time
        alone, instances would get requests after the bound.
        """
        now = self.clock.now()
        if now < self.restored_until:
            return True
        since = now if self.away else self.returned_at
        # An answer to another router before this router's first failed call
        # proves nothing: that router may not have called since.
        if self.served_others_at > max(since - SERVED_OTHERS_S, self.lost_at):
            return False
        return self.doubt_left_s > 0.0 or self.others_doubt()

    @property
    def doubt_left_s(self) -> float:
        """Seconds for which this router's own calls cast doubt on lists."""
        if self.away:
            return math.inf
        over_at = self.restored_until
        if self.returned_at:
            settled_at = self.returned_at + self.settle_s
            left_at = min(settled_at, self.failed_from + self.doubt_s())
            over_at = max(over_at, left_at)
        return max(over_at - self.clock.now(), 0.0)

    def failed(self, kind: str, error: str, began: float) -> None:
        """Record a failed call that did not wait for changes.

        A failed watch proves nothing about the store: it may be cut off at any
        time, and its connection alone may have gone silent.

        Args:
            kind: Kind of the requested objects.
            error: Cause of the failure.
            began: Monotonic time at which the call began.
        """
        with self._lock:
            lost = not self.away
            self.away = True
            self.failed_from = max(self.failed_from, began)
            if lost:
                self.lost_at = self.clock.now()
        if lost:
            log.warning("store lost", kind=kind, error=error)

    def served_others(self, at: float) -> None:
        """Record a time at which the store answered another router."""
        with self._lock:
            self.served_others_at = max(self.served_others_at, at)

    def restored(self) -> None:
        """Record that the store is back from a backup, without later writes.

        Its writers repeat the lost writes within the same time as they renew
        entries that expired in an outage. A short outage may show in no other
        way than by this call.
        """
        with self._lock:
            settled_at = self.clock.now() + self.settle_s
            self.restored_until = min(
                settled_at, self.answered_at + self.restored_s()
            )

    def answered(self, kind: str) -> None:
        """Record an answered call."""
        self.on_answer()
        with self._lock:
            self.answered_at = self.clock.now()
            returned = self.away
            self.away = False
            if returned:
                self.returned_at = self.clock.now()
        if returned:
            since_s = round(self.returned_at - self.failed_from, 3)
            log.info("store back", kind=kind, since_failed_call_s=since_s)
