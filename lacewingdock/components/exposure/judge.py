"""Support for judging a new version during its roll-out."""

from enum import StrEnum

from lacewingdock.components.exposure.const import (
    CONTROL_HALF_LIFE,
    CONTROL_MIN,
    ERROR_TOLERANCE,
    FALSE_ALARM_ERRORS,
    FALSE_ALARM_RATINGS,
    GOOD_MIN_RATINGS,
    GOOD_MIN_REQUESTS,
    RATING_TOLERANCE,
)
from lacewingdock.components.exposure.evidence import (
    ErrorEvidence,
    RatingEvidence,
)


class Verdict(StrEnum):
    """Verdict on a version."""

    BAD = "bad"
    GOOD = "good"
    OPEN = "open"


class Control:
    """The old version's ratings and errors in the same period.

    Both versions are compared over the same period: harder requests lower the
    ratings of both, and a comparison with an earlier period would attribute
    that to the new version.

    Attributes:
        weight: Discounted number of ratings.
        total: Discounted sum of ratings.
        requests: Discounted number of requests.
        errors: Discounted number of errors.
        half_life: Number of ratings after which a rating has half its weight.
    """

    __slots__ = ("errors", "half_life", "requests", "total", "weight")

    def __init__(self, half_life: float = CONTROL_HALF_LIFE) -> None:
        """Create an empty record."""
        self.half_life = half_life
        self.weight = self.total = 0.0
        self.requests = self.errors = 0.0

    def add_rating(self, rating: float) -> None:
        """Count a rating."""
        decay = 0.5 ** (1.0 / self.half_life)
        self.weight = self.weight * decay + 1.0
        self.total = self.total * decay + rating

    def add_request(self, is_error: bool) -> None:
        """Count a request."""
        decay = 0.5 ** (0.1 / self.half_life)
        self.requests = self.requests * decay + 1.0
        self.errors = self.errors * decay + is_error

    def rating_level(self) -> float | None:
        """Return the mean rating of a healthy version; None if unknown."""
        if self.weight < CONTROL_MIN:
            return None
        return max(self.total / self.weight - RATING_TOLERANCE, 0.0)

    def error_level(self) -> float:
        """Return the tolerated share of errors of a healthy version."""
        share = self.errors / self.requests if self.requests else 0.0
        return max(2.0 * share, ERROR_TOLERANCE)


class Judge:
    """Judges a version by its errors and ratings, one at a time.

    Attributes:
        control: The old version.
        ratings: Evidence from ratings against the new version.
        errors: Evidence from errors against it.
        answered: Number of requests that the new version answered.
        reason: Why it was judged bad; empty otherwise.
    """

    __slots__ = ("answered", "control", "errors", "ratings", "reason")

    def __init__(self) -> None:
        """Create a judge without evidence."""
        self.control = Control()
        self.ratings = RatingEvidence()
        self.errors = ErrorEvidence()
        self.answered = 0
        self.reason = ""

    def add_request(self, is_new: bool, is_error: bool) -> None:
        """Count a request of the new or the old version."""
        if not is_new:
            self.control.add_request(is_error)
            return
        self.answered += 1
        self.errors.add(is_error, self.control.error_level())
        if self.errors.wealth >= 1.0 / FALSE_ALARM_ERRORS:
            self.reason = self.reason or "errors"

    def add_rating(self, is_new: bool, rating: float) -> None:
        """Count a rating of the new or the old version."""
        if not is_new:
            self.control.add_rating(rating)
            return
        level = self.control.rating_level()
        if level is None:
            return
        self.ratings.add(rating, level)
        if self.ratings.wealth >= 1.0 / FALSE_ALARM_RATINGS:
            self.reason = self.reason or "ratings"

    def verdict(self) -> Verdict:
        """Return the verdict on the evidence so far."""
        if self.reason:
            return Verdict.BAD
        enough = (
            self.ratings.count >= GOOD_MIN_RATINGS
            and self.answered >= GOOD_MIN_REQUESTS
        )
        return Verdict.GOOD if enough else Verdict.OPEN
