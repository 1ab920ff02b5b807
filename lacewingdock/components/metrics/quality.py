"""Rating of a random sample of the answers that callers received."""

import random
from typing import Any

import msgspec

from lacewingdock.components.callers.assemble import assemble
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.ratings import RatingService

log = get_logger("quality")


class _ChatRequest(msgspec.Struct):
    messages: list[dict[str, Any]]


class QualitySampler:
    """Samples answers at random and rates them after their delivery.

    Attributes:
        ratings: The rating service.
        share: Fraction of the answers that is rated.
        good_rating: Lowest rating of a good answer.
        rng: Random number generator of the sampling.
    """

    __slots__ = ("good_rating", "ratings", "rng", "share")

    def __init__(
        self,
        ratings: RatingService,
        share: float,
        good_rating: float,
        rng: random.Random,
    ) -> None:
        """Create a sampler for a rating service."""
        self.ratings = ratings
        self.share = share
        self.good_rating = good_rating
        self.rng = rng

    def should_sample(self) -> bool:
        """Return whether to include the next answer in the sample."""
        return self.rng.random() < self.share

    def is_good(
        self, request_body: bytes, answer_pieces: list[bytes]
    ) -> bool | None:
        """Rate an answer and compare the rating with `good_rating`.

        Args:
            request_body: Body of the request as sent to the upstream.
            answer_pieces: Pieces of the answer.

        Returns:
            Whether the answer is good; None if it could not be rated.
        """
        try:
            text = assemble(answer_pieces)["choices"][0]["message"]["content"]
            messages = decode_json(request_body, _ChatRequest).messages
            rating = self.ratings.rate(messages, text)
        except (
            LacewingdockError,
            msgspec.DecodeError,
            LookupError,
            TypeError,
        ) as error:
            log.info("could not rate an answer", error=str(error))
            return None
        return rating >= self.good_rating
