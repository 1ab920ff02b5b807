"""Support for knowing how long a request would wait for a slot."""

import random
from typing import Final

# Weight of the newest run: the last twenty or so decide.
NEWEST_WEIGHT: Final = 0.1
# Those refused together shall not come back together.
RETRY_SPREAD: Final = 0.5


class WaitEstimator:
    """How long runs hold a slot, and what follows for those that wait.

    Attributes:
        capacity: Slots in all.
        mean_s: Mean seconds that a run holds a slot; 0 before the first.
        source: Source of the spread.
    """

    __slots__ = ("capacity", "mean_s", "source")

    def __init__(self, capacity: int, source: random.Random) -> None:
        """Start without a run."""
        self.capacity = capacity
        self.mean_s = 0.0
        self.source = source

    def record(self, held_s: float) -> None:
        """Take a run's time in."""
        if self.mean_s:
            self.mean_s += NEWEST_WEIGHT * (held_s - self.mean_s)
        else:
            self.mean_s = held_s

    def wait_s(self, ahead: int) -> float:
        """Return the seconds until a slot is free behind `ahead` others."""
        return (ahead + 1) * self.mean_s / self.capacity

    def retry_after_s(self, ahead: int) -> float | None:
        """Return when to come back; None while nothing is known."""
        if not self.mean_s:
            return None
        return self.wait_s(ahead) * (1 + RETRY_SPREAD * self.source.random())
