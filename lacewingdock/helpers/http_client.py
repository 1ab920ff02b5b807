"""Support for calling HTTP servers once, each call on its own connection."""

import io
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import pycurl

TIMEOUT_S: Final = 5.0
HTTP_OK: Final = 200
# What a write callback returns to have the transfer ended.
_ABORT: Final = -1


@dataclass(slots=True, frozen=True)
class HttpReply:
    """What a server answered.

    Attributes:
        status: HTTP status.
        body: The whole body.
    """

    status: int
    body: bytes


def send(
    url: str,
    body: bytes | None = None,
    *,
    method: str = "",
    headers: Sequence[str] = (),
    timeout_s: float = TIMEOUT_S,
    max_bytes: int | None = None,
    fail_on_error: bool = False,
) -> HttpReply:
    """Make one call.

    Args:
        url: Where to, by IP number.
        body: What is sent; None sends no body.
        method: GET without a body and POST with one, where it is empty.
        headers: Lines "Name: value".
        timeout_s: Seconds until it is given up.
        max_bytes: Longest body that is read; None reads any.
        fail_on_error: Whether a status from 400 on is no answer.

    Raises:
        pycurl.error: There is no answer, or its body is too long.
    """
    received = io.BytesIO()

    def append_body(data: bytes) -> int | None:
        if max_bytes is not None and received.tell() + len(data) > max_bytes:
            return _ABORT
        received.write(data)
        return None

    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
        curl.setopt(pycurl.FAILONERROR, int(fail_on_error))
        # Without it a long body waits for a "100 Continue" first.
        curl.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, body)
        if method:
            curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.WRITEFUNCTION, append_body)
        curl.perform()
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
    finally:
        curl.close()
    return HttpReply(status, received.getvalue())


def get(url: str, timeout_s: float = TIMEOUT_S) -> bytes:
    """Read what a URL answers.

    Args:
        url: Where to, by IP number.
        timeout_s: Seconds until it is given up.

    Raises:
        OSError: There is no answer, or its status is not 200.
    """
    try:
        reply = send(url, timeout_s=timeout_s)
    except pycurl.error as error:
        raise OSError(f"{url}: {error.args[-1]}") from error
    if reply.status != HTTP_OK:
        raise OSError(f"{url}: status {reply.status}")
    return reply.body
