"""Support for judging a version that is being rolled out."""

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
    """What the evidence says of a version."""

    BAD = "bad"
    GOOD = "good"
    OPEN = "open"


class Control:
    """What the old version does at the same time.

    The two are compared side by side: a harder hour lowers both, and a
    comparison with last week would blame the new version for it.

    Attributes:
        weight: Discounted number of ratings.
        total: Discounted sum of ratings.
        requests: Discounted number of requests.
        errors: Discounted number of errors.
        half_life: Ratings after which one counts half.
    """

    __slots__ = ("errors", "half_life", "requests", "total", "weight")

    def __init__(self, half_life: float = CONTROL_HALF_LIFE) -> None:
        """Start without observations."""
        self.half_life = half_life
        self.weight = self.total = 0.0
        self.requests = self.errors = 0.0

    def add_rating(self, rating: float) -> None:
        """Count a rating."""
        fade = 0.5 ** (1.0 / self.half_life)
        self.weight = self.weight * fade + 1.0
        self.total = self.total * fade + rating

    def add_request(self, is_error: bool) -> None:
        """Count a request."""
        fade = 0.5 ** (0.1 / self.half_life)
        self.requests = self.requests * fade + 1.0
        self.errors = self.errors * fade + is_error

    def rating_level(self) -> float | None:
        """Return the mean that a healthy version reaches, if known."""
        if self.weight < CONTROL_MIN:
            return None
        return max(self.total / self.weight - RATING_TOLERANCE, 0.0)

    def error_level(self) -> float:
        """Return the share of errors that a healthy version may have."""
        share = self.errors / self.requests if self.requests else 0.0
        return max(2.0 * share, ERROR_TOLERANCE)


class Judge:
    """Judges a version by its errors and ratings as they come.

    Attributes:
        control: The old version.
        ratings: Evidence against the new one by ratings.
        errors: Evidence against it by errors.
        answered: Requests that the new one answered.
        reason: Why it was called bad; empty otherwise.
    """

    __slots__ = ("answered", "control", "errors", "ratings", "reason")

    def __init__(self) -> None:
        """Start without evidence."""
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
        """Say what the evidence tells so far."""
        if self.reason:
            return Verdict.BAD
        enough = (
            self.ratings.count >= GOOD_MIN_RATINGS
            and self.answered >= GOOD_MIN_REQUESTS
        )
        return Verdict.GOOD if enough else Verdict.OPEN
