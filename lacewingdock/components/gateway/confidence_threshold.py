"""Support for choosing how sure a smaller model must be of its answer."""

import threading
from typing import Final

from lacewingdock.components.gateway.slowdown import Slowdown
from lacewingdock.helpers.clock import STEADY, Clock

# A smaller model's answer is taken from this confidence on: there the chance
# that the model is too small for the request loses as much as the largest
# model's use costs.
CONFIDENCE_ENOUGH: Final = 62.0
# Where the largest model's answers begin later than this part of their goal,
# less confidence is enough, and from the second part on any: late answers are
# worth less than smaller ones in time, and larger models delay all others.
RELAXED_BELOW: Final = 0.25
ANY_FROM: Final = 0.8
# The same where streams go on so many times slower than at rest.
RELAXED_BELOW_SLOWDOWN: Final = 3.0
ANY_FROM_SLOWDOWN: Final = 9.0
# The same where their mean pause is so large a part of the longest that is on
# time. A router that has just started does not know the pause at rest.
RELAXED_BELOW_GAP: Final = 0.15
ANY_FROM_GAP: Final = 0.4
# Weight of a new answer in the running mean, and the time in which an old mean
# loses half: after a burst the larger model is tried again within seconds.
NEW_WEIGHT: Final = 0.15
HALF_LIFE_S: Final = 3.0
# A single answer counts no more than this: beyond, it is late by any measure,
# and the mean must come down again soon after a burst.
MAX_LATENESS: Final = 1.5
# A goal of nothing would make every answer late without end.
MIN_GOAL_S: Final = 1e-3


class Pressure:
    """How late a service's answers begin, as a part of their goal.

    Attributes:
        clock: The time it goes by.
        mean: Running mean of the parts.
        at: Monotonic time of the last answer.
        slowdown: How much slower than at rest its streams go on.
    """

    __slots__ = ("_lock", "at", "clock", "mean", "slowdown")

    def __init__(self, clock: Clock = STEADY) -> None:
        """Start without pressure."""
        self.clock = clock
        self.mean = 0.0
        self.slowdown = Slowdown(clock)
        self.at = self.clock.now()
        self._lock = threading.Lock()

    def add(self, part: float) -> None:
        """Count an answer that began after a part of its goal."""
        with self._lock:
            before = self.now()
            part = min(part, MAX_LATENESS)
            self.mean = before + NEW_WEIGHT * (part - before)
            self.at = self.clock.now()

    def now(self) -> float:
        """Return the mean, fading while no answer comes."""
        age_s = self.clock.now() - self.at
        return float(self.mean * 0.5 ** (age_s / HALF_LIFE_S))

    def required_confidence(self, gap_s: float = 0.0) -> float:
        """Return the confidence that is enough for a smaller model.

        Args:
            gap_s: The longest pause between two events that is on time; 0 where
                any is.
        """
        scale = min(
            _confidence_scale(self.now(), RELAXED_BELOW, ANY_FROM),
            _confidence_scale(
                self.slowdown.now(), RELAXED_BELOW_SLOWDOWN, ANY_FROM_SLOWDOWN
            ),
        )
        if gap_s > 0.0:
            part = self.slowdown.pause_s() / gap_s
            scale = min(
                scale, _confidence_scale(part, RELAXED_BELOW_GAP, ANY_FROM_GAP)
            )
        return CONFIDENCE_ENOUGH * scale


def _confidence_scale(
    value: float, relaxed_below: float, any_from: float
) -> float:
    """Return how much of the usual confidence is asked for, from 0 to 1."""
    scale = (any_from - value) / (any_from - relaxed_below)
    return min(max(scale, 0.0), 1.0)
