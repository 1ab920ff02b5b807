"""Client of the service that rates answers.

The service returns a rough verdict on an answer at once, and a rating of a
sample some time after the sample was submitted.
"""

import urllib.parse
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Annotated, Any, Final, TypeVar, cast

import msgspec
import pycurl

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.http_client import send
from lacewingdock.helpers.json import decode_json

# Timeout of a call, in seconds.
TIMEOUT_S: Final = 1.0
# Maximum size of an answer's body, in bytes.
MAX_ANSWER_BYTES: Final = 1024 * 1024

Score = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
T = TypeVar("T")


@dataclass(slots=True)
class RatingSample:
    """An answer that is submitted for a rating.

    Attributes:
        id: Id of the sample in the ratings.
        messages: Messages of the request.
        answer: Text of the answer.
    """

    id: str
    messages: list[dict[str, Any]] = field(repr=False)
    answer: str = field(repr=False)


@dataclass(slots=True)
class SampleRating:
    """The rating of a sample, from 0 to 1."""

    id: str
    rating: Score


@dataclass(slots=True)
class RatingPage:
    """Ratings after a position, and the position of the last of them."""

    after: int
    ratings: list[SampleRating]


@dataclass(slots=True)
class _Verdict:
    """The service's immediate verdict on an answer, from 0 to 1."""

    score: Score


class RatingService:
    """A client of the rating service.

    Attributes:
        url: URL of the service.
    """

    __slots__ = ("url",)

    def __init__(self, url: str) -> None:
        """Set up a client of the service at a URL."""
        self.url = url

    def rate(self, messages: list[dict[str, Any]], text: str) -> float:
        """Return the service's immediate verdict on an answer, from 0 to 1.

        Raises:
            LacewingdockError: UPSTREAM_FAILED if the service returns none.
        """
        body = {"messages": messages, "answer": text}
        return self._call("/rate", body, _Verdict).score

    def submit(self, client: str, samples: list[RatingSample]) -> None:
        """Submit samples for a rating; submitting one again has no effect.

        Raises:
            LacewingdockError: UPSTREAM_FAILED if they were not accepted.
        """
        body = {"client": client, "samples": samples}
        self._call("/samples", body, dict[str, Any])

    def results(self, client: str, after: int) -> RatingPage:
        """Fetch the ratings of a client's samples after a position.

        Raises:
            LacewingdockError: UPSTREAM_FAILED if there is no valid answer.
        """
        query = urllib.parse.urlencode({"client": client, "after": after})
        return self._call(f"/samples?{query}", None, RatingPage)

    def _call(self, path: str, body: Any, cls: type[T]) -> T:
        sent = None if body is None else msgspec.json.encode(body)
        try:
            reply = send(
                self.url + path,
                sent,
                timeout_s=TIMEOUT_S,
                max_bytes=MAX_ANSWER_BYTES,
            )
            if reply.status >= HTTPStatus.BAD_REQUEST:
                raise LacewingdockError(
                    ErrorKind.UPSTREAM_FAILED,
                    f"rating service: status {reply.status}",
                )
            return cast("T", decode_json(reply.body, cls))
        except (pycurl.error, msgspec.DecodeError) as error:
            raise LacewingdockError(
                ErrorKind.UPSTREAM_FAILED, f"rating service: {error}"
            ) from error
