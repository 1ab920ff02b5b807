"""Support for knowing whether the platform's store answers."""

import math
import threading
from typing import Final

from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.log import get_logger

# For how long another router's word counts that the store answers it. It is
# asked again with each failed call, half a second apart at most.
SERVED_OTHERS_S: Final = 1.5

log = get_logger("mirror")


class StoreHealth:
    """What this instance's own calls show of the platform's store.

    Attributes:
        settle_s: Seconds after the store's return in which its lists may
            still lack entries.
        away: Whether the last call failed.
        failed_at: Monotonic time of the last failure.
        returned_at: Monotonic time of the last return.
        served_others_at: Monotonic time at which another router last said
            that the store answers it.
        clock: The time it goes by.
    """

    __slots__ = (
        "_lock",
        "away",
        "clock",
        "failed_at",
        "returned_at",
        "served_others_at",
        "settle_s",
    )

    def __init__(self, settle_s: float, clock: Clock = STEADY) -> None:
        """Start with a store that answers."""
        self.settle_s = settle_s
        self.clock = clock
        self.away = False
        self.failed_at = 0.0
        self.returned_at = 0.0
        self.served_others_at = -math.inf
        self._lock = threading.Lock()

    @property
    def doubtful(self) -> bool:
        """Whether a missing entry need not mean that something is gone.

        Entries lapse while the store is away. Where it was this instance that
        was cut off while others were served, nothing lapsed, and an entry that
        is missing left.
        """
        now = self.clock.now()
        since = now if self.away else self.returned_at
        if self.served_others_at > since - SERVED_OTHERS_S:
            return False
        recent = now < self.returned_at + self.settle_s
        return self.away or (recent and self.returned_at > 0)

    def failed(self, kind: str, error: str) -> None:
        """Count a failed call."""
        with self._lock:
            lost = not self.away
            self.away = True
            self.failed_at = self.clock.now()
        if lost:
            log.warning("store lost", kind=kind, error=error)

    def answered(self, kind: str) -> bool:
        """Count a call that was answered; return whether the store is back."""
        with self._lock:
            returned = self.away
            self.away = False
            if returned:
                self.returned_at = self.clock.now()
        if returned:
            away_s = round(self.returned_at - self.failed_at, 3)
            log.info("store back", kind=kind, since_last_failure_s=away_s)
        return returned
