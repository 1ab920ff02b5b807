"""Support for how much slower than at rest a service's streams go on."""

import threading
from typing import Final

from lacewingdock.helpers.clock import STEADY, Clock

# The pause between two events of a stream is the time of some steps of its
# engine, whichever model answers. Each step also reads a chunk of the prompts
# that wait, so pauses grow with what is to be read, at once and by ten times:
# before answers begin late, which those that wait do not show yet.

# Weight of a pause in the mean: counted by events and not by time, the mean
# follows a crowd within a second.
WEIGHT: Final = 0.04
# Time in which the mean loses half of what is above rest while nothing comes.
HALF_LIFE_S: Final = 0.7
# The pause at rest is the quantile of streams' mean pauses of which this part
# is shorter, moved by this step of its logarithm with each stream, so that a
# crowd hardly raises it.
REST_QUANTILE: Final = 0.1
REST_STEP: Final = 0.05
# Streams that must have ended before a slowdown is told.
MIN_STREAMS: Final = 8


class Slowdown:
    """How much slower than at rest a service's streams go on.

    Attributes:
        clock: The time it goes by.
        rest_s: Seconds between two events at rest; 0 while unknown.
        mean_s: Mean seconds between two events lately.
        streams: Streams that ended.
        at: Monotonic time of the last event.
    """

    __slots__ = ("_lock", "at", "clock", "mean_s", "rest_s", "streams")

    def __init__(self, clock: Clock = STEADY) -> None:
        """Start at rest."""
        self.clock = clock
        self.rest_s = 0.0
        self.mean_s = 0.0
        self.streams = 0
        self.at = self.clock.now()
        self._lock = threading.Lock()

    def paused(self, seconds: float) -> None:
        """Take the pause between two events of a stream."""
        with self._lock:
            self.mean_s += WEIGHT * (seconds - self.mean_s)
            self.at = self.clock.now()

    def ended(self, mean_s: float) -> None:
        """Take the mean pause of a stream that ended."""
        if mean_s <= 0.0:
            return
        with self._lock:
            self.streams += 1
            if not self.rest_s or self.streams < MIN_STREAMS:
                self.rest_s = min(self.rest_s or mean_s, mean_s)
            elif mean_s < self.rest_s:
                self.rest_s *= 1.0 - REST_STEP * (1.0 - REST_QUANTILE)
            else:
                self.rest_s *= 1.0 + REST_STEP * REST_QUANTILE

    def now(self) -> float:
        """Return the mean pause in times the one at rest; 1 at rest."""
        if self.streams < MIN_STREAMS:
            return 1.0
        return max(self.pause_s() / self.rest_s, 1.0)

    def pause_s(self) -> float:
        """Return the mean pause lately, in seconds; fading while none ends."""
        with self._lock:
            idle_s = self.clock.now() - self.at - self.mean_s
            fading = 0.5 ** (max(idle_s, 0.0) / HALF_LIFE_S)
            return float(self.mean_s * fading)
