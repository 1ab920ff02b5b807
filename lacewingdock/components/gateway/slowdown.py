"""Support for measuring how far load slows down a service's streams."""

import threading
from typing import Final

from lacewingdock.helpers.clock import STEADY, Clock

# The pause between two events of a stream is the time of some steps of its
# engine, whichever model answers. Each step also reads a chunk of the queued
# prompts, so pauses grow with the prompt backlog at once, by up to ten times.
# The time to the first event shows the backlog later: requests that still wait
# for their first event contribute no measurement.

# Weight of a pause in the running mean. The mean is weighted by events and not
# by time, so that it follows a load spike within a second.
WEIGHT: Final = 0.04
# Half-life of the mean pause, in seconds, while no events arrive.
HALF_LIFE_S: Final = 0.7
# The pause without load is estimated as this quantile of the mean pauses of
# streams. Each stream moves the estimate by at most this step of its logarithm,
# so that a load spike hardly raises it.
REST_QUANTILE: Final = 0.1
REST_STEP: Final = 0.05
# Streams that must have ended before a slowdown is reported.
MIN_STREAMS: Final = 8


class Slowdown:
    """The pauses in a service's streams, compared with those without load.

    Attributes:
        clock: The clock for all times.
        rest_s: Estimated seconds between two events without load; 0 while
            unknown.
        mean_s: Running mean of the seconds between two events.
        streams: Number of streams that ended.
        at: Monotonic time of the last event.
    """

    __slots__ = ("_lock", "at", "clock", "mean_s", "rest_s", "streams")

    def __init__(self, clock: Clock = STEADY) -> None:
        """Create the estimate for a service without any streams yet."""
        self.clock = clock
        self.rest_s = 0.0
        self.mean_s = 0.0
        self.streams = 0
        self.at = self.clock.now()
        self._lock = threading.Lock()

    def paused(self, seconds: float) -> None:
        """Add the pause between two events of a stream to the mean.

        Takes no lock: every event of every stream passes here, and under load
        each of their threads would wait for the one that holds it and has no
        turn. Two updates at once lose one of them, which a mean can bear.
        """
        self.mean_s += WEIGHT * (seconds - self.mean_s)
        self.at = self.clock.now()

    def ended(self, mean_s: float) -> None:
        """Update the pause without load by an ended stream's mean pause."""
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
        """Return the mean pause as a multiple of that without load, from 1."""
        if self.streams < MIN_STREAMS:
            return 1.0
        return max(self.pause_s() / self.rest_s, 1.0)

    def pause_s(self) -> float:
        """Return the mean pause in seconds, decayed while no event arrives."""
        mean_s = self.mean_s
        idle_s = self.clock.now() - self.at - mean_s
        return mean_s * 0.5 ** (max(idle_s, 0.0) / HALF_LIFE_S)
