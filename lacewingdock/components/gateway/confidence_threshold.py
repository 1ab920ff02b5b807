"""Support for the confidence that a smaller model's answer must reach."""

import threading
from typing import Final

from lacewingdock.components.gateway.slowdown import Slowdown
from lacewingdock.helpers.clock import STEADY, Clock

# Confidence from which a smaller model's answer is accepted without load. At
# this value the expected loss of quality equals the cost of the largest model.
CONFIDENCE_ENOUGH: Final = 62.0
# Lateness, as a part of the goal, from which less confidence is required, and
# from which any confidence is accepted. A late answer is worth less than a
# smaller model's answer in time, and larger models delay all other requests.
RELAXED_BELOW: Final = 0.25
ANY_FROM: Final = 0.8
# The same two bounds for the slowdown of streams, as a multiple of the pause
# without load.
RELAXED_BELOW_SLOWDOWN: Final = 3.0
ANY_FROM_SLOWDOWN: Final = 9.0
# The same two bounds for the mean pause, as a part of the route's longest pause
# that is on time. A router that has just started has no estimate of the pause
# without load.
RELAXED_BELOW_GAP: Final = 0.15
ANY_FROM_GAP: Final = 0.4
# Weight of a new answer in the running mean, and the half-life of the mean in
# seconds while no answers arrive: after a burst the larger model is tried again
# within seconds.
NEW_WEIGHT: Final = 0.15
HALF_LIFE_S: Final = 3.0
# Cap on the lateness of a single answer, as a multiple of the goal. An answer
# beyond it is late by any measure, and the mean must fall soon after a burst.
MAX_LATENESS: Final = 1.5
# Shortest goal in seconds; a goal of zero would make the lateness infinite.
MIN_GOAL_S: Final = 1e-3


class Pressure:
    """The load on a service, seen in late answers and in slow streams.

    Lateness is the time to the first event of an answer, as a part of the
    route's goal.

    Attributes:
        clock: The clock for all times.
        mean: Running mean of the lateness.
        at: Monotonic time of the last answer.
        slowdown: The pauses in the service's streams.
    """

    __slots__ = ("_lock", "at", "clock", "mean", "slowdown")

    def __init__(self, clock: Clock = STEADY) -> None:
        """Create the state of a service without any load yet."""
        self.clock = clock
        self.mean = 0.0
        self.slowdown = Slowdown(clock)
        self.at = self.clock.now()
        self._lock = threading.Lock()

    def add(self, part: float) -> None:
        """Add the lateness of an answer to the running mean."""
        with self._lock:
            before = self.now()
            part = min(part, MAX_LATENESS)
            self.mean = before + NEW_WEIGHT * (part - before)
            self.at = self.clock.now()

    def now(self) -> float:
        """Return the mean lateness, decayed while no answer arrives."""
        age_s = self.clock.now() - self.at
        return float(self.mean * 0.5 ** (age_s / HALF_LIFE_S))

    def required_confidence(self, gap_s: float = 0.0) -> float:
        """Return the confidence that a smaller model's answer must reach.

        Args:
            gap_s: Longest pause between two events that is on time, in
                seconds; 0 where there is no such bound.
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
    """Return the share of the usual confidence to require, from 0 to 1."""
    scale = (any_from - value) / (any_from - relaxed_below)
    return min(max(scale, 0.0), 1.0)
