"""Rate limit of the calls that one daemon makes to the platform."""

import threading
import time
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError

# Calls a second. The busiest daemon by design makes half of them: a sidecar
# that is home to all eight claim partitions of a service writes up to 200 times
# a second.
CALLS_PER_S: Final = 400.0
# Calls that may be made at once after a pause.
BURST: Final = 400.0


class CallBudget:
    """Token bucket for all calls of one daemon.

    It keeps a faulty daemon that calls in a loop without a pause from
    overloading the platform for all others. It does not divide the platform's
    capacity among the daemons, whose calls by design are far below this limit
    (docs/CAPACITY.md).

    Attributes:
        rate: Sustained rate, in calls a second.
        burst: Size of the bucket, in calls.
        left: Calls left in the bucket.
        refused: Number of calls refused.
    """

    __slots__ = ("_lock", "_refilled_at", "burst", "left", "rate", "refused")

    def __init__(self, rate: float = CALLS_PER_S, burst: float = BURST) -> None:
        """Start with a full bucket of the given rate and size."""
        self.rate = rate
        self.burst = burst
        self.left = burst
        self.refused = 0
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()

    def take(self) -> None:
        """Acquire the permission for one call.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE, not run, if the bucket is
                empty.
        """
        with self._lock:
            now = time.monotonic()
            refilled = self.left + (now - self._refilled_at) * self.rate
            self.left = min(self.burst, refilled)
            self._refilled_at = now
            if self.left < 1.0:
                self.refused += 1
                raise LacewingdockError(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "this daemon's call budget for the platform is exhausted",
                    retry_after_s=1.0 / self.rate,
                )
            self.left -= 1.0
