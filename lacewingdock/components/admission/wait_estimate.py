"""Estimate of the time that a request would wait for a slot."""

import random
from typing import Final

# Weight of the newest run in the moving average, which thus follows about the
# last twenty runs.
NEWEST_WEIGHT: Final = 0.1
# Jitter of Retry-After, as a part of the wait: callers that are rejected
# together must not retry together.
RETRY_SPREAD: Final = 0.5


class WaitEstimator:
    """Estimates waiting times from a moving average of the run times.

    Attributes:
        capacity: Total number of slots.
        mean_s: Mean time that a run holds a slot, in seconds; 0 before the
            first run ends.
        source: Random source of the jitter.
    """

    __slots__ = ("capacity", "mean_s", "source")

    def __init__(self, capacity: int, source: random.Random) -> None:
        """Start with no run recorded."""
        self.capacity = capacity
        self.mean_s = 0.0
        self.source = source

    def record(self, held_s: float) -> None:
        """Add a run to the average, given the seconds that it held a slot."""
        if self.mean_s:
            self.mean_s += NEWEST_WEIGHT * (held_s - self.mean_s)
        else:
            self.mean_s = held_s

    def wait_s(self, ahead: int) -> float:
        """Estimate the seconds until a slot is free behind `ahead` requests."""
        return (ahead + 1) * self.mean_s / self.capacity

    def retry_after_s(self, ahead: int) -> float | None:
        """Return the seconds to retry after; None before the first run."""
        if not self.mean_s:
            return None
        return self.wait_s(ahead) * (1 + RETRY_SPREAD * self.source.random())
