"""Support for choosing how sure a smaller model must be of its answer."""

import threading
import time
from typing import Final

# A smaller model's answer is taken from this confidence on. Measured with each
# of three sizes at a third of 1,650 requests: confidence is 50 where a request
# is just not too hard for the model, it grows by about 15 for each tenth of
# the requests that are easier, and scatters by about 11 around that. So an
# answer at 62 is too small for its request in about 14 of 100 cases, which
# loses as much as the largest model's use costs for the other 86.
CONFIDENCE_ENOUGH: Final = 62.0
# Where the largest model's answers begin later than this part of their goal,
# less confidence is enough, and from the second part on any: an answer of the
# right size that is late is worth less than a smaller one in time, and each
# larger one delays the others.
RELAXED_BELOW: Final = 0.25
ANY_FROM: Final = 0.8
# Weight of a new answer in the running mean, and the time in which an old mean
# loses half: after a burst the larger model is tried again within seconds.
NEW_WEIGHT: Final = 0.15
HALF_LIFE_S: Final = 3.0
# A single answer counts no more than this: beyond, it is late by any measure,
# and the mean must come down again soon after a burst.
MOST: Final = 1.5
# A goal of nothing would make every answer late without end.
MIN_GOAL_S: Final = 1e-3


class Pressure:
    """How late a service's answers begin, as a part of their goal.

    Attributes:
        mean: Running mean of the parts.
        at: Monotonic time of the last answer.
    """

    __slots__ = ("_lock", "at", "mean")

    def __init__(self) -> None:
        """Start without pressure."""
        self.mean = 0.0
        self.at = time.monotonic()
        self._lock = threading.Lock()

    def add(self, part: float) -> None:
        """Count an answer that began after a part of its goal."""
        with self._lock:
            before = self.now()
            part = min(part, MOST)
            self.mean = before + NEW_WEIGHT * (part - before)
            self.at = time.monotonic()

    def now(self) -> float:
        """Return the mean, fading while no answer comes."""
        age_s = time.monotonic() - self.at
        return float(self.mean * 0.5 ** (age_s / HALF_LIFE_S))

    def enough(self) -> float:
        """Return the confidence that is enough for a smaller model."""
        room = (ANY_FROM - self.now()) / (ANY_FROM - RELAXED_BELOW)
        return CONFIDENCE_ENOUGH * min(max(room, 0.0), 1.0)
