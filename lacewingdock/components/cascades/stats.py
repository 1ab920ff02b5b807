"""Support for what is known of one step of a cascade."""

from lacewingdock.components.cascades.const import (
    BASE_PRIOR_ANSWERS,
    BASE_ROUNDS,
    BINS,
    CLASS_PRIOR_WEIGHT,
    HALF_LIFE_RATINGS,
    HALF_LIFE_SCORES,
    VERDICT_PRIOR_WEIGHT,
)


def bin_of(score: float) -> int:
    """Return the bin of a verdict's score from 0 to 1."""
    return min(max(int(score * BINS), 0), BINS - 1)


class VerdictStats:
    """How verdicts tell good answers from poor ones, over all classes.

    A class alone has too few ratings to learn this; together they have many.

    Attributes:
        good: Weight of good answers by score bin.
        poor: Weight of poor answers by score bin.
    """

    __slots__ = ("good", "poor")

    def __init__(self) -> None:
        """Start from the belief that a score is the chance of a good one."""
        unit = VERDICT_PRIOR_WEIGHT / BINS
        self.good = [unit * 2 * (i + 0.5) / BINS for i in range(BINS)]
        self.poor = [unit * 2 * (1 - (i + 0.5) / BINS) for i in range(BINS)]

    def add_rating(self, score: float, rating: float) -> None:
        """Count a rating, 0 to 1, of an answer with a verdict."""
        fade = 0.5 ** (1.0 / (HALF_LIFE_RATINGS * 5))
        self.good = [weight * fade for weight in self.good]
        self.poor = [weight * fade for weight in self.poor]
        self.good[bin_of(score)] += rating
        self.poor[bin_of(score)] += 1.0 - rating

    def ratios(self) -> list[float]:
        """Return how much likelier each bin is for a good answer.

        The ratio never falls with the score: where few ratings make it fall,
        neighbouring bins are pooled.
        """
        good, poor = sum(self.good), sum(self.poor)
        shares = [
            (g / good / (g / good + p / poor), g + p)
            for g, p in zip(self.good, self.poor, strict=True)
        ]
        return [
            share / max(1.0 - share, 1e-6)
            for share in _monotone([(max(s, 1e-6), w) for s, w in shares])
        ]


class StepStats:
    """Discounted counts of scores, ratings and costs of a class at a step.

    Old observations fade, so a version whose quality drifts is seen for what
    it is now. The shift of its scores alone shows most of a drift, long
    before enough ratings have come.

    Attributes:
        scores: Weight of answers by score bin.
        good: Weight of ratings that were good, by score bin.
        rated: Weight of ratings, by score bin.
        base: Chance of a good answer before its verdict is seen.
        cost: Mean cost of an answer.
        answers: Answers counted, without fading.
    """

    __slots__ = ("answers", "base", "cost", "good", "rated", "scores")

    def __init__(self, cost: float) -> None:
        """Start without observations."""
        self.scores = [BASE_PRIOR_ANSWERS / BINS] * BINS
        self.good = [0.0] * BINS
        self.rated = [0.0] * BINS
        self.base = 0.5
        self.cost = cost
        self.answers = 0

    def add_answer(self, score: float, cost: float) -> None:
        """Count an answer whose verdict is known."""
        fade = 0.5 ** (1.0 / HALF_LIFE_SCORES)
        self.scores = [weight * fade for weight in self.scores]
        self.scores[bin_of(score)] += 1.0
        self.add_cost(cost)

    def add_cost(self, cost: float) -> None:
        """Count an answer's cost."""
        self.answers += 1
        rate = max(1.0 / self.answers, 1.0 / HALF_LIFE_SCORES)
        self.cost += (cost - self.cost) * rate

    def add_rating(self, score: float, rating: float) -> None:
        """Count a rating, 0 to 1, of an answer with a known verdict."""
        fade = 0.5 ** (1.0 / HALF_LIFE_RATINGS)
        self.good = [weight * fade for weight in self.good]
        self.rated = [weight * fade for weight in self.rated]
        self.good[bin_of(score)] += rating
        self.rated[bin_of(score)] += 1.0

    def chances(self, ratios: list[float]) -> list[float]:
        """Return the chance of a good answer for each score bin.

        The class's base is the one that explains its scores best, given how
        verdicts tell good from poor (expectation maximisation); the class's
        own ratings correct what that gets wrong.

        Args:
            ratios: From `VerdictStats.ratios`.
        """
        self._fit_base(ratios)
        odds = self.base / (1.0 - self.base)
        chances = []
        for index, ratio in enumerate(ratios):
            prior = odds * ratio / (1.0 + odds * ratio)
            weight = self.rated[index] + CLASS_PRIOR_WEIGHT
            mean = (self.good[index] + prior * CLASS_PRIOR_WEIGHT) / weight
            chances.append((mean, weight))
        return _monotone(chances)

    def _fit_base(self, ratios: list[float]) -> None:
        shares = self.shares()
        for _ in range(BASE_ROUNDS):
            odds = self.base / (1.0 - self.base)
            base = sum(
                share * odds * ratio / (1.0 + odds * ratio)
                for share, ratio in zip(shares, ratios, strict=True)
            )
            self.base = min(max(base, 0.001), 0.999)

    def shares(self) -> list[float]:
        """Return the share of answers in each score bin."""
        total = sum(self.scores)
        return [weight / total for weight in self.scores]


def _monotone(values: list[tuple[float, float]]) -> list[float]:
    """Pool neighbours that fall, weighted (isotonic regression)."""
    pools: list[tuple[float, float, int]] = []
    for value, weight in values:
        pool = (value, weight, 1)
        while pools and pools[-1][0] > pool[0]:
            before = pools.pop()
            whole = before[1] + pool[1]
            mean = (before[0] * before[1] + pool[0] * pool[1]) / whole
            pool = (mean, whole, before[2] + pool[2])
        pools.append(pool)
    return [value for value, _, count in pools for _ in range(count)]
