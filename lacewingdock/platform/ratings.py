"""Support for the service that rates answers."""

import io
from typing import Any, Final

import msgspec
import pycurl

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.json import decode_json

TIMEOUT_MS: Final = 1000


class _Verdict(msgspec.Struct):
    score: float


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
        """Return the rating of an answer, from 0 to 1.

        Raises:
            LacewingdockError: UPSTREAM_FAILED when there is no verdict.
        """
        received = io.BytesIO()
        curl = pycurl.Curl()
        try:
            curl.setopt(pycurl.URL, self.url + "/rate")
            curl.setopt(pycurl.NOSIGNAL, 1)
            curl.setopt(pycurl.NOPROXY, "*")
            curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
            curl.setopt(
                pycurl.POSTFIELDS,
                msgspec.json.encode({"messages": messages, "answer": text}),
            )
            curl.setopt(pycurl.WRITEFUNCTION, received.write)
            curl.perform()
            verdict = decode_json(received.getvalue(), _Verdict)
        except (pycurl.error, msgspec.DecodeError) as error:
            raise LacewingdockError(
                ErrorKind.UPSTREAM_FAILED, f"rating service: {error}"
            ) from error
        finally:
            curl.close()
        return verdict.score
