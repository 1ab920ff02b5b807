"""Support for knowing whether the platform's store answers."""

import math
import threading
from collections.abc import Callable
from typing import Final

from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.log import get_logger

# For how long another router's word counts that the store answers it. It is
# asked again with each failed call: one second for the call, two halves for
# two routers, and the pause.
SERVED_OTHERS_S: Final = 2.5

log = get_logger("mirror")


class StoreHealth:
    """What this instance's own calls show of the platform's store.

    Attributes:
        settle_s: Seconds after the store's return in which its lists may
            still lack entries.
        doubt_s: Returns how long after the beginning of the last failed call
            that may be doubted at most.
        restored_s: Returns how long after the last answer before the store's
            return from a copy that may be doubted at most.
        answered_at: Monotonic time of the last answer.
        restored_until: Monotonic time up to which lists may lack entries that
            the store lost, and its copy may show older ones.
        away: Whether the last call failed.
        failed_from: Monotonic time at which the last failed call began.
        returned_at: Monotonic time of the last return.
        lost_at: Monotonic time at which the first failed call ended.
        served_others_at: Latest moment for which another router says that
            the store answered it.
        others_doubt: Returns whether the routers that this one takes its
            news from doubt what is missing.
        on_answer: Called with each answered call.
        clock: The time it goes by.
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
        """Start with a store that answers."""
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
        """Whether a missing entry need not mean that something is gone.

        Entries lapse while the store is away. Where it was this instance that
        was cut off while others were served, nothing lapsed, and an entry that
        is missing left.

        Doubt ends before this router counts as undisturbed again: from then
        on whatever left must get nothing. A call that failed was begun before
        the disturbance ended, so its beginning is the moment to go by; the
        return as this router sees it comes up to three seconds later, and
        moves on with each call that fails late: going by it alone, instances
        would get work after the bound.
        """
        now = self.clock.now()
        if now < self.restored_until:
            return True
        since = now if self.away else self.returned_at
        # What was answered before the first call failed says nothing: others
        # may not have called since.
        if self.served_others_at > max(since - SERVED_OTHERS_S, self.lost_at):
            return False
        return self.doubt_left_s > 0.0 or self.others_doubt()

    @property
    def doubt_left_s(self) -> float:
        """Seconds for which this router's own calls give reason to doubt."""
        if self.away:
            return math.inf
        over_at = self.restored_until
        if self.returned_at:
            settled_at = self.returned_at + self.settle_s
            left_at = min(settled_at, self.failed_from + self.doubt_s())
            over_at = max(over_at, left_at)
        return max(over_at - self.clock.now(), 0.0)

    def failed(self, kind: str, error: str, began: float) -> None:
        """Count a failed call that did not wait for news.

        A watch that fails says nothing of the store: it may be cut at any
        time, and its connection may have gone silent alone.

        Args:
            kind: The kind that was asked for.
            error: How it failed.
            began: Monotonic time at which it began.
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
        """Note a moment at which the store answered another router."""
        with self._lock:
            self.served_others_at = max(self.served_others_at, at)

    def restored(self) -> None:
        """Reckon with a store that is back from a copy.

        Its writers write again what it lost, within the same time as entries
        that lapsed in an outage; a short one need not have shown otherwise.
        """
        with self._lock:
            settled_at = self.clock.now() + self.settle_s
            self.restored_until = min(
                settled_at, self.answered_at + self.restored_s()
            )

    def answered(self, kind: str) -> None:
        """Count a call that was answered."""
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
