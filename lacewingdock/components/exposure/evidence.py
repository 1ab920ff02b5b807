"""Support for evidence that may be looked at after each observation.

An e-process is a bet against "the version is healthy" that is fair while it
is. Its wealth reaches 1/a with a chance of at most a, however often one
looks (Ville's inequality); a fixed-size test looked at repeatedly would call
every healthy version bad in the end.
"""

from lacewingdock.components.exposure.const import (
    ERROR_SHARES,
    ERROR_TOLERANCE,
    RATING_BETS,
)


def rating_factor(bet: float, rating: float, level: float) -> float:
    """Return by what a bet's wealth is multiplied by one rating."""
    # A bet must not be able to lose more than it has.
    stake = min(bet, 0.9 / max(1.0 - level, 1e-3))
    return 1.0 + stake * (level - rating)


def error_factor(share: float, is_error: bool, level: float) -> float:
    """Return by what a bet's wealth is multiplied by one request."""
    level = min(max(level, ERROR_TOLERANCE), 0.5)
    if share <= level:
        return 1.0
    return share / level if is_error else (1.0 - share) / (1.0 - level)


class RatingEvidence:
    """Evidence that ratings from 0 to 1 have a mean below some level.

    Attributes:
        wealths: Wealth of each bet.
        count: Ratings seen.
    """

    __slots__ = ("count", "wealths")

    def __init__(self) -> None:
        """Start with a wealth of one."""
        self.wealths = [1.0] * len(RATING_BETS)
        self.count = 0

    def add(self, rating: float, level: float) -> None:
        """Bet on one rating.

        Args:
            rating: 0 to 1.
            level: Mean that a healthy version reaches; it must have been
                known before the rating.
        """
        self.count += 1
        for index, bet in enumerate(RATING_BETS):
            self.wealths[index] *= rating_factor(bet, rating, level)

    @property
    def wealth(self) -> float:
        """Mean wealth of the bets, itself an e-process."""
        return sum(self.wealths) / len(self.wealths)


class ErrorEvidence:
    """Evidence that the share of errors is above some level.

    Attributes:
        wealths: Wealth of each bet.
        requests: Requests seen.
        errors: Errors seen.
    """

    __slots__ = ("errors", "requests", "wealths")

    def __init__(self) -> None:
        """Start with a wealth of one."""
        self.wealths = [1.0] * len(ERROR_SHARES)
        self.requests = 0
        self.errors = 0

    def add(self, is_error: bool, level: float = ERROR_TOLERANCE) -> None:
        """Bet on one request; `level` is the share that is tolerated."""
        self.requests += 1
        self.errors += is_error
        for index, share in enumerate(ERROR_SHARES):
            self.wealths[index] *= error_factor(share, is_error, level)

    @property
    def wealth(self) -> float:
        """Mean wealth of the bets, itself an e-process."""
        return sum(self.wealths) / len(self.wealths)
