"""Server side of HTTP/1.1 connections: reads requests, sends responses."""

import contextlib
import select
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, NoReturn

import h11

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.byte_budget import ByteBudget
from lacewingdock.helpers.sockets import peer_closed
from lacewingdock.world.call import Headers
from lacewingdock.world.route import CallerLimits

# Bytes per read: a usual receive window, so that one read empties the socket.
READ_BYTES: Final = 64 * 1024
# Bytes of each request's body that count towards no budget: nearly all bodies
# are shorter.
FREE_BODY_BYTES: Final = 128 * 1024
# Timeout of one write in seconds. The response to a caller that reads nothing
# would hold memory and a slot of an upstream.
WRITE_S: Final = 10.0
# Seconds for which the rest of a rejected request is read before the close.
# Closing with unread bytes resets the connection and can discard the response.
LINGER_S: Final = 0.5
# TCP_USER_TIMEOUT in milliseconds, as for upstreams: a caller behind a network
# partition acknowledges nothing.
USER_TIMEOUT_MS: Final = 10_000

_ERROR_KINDS: Final = {
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: ErrorKind.HEADERS_TOO_LARGE,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
}


class CallerDisconnected(Exception):
    """The caller closed its connection, or the connection failed."""


@dataclass(slots=True)
class ServerRequest:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        headers: Headers with names in lower case.
        raw: The same headers, in the same order, with names as received.
        body: The complete body.
    """

    method: bytes
    target: bytes
    headers: Headers
    raw: Headers
    body: bytes


class ServerConnection:
    """A connection that one thread serves.

    Attributes:
        sock: The socket.
        parser: State of the HTTP protocol.
        keep_alive: Whether another request may follow.
        started: Whether the head of a response was sent.
        received_at: Monotonic time at which the last request was complete.
        last_received_at: Monotonic time of the last read that returned bytes.
        accepted_at: Monotonic time at which the connection was accepted; None
            if unknown or once a request was read.
        queued_s: Seconds from the accept to the complete request; None if
            unknown, or if the last request was not the first.
        budget: Limits the bytes of all requests' bodies that are held, beyond
            `FREE_BODY_BYTES` of each; None for no limit.
    """

    __slots__ = (
        "_held",
        "_poll",
        "accepted_at",
        "budget",
        "keep_alive",
        "last_received_at",
        "parser",
        "queued_s",
        "received_at",
        "sock",
        "started",
    )

    def __init__(
        self,
        sock: socket.socket,
        accepted_at: float | None = None,
        budget: ByteBudget | None = None,
    ) -> None:
        """Set the TCP options of an accepted socket."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        self.sock = sock
        self.parser = h11.Connection(h11.SERVER)
        self.keep_alive = True
        self.started = False
        self.received_at = 0.0
        self.last_received_at = 0.0
        self.accepted_at = accepted_at
        self.queued_s: float | None = None
        self.budget = budget
        self._held = 0
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)

    def read_request(self, limits: CallerLimits) -> ServerRequest | None:
        """Read a request; None if the caller sent none.

        The body counts towards the budget until the next call, or the close.

        Raises:
            LacewingdockError: BAD_REQUEST, HEADERS_TOO_LARGE, BODY_TOO_LARGE,
                SLOW_CALLER, or OVERLOADED if there was no room for the body.
            CallerDisconnected: The connection failed.
        """
        self._release_body()
        self._next_cycle(limits)
        until = time.monotonic() + limits.idle_s
        event = self._event_or_none()
        while event is None:
            if not self._receive(until):
                return None
            if until > time.monotonic() + limits.read_s:
                until = time.monotonic() + limits.read_s
            event = self._event_or_none()
        if not isinstance(event, h11.Request):
            return None
        self.started = False
        self._check_head(event, limits.header_bytes)
        length = self._check_length(event, limits.body_bytes)
        self._hold_body(length, limits.read_s)
        # The body must be complete within the read limit from now on.
        until = time.monotonic() + limits.read_s
        body = self._read_body(until, limits.body_bytes)
        self._record_received()
        return ServerRequest(
            event.method,
            event.target,
            list(event.headers),
            event.headers.raw_items(),
            body,
        )

    def _record_received(self) -> None:
        self.received_at = time.monotonic()
        self.queued_s = None
        if self.accepted_at is not None:
            self.queued_s = self.received_at - self.accepted_at
        self.accepted_at = None

    @property
    def reusable(self) -> bool:
        """Whether another request may be read from this connection."""
        return self.keep_alive and self.parser.our_state is h11.DONE

    @property
    def complete(self) -> bool:
        """Whether the response was sent completely."""
        return self.parser.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def caller_closed(self) -> bool:
        """Return whether the caller closed its connection."""
        return bool(self._poll.poll(0)) and peer_closed(self.sock)

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose length is not known yet.

        Raises:
            CallerDisconnected: The connection failed.
        """
        self.started = True
        if not self.keep_alive:
            headers = [*headers, (b"Connection", b"close")]
        self._send(h11.Response(status_code=status, headers=headers))

    def send(self, data: bytes) -> None:
        """Send a part of the body.

        Raises:
            CallerDisconnected: The connection failed.
        """
        self._send(h11.Data(data=data))

    def finish(self) -> None:
        """End the body.

        Raises:
            CallerDisconnected: The connection failed.
        """
        self._send(h11.EndOfMessage())

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response.

        Raises:
            CallerDisconnected: The connection failed.
        """
        self.started = True
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        if not self.keep_alive:
            headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=status, headers=headers)
        self._send(head, h11.Data(data=body), h11.EndOfMessage())

    def close(self) -> None:
        """Close the connection, after draining the rest of a request."""
        self._release_body()
        with contextlib.suppress(OSError):
            if self.parser.their_state in (h11.SEND_BODY, h11.ERROR):
                self._drain()
        self.abort()

    def abort(self) -> None:
        """Close the connection at once; a response stays incomplete."""
        self._release_body()
        with contextlib.suppress(OSError):
            self.sock.close()

    def _next_cycle(self, limits: CallerLimits) -> None:
        if self.parser.our_state is h11.DONE:
            self.parser.start_next_cycle()
        # The limit is a setting that may change while the connection is open,
        # but h11 accepts it only when the parser is created.
        if self.parser.our_state is h11.IDLE:
            rest = self.parser.trailing_data[0]
            self.parser = h11.Connection(
                h11.SERVER, max_incomplete_event_size=limits.header_bytes
            )
            if rest:
                self.parser.receive_data(rest)

    def _event_or_none(self) -> h11.Event | None:
        try:
            event = self.parser.next_event()
        except h11.RemoteProtocolError as error:
            self.keep_alive = False
            kind = _ERROR_KINDS.get(
                HTTPStatus(error.error_status_hint), ErrorKind.BAD_REQUEST
            )
            raise LacewingdockError(kind, str(error)) from error
        return None if event is h11.NEED_DATA else event  # type: ignore[return-value]

    def _check_head(self, request: h11.Request, max_bytes: int) -> None:
        """Reject a head that is too long, or has two body lengths.

        h11 limits only heads that arrive in several reads. With both lengths,
        two servers can disagree on where the body ends: one parses a part of
        the body as the next request (request smuggling).

        Raises:
            LacewingdockError: HEADERS_TOO_LARGE or BAD_REQUEST.
        """
        size = len(request.method) + len(request.target)
        size += sum(len(n) + len(v) + 4 for n, v in request.headers)
        if size > max_bytes:
            self.keep_alive = False
            raise LacewingdockError(
                ErrorKind.HEADERS_TOO_LARGE, f"headers exceed {max_bytes} bytes"
            )
        names = {name for name, _ in request.headers}
        if names >= {b"transfer-encoding", b"content-length"}:
            self.keep_alive = False
            raise LacewingdockError(
                ErrorKind.BAD_REQUEST,
                "request has both Transfer-Encoding and Content-Length",
            )

    def _check_length(self, request: h11.Request, max_bytes: int) -> int:
        """Return the length of a body that the head tells, else 0.

        Raises:
            LacewingdockError: BODY_TOO_LARGE.
        """
        for name, value in request.headers:
            if name == b"content-length":
                length = int(value)
                if length > max_bytes:
                    self._raise_too_large(max_bytes)
                return length
        return 0

    def _raise_too_large(self, max_bytes: int) -> NoReturn:
        self.keep_alive = False
        raise LacewingdockError(
            ErrorKind.BODY_TOO_LARGE, f"body exceeds {max_bytes} bytes"
        )

    def _hold_body(self, length: int, wait_s: float) -> None:
        """Count a body of a length towards the budget, once there is room.

        A whole body is counted before it is read: bodies that are read in part
        would wait for each other.

        Raises:
            LacewingdockError: OVERLOADED.
        """
        if self.budget is None:
            return
        # A body longer than the budget is read alone.
        counted = min(length - FREE_BODY_BYTES, self.budget.limit)
        more = counted - self._held
        if more <= 0:
            return
        if not self.budget.take_within(more, wait_s):
            self.keep_alive = False
            raise LacewingdockError(
                ErrorKind.OVERLOADED,
                f"no room for a body of {length} bytes",
            )
        self._held += more

    def _release_body(self) -> None:
        if self.budget is not None and self._held:
            self.budget.give_back(self._held)
        self._held = 0

    def _read_body(self, until: float, max_bytes: int) -> bytes:
        # Parts in a list would take many times their size if they are short.
        body = bytearray()
        while True:
            event = self._event_or_none()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > max_bytes:
                    self._raise_too_large(max_bytes)
                # A body without a length that others left no room for can't
                # wait: it holds what it has.
                self._hold_body(len(body), 0.0)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif event is None:
                self._receive_body(until)
            else:
                raise CallerDisconnected

    def _receive_body(self, until: float) -> None:
        if self.parser.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._send(go_on)
        if not self._receive(until):
            self.keep_alive = False
            raise LacewingdockError(
                ErrorKind.SLOW_CALLER,
                "timed out while reading the request body",
            )

    def _receive(self, until: float) -> bool:
        """Read available bytes; return whether any arrived in time.

        Raises:
            LacewingdockError: SLOW_CALLER, if part of a head was received.
            CallerDisconnected: The connection failed.
        """
        left_s = until - time.monotonic()
        if left_s <= 0 or not self._poll.poll(int(left_s * 1000) + 1):
            if self.parser.trailing_data[0]:
                self.keep_alive = False
                raise LacewingdockError(
                    ErrorKind.SLOW_CALLER,
                    "timed out while reading the request headers",
                )
            return False
        try:
            data = self.sock.recv(READ_BYTES)
        except OSError as error:
            raise CallerDisconnected from error
        self.last_received_at = time.monotonic()
        if not data and self.parser.their_state is h11.SEND_BODY:
            raise CallerDisconnected
        try:
            self.parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise CallerDisconnected from error
        return True

    def _send(self, *events: h11.Event) -> None:
        data = b"".join(self.parser.send(event) or b"" for event in events)
        try:
            self.sock.settimeout(WRITE_S)
            self.sock.sendall(data)
        except OSError as error:
            self.keep_alive = False
            raise CallerDisconnected from error

    def _drain(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)
        until = time.monotonic() + LINGER_S
        while (left_s := until - time.monotonic()) > 0:
            self.sock.settimeout(left_s)
            if not self.sock.recv(READ_BYTES):
                return


def serve_requests(
    sock: socket.socket,
    limits: CallerLimits,
    answer: Callable[[ServerConnection, ServerRequest], None],
) -> None:
    """Handle the requests of a connection until either side closes it.

    Raises:
        LacewingdockError, CallerDisconnected: As for
            `ServerConnection.read_request`.
    """
    connection = ServerConnection(sock)
    try:
        while request := connection.read_request(limits):
            answer(connection, request)
            if not connection.reusable:
                return
    finally:
        connection.close()
