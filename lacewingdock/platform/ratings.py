"""Support for the service that rates answers.

It gives a rough verdict on an answer at once, and a rating of a sample
some time after it was handed in.
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

TIMEOUT_S: Final = 1.0
MAX_ANSWER_BYTES: Final = 1024 * 1024

Score = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
T = TypeVar("T")


@dataclass(slots=True)
class RatingSample:
    """An answer handed in for a rating.

    Attributes:
        id: Names it in the results.
        messages: What was asked.
        answer: What was answered.
    """

    id: str
    messages: list[dict[str, Any]] = field(repr=False)
    answer: str = field(repr=False)


@dataclass(slots=True)
class Result:
    """A rating of a sample, 0 to 1."""

    id: str
    rating: Score


@dataclass(slots=True)
class Results:
    """Ratings that came after some earlier one, and the last one's number."""

    after: int
    ratings: list[Result]


@dataclass(slots=True)
class _Verdict:
    score: Score


class Ratings:
    """A client of the rating service.

    Attributes:
        url: Where it answers.
    """

    __slots__ = ("url",)

    def __init__(self, url: str) -> None:
        """Take the service's URL."""
        self.url = url

    def rate(self, messages: list[dict[str, Any]], text: str) -> float:
        """Return the verdict on an answer, from 0 to 1.

        Raises:
            LacewingdockError: UPSTREAM_FAILED when there is no verdict.
        """
        body = {"messages": messages, "answer": text}
        return self._call("/rate", body, _Verdict).score

    def submit(self, client: str, samples: list[RatingSample]) -> None:
        """Hand samples in; handing one in again does no harm.

        Raises:
            LacewingdockError: UPSTREAM_FAILED when they were not taken.
        """
        body = {"client": client, "samples": samples}
        self._call("/samples", body, dict[str, Any])

    def results(self, client: str, after: int) -> Results:
        """Fetch the ratings that came since.

        Raises:
            LacewingdockError: UPSTREAM_FAILED when there is no answer.
        """
        query = urllib.parse.urlencode({"client": client, "after": after})
        return self._call(f"/samples?{query}", None, Results)

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
                    f"rating service: {reply.status}",
                )
            return cast("T", decode_json(reply.body, cls))
        except (pycurl.error, msgspec.DecodeError) as error:
            raise LacewingdockError(
                ErrorKind.UPSTREAM_FAILED, f"rating service: {error}"
            ) from error
