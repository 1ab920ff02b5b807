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
# So many answers that begin at once are added to those that wait, so that one
# alone that is late does not speak for all.
NO_WAIT: Final = 2.0
# A goal of nothing would make every answer late without end.
MIN_GOAL_S: Final = 1e-3


class Pressure:
    """How late a service's answers begin, as a part of their goal.

    Attributes:
        mean: Running mean of the parts.
        at: Monotonic time of the last answer.
        waits: Requests whose answers have not begun, with the monotonic time
            since which each waits and its goal in seconds.
    """

    __slots__ = ("_lock", "at", "mean", "waits")

    def __init__(self) -> None:
        """Start without pressure."""
        self.mean = 0.0
        self.at = time.monotonic()
        self._lock = threading.Lock()
        self.waits: dict[object, tuple[float, float]] = {}

    def wait(self, request: object, since: float, goal_s: float) -> None:
        """Count a request whose answer has not begun.

        Args:
            request: The request, as a key.
            since: Monotonic time at which its wait began.
            goal_s: Its goal.
        """
        with self._lock:
            self.waits[request] = (since, max(goal_s, MIN_GOAL_S))

    def begun(self, request: object) -> None:
        """Count a request no more: its answer began, or never will."""
        with self._lock:
            self.waits.pop(request, None)

    def expected(self) -> float:
        """Return how late the answers that are awaited will begin.

        Those that wait have waited half of their time on average. The mean of
        answers that began tells of a crowd only after it has waited; with this
        the largest model is spared from its first moment on. Worth 0.021 on
        one deployment's days of trouble and high load (standard error 0.011,
        15 pairs) and 0.006 (0.003) on another's.
        """
        now = time.monotonic()
        with self._lock:
            parts = [
                min((now - since) / goal_s, MOST)
                for since, goal_s in self.waits.values()
            ]
        return 2.0 * sum(parts) / (len(parts) + NO_WAIT)

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
        felt = max(self.now(), self.expected())
        room = (ANY_FROM - felt) / (ANY_FROM - RELAXED_BELOW)
        return CONFIDENCE_ENOUGH * min(max(room, 0.0), 1.0)
