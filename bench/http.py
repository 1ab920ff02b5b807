"""Support for HTTP calls of the load and the checks, as a caller makes them."""

import io
import socket
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pycurl


@dataclass(slots=True)
class Reply:
    """An HTTP answer; status 0 when there was none.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: The body as far as it came.
        error: Why there is no whole answer; empty when there is.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""

    def json(self) -> Any:
        """Decode the body."""
        return msgspec.json.decode(self.body)


def call(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
    on_data: Any = None,
    on_socket: Any = None,
) -> Reply:
    """Make one call.

    Args:
        method: HTTP method.
        url: Where to.
        body: Encoded as JSON unless it is bytes.
        headers: Headers to send.
        timeout_s: Seconds until it is given up.
        on_data: Called with each piece of the body as it comes.
        on_socket: Called with the connection's socket.
    """
    reply = Reply()
    received = io.BytesIO()

    def take_header(line: bytes) -> None:
        name, _, value = line.decode("latin-1").partition(":")
        reply.headers[name.strip().lower()] = value.strip()

    def take_body(data: bytes) -> None:
        received.write(data)
        if on_data is not None:
            on_data(data)

    def open_socket(_purpose: int, address: Any) -> socket.socket:
        sock = socket.socket(address.family, address.socktype, address.protocol)
        on_socket(sock)
        return sock

    if body is not None and not isinstance(body, bytes):
        body = msgspec.json.encode(body)
    sent = {"Content-Type": "application/json", "Expect": ""}
    sent.update(headers or {})
    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
        curl.setopt(pycurl.HTTPHEADER, [f"{n}: {v}" for n, v in sent.items()])
        if body is not None or method != "GET":
            curl.setopt(pycurl.POSTFIELDS, body or b"")
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.HEADERFUNCTION, take_header)
        curl.setopt(pycurl.WRITEFUNCTION, take_body)
        if on_socket is not None:
            curl.setopt(pycurl.OPENSOCKETFUNCTION, open_socket)
        curl.perform()
    except pycurl.error as error:
        reply.error = str(error)
    finally:
        reply.status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        curl.close()
    reply.body = received.getvalue()
    return reply
