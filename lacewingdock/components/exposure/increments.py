"""Support for evidence that many entries collect in parallel.

Each entry bets on its own requests and ratings, with levels that were fixed
before. Different entries bet on different observations, so the product of
their wealths is an e-process too, and its logarithm is a sum.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from lacewingdock.components.exposure.const import (
    ERROR_SHARES,
    ERROR_TOLERANCE,
    FALSE_ALARM_ERRORS,
    FALSE_ALARM_RATINGS,
    RATING_BETS,
)
from lacewingdock.components.exposure.evidence import (
    error_factor,
    rating_factor,
)
from lacewingdock.components.exposure.judge import Control


@dataclass(slots=True, frozen=True)
class Levels:
    """Levels of a healthy version, derived from the old version.

    Attributes:
        rating: Mean rating; None while unknown.
        errors: Tolerated share of failed requests.
    """

    rating: float | None = None
    errors: float = ERROR_TOLERANCE


@dataclass(slots=True)
class Increments:
    """Evidence of one entry, or of the whole fleet, on a roll-out.

    Attributes:
        rating_logs: Logarithm of the wealth of each bet on ratings.
        error_logs: Logarithm of the wealth of each bet on errors.
        rated: Number of ratings of the new version that were bet on.
        answered: Number of requests of the new version.
        failed: Number of those that failed.
        old_weight: Discounted number of ratings of the old version.
        old_total: Discounted sum of those ratings.
        old_requests: Discounted number of requests of the old version.
        old_errors: Discounted number of those that failed.
    """

    rating_logs: list[float] = field(
        default_factory=lambda: [0.0] * len(RATING_BETS)
    )
    error_logs: list[float] = field(
        default_factory=lambda: [0.0] * len(ERROR_SHARES)
    )
    rated: int = 0
    answered: int = 0
    failed: int = 0
    old_weight: float = 0.0
    old_total: float = 0.0
    old_requests: float = 0.0
    old_errors: float = 0.0

    def add_rating(self, rating: float, level: float) -> None:
        """Bet on a rating of the new version."""
        self.rated += 1
        for index, bet in enumerate(RATING_BETS):
            self.rating_logs[index] += math.log(
                rating_factor(bet, rating, level)
            )

    def add_requests(self, requests: int, failed: int, level: float) -> None:
        """Bet on requests of the new version, some of which failed."""
        self.answered += requests
        self.failed += failed
        for index, share in enumerate(ERROR_SHARES):
            self.error_logs[index] += failed * math.log(
                error_factor(share, True, level)
            ) + (requests - failed) * math.log(
                error_factor(share, False, level)
            )

    def copy_control(self, control: Control) -> None:
        """Copy the ratings and errors of the old version."""
        self.old_weight, self.old_total = control.weight, control.total
        self.old_requests, self.old_errors = control.requests, control.errors

    def reason(self) -> str:
        """Return why the version is bad; empty while there is no proof."""
        if _wealth_log(self.error_logs) >= -math.log(FALSE_ALARM_ERRORS):
            return f"{self.failed} of {self.answered} answers failed"
        if _wealth_log(self.rating_logs) >= -math.log(FALSE_ALARM_RATINGS):
            return f"{self.rated} ratings are below the old version's"
        return ""

    def levels(self) -> Levels:
        """Return the levels that follow from the old version's data."""
        control = Control()
        control.weight, control.total = self.old_weight, self.old_total
        control.requests, control.errors = self.old_requests, self.old_errors
        return Levels(control.rating_level(), control.error_level())


def sum_up(parts: Iterable[Increments]) -> Increments:
    """Return the evidence of several entries together."""
    whole = Increments()
    for part in parts:
        whole.rating_logs = _added(whole.rating_logs, part.rating_logs)
        whole.error_logs = _added(whole.error_logs, part.error_logs)
        whole.rated += part.rated
        whole.answered += part.answered
        whole.failed += part.failed
        whole.old_weight += part.old_weight
        whole.old_total += part.old_total
        whole.old_requests += part.old_requests
        whole.old_errors += part.old_errors
    return whole


def _added(one: list[float], two: list[float]) -> list[float]:
    return [a + b for a, b in zip(one, two, strict=True)]


def _wealth_log(logs: list[float]) -> float:
    """Return the logarithm of the mean wealth, which is an e-process too."""
    top = max(logs)
    return top + math.log(sum(math.exp(x - top) for x in logs) / len(logs))
