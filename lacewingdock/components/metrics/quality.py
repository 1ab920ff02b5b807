"""Support for rating a sample of the answers that callers were given."""

import random
from typing import Any

import msgspec

from lacewingdock.components.callers.assemble import assemble
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.ratings import RatingService

log = get_logger("quality")


class _Asked(msgspec.Struct):
    messages: list[dict[str, Any]]


class QualitySampler:
    """Chooses answers at random and rates them after they were given.

    Attributes:
        ratings: The rating service.
        share: Part of the answers that is rated.
        good_rating: Lowest rating of a good answer.
        source: Source of the choice.
    """

    __slots__ = ("good_rating", "ratings", "share", "source")

    def __init__(
        self,
        ratings: RatingService,
        share: float,
        good_rating: float,
        source: random.Random,
    ) -> None:
        """Take what it works with."""
        self.ratings = ratings
        self.share = share
        self.good_rating = good_rating
        self.source = source

    def choose(self) -> bool:
        """Tell whether the next answer belongs to the sample."""
        return self.source.random() < self.share

    def is_good(self, asked: bytes, given: list[bytes]) -> bool | None:
        """Rate an answer.

        Args:
            asked: Body of the request as the upstream got it.
            given: Pieces of the answer.

        Returns:
            The verdict; None when there is none.
        """
        try:
            text = assemble(given)["choices"][0]["message"]["content"]
            messages = decode_json(asked, _Asked).messages
            rating = self.ratings.rate(messages, text)
        except (
            LacewingdockError,
            msgspec.DecodeError,
            LookupError,
            TypeError,
        ) as error:
            log.info("not rated", error=str(error))
            return None
        return rating >= self.good_rating
