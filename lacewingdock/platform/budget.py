"""Support for bounding the calls that one daemon makes to the platform."""

import threading
import time
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError

# Twice what the busiest daemon makes by design: a sidecar that is home to all
# eight claim partitions of a service writes up to 200 times a second.
CALLS_PER_S: Final = 400.0
BURST: Final = 400.0


class CallBudget:
    """A token bucket over all calls of one daemon.

    It does not share the platform out among the daemons: what each does by
    design is far below (docs/CAPACITY.md). It keeps a fault in one daemon, a
    loop without a pause, from taking the platform away from all others.

    Attributes:
        rate: Calls a second in the long run.
        burst: Calls that may come at once.
        left: Calls left now.
        refused: Calls refused so far.
    """

    __slots__ = ("_at", "_lock", "burst", "left", "rate", "refused")

    def __init__(self, rate: float = CALLS_PER_S, burst: float = BURST) -> None:
        """Start full."""
        self.rate = rate
        self.burst = burst
        self.left = burst
        self.refused = 0
        self._at = time.monotonic()
        self._lock = threading.Lock()

    def take(self) -> None:
        """Take one call.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE, not run, when none is
                left.
        """
        with self._lock:
            now = time.monotonic()
            grown = self.left + (now - self._at) * self.rate
            self.left = min(self.burst, grown)
            self._at = now
            if self.left < 1.0:
                self.refused += 1
                raise LacewingdockError(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "this daemon's platform calls are used up",
                    retry_after_s=1.0 / self.rate,
                )
            self.left -= 1.0
