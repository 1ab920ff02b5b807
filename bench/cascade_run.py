"""Support for running cascade policies over generated requests."""

import collections
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bench.cascade_inputs import PRICES, Generated, generate
from lacewingdock.components.cascades import CascadePolicy

LAST: Final = len(PRICES) - 1
SAMPLE: Final = 0.05
DELAY: Final = 200
WINDOW: Final = 500
# The first windows learn; they are reported apart.
WARM_UP: Final = 4


@dataclass(slots=True)
class Tally:
    """What a policy gave.

    Attributes:
        cost: Cost of all requests.
        good: Whether each given answer was good.
    """

    cost: float = 0.0
    good: list[bool] = field(default_factory=list)

    def windows_held(self, target: float) -> float:
        """Return the part of windows at or above the target."""
        held = [
            sum(self.good[i : i + WINDOW]) / WINDOW >= target
            for i in range(0, len(self.good) - WINDOW + 1, WINDOW)
        ]
        return sum(held) / len(held)


@dataclass(slots=True)
class Late:
    """A rating that comes later.

    Attributes:
        due: Index of the request before which it comes.
        name: The request's class.
        step: The step that made the answer.
        score: Its verdict, if any.
        rating: 1.0 for good.
        given: Whether the caller got the answer.
    """

    due: int
    name: str
    step: int
    score: float | None
    rating: float
    given: bool


def run_policy(seed: int, count: int, target: float) -> Tally:
    """Run the learning policy over one seed's requests."""
    source = random.Random(seed * 7 + 1)
    policy = CascadePolicy(target, PRICES)
    late: collections.deque[Late] = collections.deque()
    tally = Tally()
    for index, request in enumerate(generate(seed, count)):
        while late and late[0].due <= index:
            r = late.popleft()
            policy.add_rating(r.name, r.step, r.score, r.rating, r.given)
        for choice in policy.choose(request.name, source.random()):
            step = choice.index
            is_rated = source.random() < SAMPLE
            held = step < LAST and (choice.accept is not None or is_rated)
            score = request.scores[step] if held else None
            policy.add_answer(request.name, step, score, request.costs[step])
            tally.cost += request.costs[step]
            given = step == LAST or choice.accepts(request.scores[step])
            if is_rated:
                rating = float(request.good[step])
                late.append(
                    Late(
                        index + DELAY, request.name, step, score, rating, given
                    )
                )
            if given:
                break
        tally.good.append(request.good[step])
    return tally


def run_baseline(
    seed: int, count: int, rule: Callable[[Generated], list[int]]
) -> Tally:
    """Run a fixed rule that names the steps a request takes."""
    tally = Tally()
    for request in generate(seed, count):
        steps = rule(request)
        tally.cost += sum(request.costs[step] for step in steps)
        tally.good.append(request.good[steps[-1]])
    return tally


def oracle(request: Generated) -> list[int]:
    """Take the cheapest sufficient step, which only the oracle knows."""
    for step, good in enumerate(request.good):
        if good:
            return [step]
    return [0]


def always_dearest(request: Generated) -> list[int]:
    """Take the dearest step."""
    return [LAST]


def always_cheapest(request: Generated) -> list[int]:
    """Take the cheapest step."""
    return [0]


def fixed_threshold(request: Generated, accept: float = 0.7) -> list[int]:
    """Escalate while the verdict is below a fixed threshold."""
    steps = []
    for step in range(LAST + 1):
        steps.append(step)
        if request.scores[step] >= accept:
            break
    return steps
