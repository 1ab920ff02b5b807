"""Support for deciding which steps of a cascade a request takes."""

import math
import statistics
import threading
from dataclasses import dataclass

from lacewingdock.components.cascades.const import (
    CONFIDENCE,
    ESTIMATE_ERROR,
    EXPLORE,
    LAST_FADE,
    MAX_CLASSES,
    PRIOR_COST,
    PRIOR_LAST_GOOD,
    PRIOR_LAST_WEIGHT,
    RARE_BIN,
    RETUNE_REQUESTS,
    SHORTFALL_MAX,
    SHORTFALL_RATE,
    WINDOW_REQUESTS,
    WORTH_MAX,
    WORTH_STEPS,
)
from lacewingdock.components.cascades.stats import (
    StepStats,
    VerdictStats,
    bin_of,
)


@dataclass(slots=True)
class StepChoice:
    """One step that a request takes.

    Attributes:
        index: Index of the step in the cascade.
        accept: The score bins whose answers are given; None where the
            answer is given without a verdict and so can be streamed.
    """

    index: int
    accept: list[bool] | None

    def accepts(self, score: float) -> bool:
        """Tell whether the answer is given at a verdict's score."""
        return self.accept is None or self.accept[bin_of(score)]


Choice = list[StepChoice]


class ClassStats:
    """What is known of a request class at each step.

    Attributes:
        steps: The steps but the last.
        last: The last step; its answers have no verdict.
        last_good: Weight of good ratings of the last step.
        last_rated: Weight of its ratings.
        requests: Discounted number of requests, for the class's share.
        chances: For each step but the last, the chance of a good answer by
            score bin.
    """

    __slots__ = (
        "chances",
        "last",
        "last_good",
        "last_rated",
        "requests",
        "steps",
    )

    def __init__(self, prices: list[float]) -> None:
        """Start with the prior at each step's price."""
        self.steps = [StepStats(price) for price in prices[:-1]]
        self.last = StepStats(prices[-1])
        self.last_good = PRIOR_LAST_GOOD * PRIOR_LAST_WEIGHT
        self.last_rated = PRIOR_LAST_WEIGHT
        self.requests = 0.0
        self.chances: list[list[float]] = []

    def last_chance(self) -> float:
        """Return the chance that the last step's answer is good."""
        return self.last_good / self.last_rated

    def expected(self, step: int, score: float | None) -> float | None:
        """Return the chance that an answer is good, as far as known."""
        if step >= len(self.steps):
            return self.last_chance()
        if score is None or not self.chances:
            return None
        return self.chances[step][bin_of(score)]

    def add_last_rating(self, rating: float) -> None:
        """Count a rating of the last step."""
        self.last_good = self.last_good * LAST_FADE + rating
        self.last_rated = self.last_rated * LAST_FADE + 1.0

    def look(self, verdicts: list[VerdictStats]) -> None:
        """Bring the chances by score bin up to date."""
        self.chances = [
            step.chances(verdict.ratios())
            for step, verdict in zip(self.steps, verdicts, strict=True)
        ]

    def solve(self, worth: float) -> tuple[Choice, float, float]:
        """Choose what costs least, when a good answer is worth an amount.

        Backwards from the last step: a step is taken if it saves more than
        it costs, and its answer is given in the score bins in which going
        on would cost more than it gains.

        Returns:
            The steps to take, their expected cost and chance of a good
            answer.
        """
        choice = [StepChoice(len(self.steps), None)]
        cost, good = self.last.cost, self.last_chance()
        for index in range(len(self.steps) - 1, -1, -1):
            accept, new_cost, new_good = _solve_step(
                self.steps[index], self.chances[index], worth, cost, good
            )
            if new_cost - worth * new_good >= cost - worth * good:
                continue
            rest = [] if accept is None else choice
            choice = [StepChoice(index, accept), *rest]
            cost, good = new_cost, new_good
        return choice, cost, good

    def explore(self) -> Choice:
        """Take every step, with what the verdicts say at the least."""
        held = [
            StepChoice(index, [chance >= self.last_chance() for chance in step])
            for index, step in enumerate(self.chances)
        ]
        return [*held, StepChoice(len(self.steps), None)]


def _solve_step(
    step: StepStats,
    chances: list[float],
    worth: float,
    cost_on: float,
    good_on: float,
) -> tuple[list[bool] | None, float, float]:
    """Decide each score bin of a step, given what going on brings."""
    shares = step.shares()
    bins = [cost_on >= worth * (good_on - chance) for chance in chances]
    refused = sum(
        share for share, ok in zip(shares, bins, strict=True) if not ok
    )
    if refused < RARE_BIN and step.answers > 1.0 / RARE_BIN:
        good = sum(s * c for s, c in zip(shares, chances, strict=True))
        return None, step.cost, good
    cost, good = step.cost + refused * cost_on, refused * good_on
    for share, chance, ok in zip(shares, chances, bins, strict=True):
        good += share * chance if ok else 0.0
    return bins, cost, good


class CascadePolicy:
    """Chooses for every class of a workspace so that the target holds.

    One figure joins the classes: what a good answer is worth in cost. The
    smallest worth at which the expected quality over all classes reaches the
    target, plus a margin for the luck of a window, spends each unit of cost
    where it buys the most quality.

    Attributes:
        target: Part of answers that must be good.
        prices: Expected cost of an answer at each step, cheapest first.
        worth: What a good answer is worth now.
        classes: What is known by class.
        verdicts: What is known of verdicts by step, over all classes.
        shortfall: Discounted mean of expected less rated quality, by which
            the estimates are known to be off.
    """

    __slots__ = (
        "_choices",
        "_lock",
        "_until_retune",
        "classes",
        "prices",
        "shortfall",
        "target",
        "verdicts",
        "worth",
    )

    def __init__(self, target: float, prices: list[float]) -> None:
        """Start without experience."""
        self.target = target
        self.prices = [price or PRIOR_COST for price in prices]
        self.worth = WORTH_MAX
        self.classes: dict[str, ClassStats] = {}
        self.verdicts = [VerdictStats() for _ in prices[:-1]]
        self.shortfall = 0.0
        self._choices: dict[str, Choice] = {}
        self._until_retune = 0
        self._lock = threading.Lock()

    def goal(self) -> float:
        """Return the quality aimed at: the target and a window's margin.

        A window of answers each good with chance q varies by chance alone;
        the margin keeps all but a stated part of windows at the target. What
        the ratings of given answers fell short of is added.
        """
        z = statistics.NormalDist().inv_cdf(CONFIDENCE)
        luck = self.target * (1 - self.target) / WINDOW_REQUESTS
        spread = math.sqrt(luck + ESTIMATE_ERROR**2)
        return min(self.target + z * spread + self.shortfall, 0.999)

    def choose(self, name: str, draw: float = 1.0) -> Choice:
        """Choose how a request of a class goes through the cascade.

        Args:
            name: The request class.
            draw: A uniform random number; below `EXPLORE` every step is
                taken, so that a cheap version that became better, or a class
                that is always skipped, is seen again.
        """
        with self._lock:
            stats = self._class(name)
            stats.requests += 1.0
            self._until_retune -= 1
            if self._until_retune <= 0:
                self._retune()
            elif name not in self._choices:
                # Only this class: callers that invent class names must not
                # be able to buy a whole retune with each.
                stats.look(self.verdicts)
                self._choices[name] = stats.solve(self.worth)[0]
            if draw < EXPLORE:
                return stats.explore()
            return self._choices[name]

    def _class(self, name: str) -> ClassStats:
        known = self.classes.get(name)
        if known is None:
            if len(self.classes) >= MAX_CLASSES:
                # Class names come from callers; without a bound a caller
                # could fill the memory with them.
                rarest = min(self.classes, key=self._requests)
                del self.classes[rarest]
                self._choices.pop(rarest, None)
            known = self.classes[name] = ClassStats(self.prices)
        return known

    def _requests(self, name: str) -> float:
        return self.classes[name].requests

    def _retune(self) -> None:
        """Find the smallest worth that reaches the goal, by bisection."""
        for stats in self.classes.values():
            stats.look(self.verdicts)
        self._until_retune = RETUNE_REQUESTS
        low, high = 0.0, WORTH_MAX
        goal = self.goal()
        for _ in range(WORTH_STEPS):
            middle = math.sqrt(max(low, 1e-3) * high)
            if self._quality(middle) >= goal:
                high = middle
            else:
                low = middle
        self.worth = high
        self._choices = {
            name: stats.solve(high)[0] for name, stats in self.classes.items()
        }
        for stats in self.classes.values():
            stats.requests *= 0.98

    def _quality(self, worth: float) -> float:
        whole = good = 0.0
        for stats in self.classes.values():
            whole += stats.requests
            good += stats.requests * stats.solve(worth)[2]
        return good / whole if whole else 0.0

    def add_answer(
        self, name: str, step: int, score: float | None, cost: float
    ) -> None:
        """Count an answer, with its verdict where there is one."""
        with self._lock:
            stats = self._class(name)
            if step >= len(stats.steps):
                stats.last.add_cost(cost)
            elif score is None:
                stats.steps[step].add_cost(cost)
            else:
                stats.steps[step].add_answer(score, cost)

    def add_rating(
        self,
        name: str,
        step: int,
        score: float | None,
        rating: float,
        given: bool,
    ) -> None:
        """Count a delayed rating of an answer.

        Args:
            name: The request class.
            step: Index of the step that made the answer.
            score: Its verdict; None when there was none.
            rating: 0 to 1.
            given: Whether the caller got the answer.
        """
        with self._lock:
            stats = self._class(name)
            if given:
                self._compare(stats.expected(step, score), rating)
            if step >= len(stats.steps):
                stats.add_last_rating(rating)
            elif score is not None:
                stats.steps[step].add_rating(score, rating)
                self.verdicts[step].add_rating(score, rating)

    def _compare(self, expected: float | None, rating: float) -> None:
        """Learn by how much the estimates are off.

        Choosing the cheapest of many estimates favours those that err to the
        good side; the callers would get less than was expected.
        """
        if expected is None:
            return
        self.shortfall += (expected - rating - self.shortfall) * SHORTFALL_RATE
        self.shortfall = min(max(self.shortfall, -SHORTFALL_MAX), SHORTFALL_MAX)
