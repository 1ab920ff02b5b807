"""HTTP client that opens a new connection for each call."""

import io
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import pycurl

from lacewingdock.helpers.transfer import Progress, TransferLimits, Transfers

# Default timeout of a call, in seconds.
TIMEOUT_S: Final = 5.0
HTTP_OK: Final = 200
# Return value of a write callback that makes libcurl abort the transfer.
_ABORT: Final = -1


@dataclass(slots=True, frozen=True)
class HttpReply:
    """Response of a server.

    Attributes:
        status: HTTP status.
        body: The complete body.
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
    limits: TransferLimits | None = None,
    max_bytes: int | None = None,
    fail_on_error: bool = False,
) -> HttpReply:
    """Make one call.

    Args:
        url: URL to call, with an IP number as host.
        body: Request body; None sends no body.
        method: HTTP method; if empty, POST with a body and GET without.
        headers: Request headers, as lines "Name: value".
        timeout_s: Timeout of the whole call, in seconds.
        limits: Limits of a call whose response may be long, in place of the
            timeout; the response may be compressed then.
        max_bytes: Longest response body that is read; None for no limit.
        fail_on_error: Whether a status of 400 or above raises an error.

    Raises:
        pycurl.error: The call failed or the response body is too long.
        TransferError: The same, of a call with limits.
    """
    received = io.BytesIO()
    progress = Progress()

    def append_body(data: bytes) -> int | None:
        progress.add(len(data))
        if max_bytes is not None and received.tell() + len(data) > max_bytes:
            return _ABORT
        received.write(data)
        return None

    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.FAILONERROR, int(fail_on_error))
        # An empty "Expect" header: otherwise libcurl waits for "100 Continue"
        # before it sends a long body.
        curl.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, body)
        if method:
            curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.WRITEFUNCTION, append_body)
        if limits is None:
            curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
            curl.perform()
        else:
            _transfer(curl, limits, progress)
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
    finally:
        curl.close()
    return HttpReply(status, received.getvalue())


def _transfer(
    curl: pycurl.Curl, limits: TransferLimits, progress: Progress
) -> None:
    """Make a call whose response may be long and compressed."""
    curl.setopt(pycurl.ACCEPT_ENCODING, "")
    curl.setopt(pycurl.HEADERFUNCTION, progress.read_header)
    transfers = Transfers()
    try:
        transfers.perform(curl, limits, progress)
    finally:
        transfers.close()


def get(url: str, timeout_s: float = TIMEOUT_S) -> bytes:
    """Return the body of a GET response.

    Args:
        url: URL to call, with an IP number as host.
        timeout_s: Timeout of the whole call, in seconds.

    Raises:
        OSError: The call failed or the status is not 200.
    """
    try:
        reply = send(url, timeout_s=timeout_s)
    except pycurl.error as error:
        raise OSError(f"{url}: {error.args[-1]}") from error
    if reply.status != HTTP_OK:
        raise OSError(f"{url}: status {reply.status}")
    return reply.body
