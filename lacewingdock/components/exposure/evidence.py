"""Support for evidence that may be evaluated after each observation.

An e-process is a bet against the hypothesis that the version is healthy, and
fair under it. Its wealth ever reaches 1/a with a probability of at most a
(Ville's inequality). A test of fixed size that is evaluated repeatedly would
judge every healthy version bad eventually.
"""

from lacewingdock.components.exposure.const import (
    ERROR_SHARES,
    ERROR_TOLERANCE,
    RATING_BETS,
)


def rating_factor(bet: float, rating: float, level: float) -> float:
    """Return the factor by which one rating changes a bet's wealth."""
    # The stake is limited so that the wealth stays positive.
    stake = min(bet, 0.9 / max(1.0 - level, 1e-3))
    return 1.0 + stake * (level - rating)


def error_factor(share: float, is_error: bool, level: float) -> float:
    """Return the factor by which one request changes a bet's wealth."""
    level = min(max(level, ERROR_TOLERANCE), 0.5)
    if share <= level:
        return 1.0
    return share / level if is_error else (1.0 - share) / (1.0 - level)


class RatingEvidence:
    """Evidence that ratings from 0 to 1 have a mean below a level.

    Attributes:
        wealths: Wealth of each bet.
        count: Number of ratings.
    """

    __slots__ = ("count", "wealths")

    def __init__(self) -> None:
        """Create evidence with a wealth of one."""
        self.wealths = [1.0] * len(RATING_BETS)
        self.count = 0

    def add(self, rating: float, level: float) -> None:
        """Bet on one rating.

        Args:
            rating: 0 to 1.
            level: Mean rating of a healthy version, known before the rating.
        """
        self.count += 1
        for index, bet in enumerate(RATING_BETS):
            self.wealths[index] *= rating_factor(bet, rating, level)

    @property
    def wealth(self) -> float:
        """Mean wealth of the bets, which is an e-process too."""
        return sum(self.wealths) / len(self.wealths)


class ErrorEvidence:
    """Evidence that the share of errors is above a level.

    Attributes:
        wealths: Wealth of each bet.
        requests: Number of requests.
        errors: Number of errors.
    """

    __slots__ = ("errors", "requests", "wealths")

    def __init__(self) -> None:
        """Create evidence with a wealth of one."""
        self.wealths = [1.0] * len(ERROR_SHARES)
        self.requests = 0
        self.errors = 0

    def add(self, is_error: bool, level: float = ERROR_TOLERANCE) -> None:
        """Bet on one request; `level` is the tolerated share of errors."""
        self.requests += 1
        self.errors += is_error
        for index, share in enumerate(ERROR_SHARES):
            self.wealths[index] *= error_factor(share, is_error, level)

    @property
    def wealth(self) -> float:
        """Mean wealth of the bets, which is an e-process too."""
        return sum(self.wealths) / len(self.wealths)
