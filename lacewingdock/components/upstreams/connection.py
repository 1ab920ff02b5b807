"""Support for one connection to an upstream instance."""

import contextlib
import itertools
import select
import socket
import time
from array import array
from dataclasses import dataclass
from typing import Final

import h11

from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import UpstreamLost
from lacewingdock.helpers.byte_budget import ByteBudget
from lacewingdock.helpers.sockets import peer_closed
from lacewingdock.platform.wire import read_answer
from lacewingdock.world.call import Headers, ResponseHead

# Largest read, in bytes: a usual receive window, so that one read returns all
# that has arrived.
READ_BYTES: Final = 64 * 1024
# Largest response head accepted, in bytes.
MAX_HEAD_BYTES: Final = 64 * 1024
# Bytes of a response body that are read without regard to other bodies.
FREE_BODY_BYTES: Final = 64 * 1024
# Most bytes of responses to other requests, and most informational responses,
# that are skipped before the response to a request.
MAX_SKIPPED_BYTES: Final = 1024 * 1024
MAX_INFORMATIONAL: Final = 16
# Milliseconds after which unacknowledged data closes the connection. An
# instance that lost power or is behind a network partition acknowledges
# nothing; by default the kernel retransmits for a quarter of an hour.
USER_TIMEOUT_MS: Final = 1500
# Requests after which a connection is closed; it remembers 8 bytes of each.
MAX_REQUESTS: Final = 1000

_numbers = itertools.count(1)


class CallerLeft(Exception):
    """The caller closed its connection during a wait for the upstream."""


class TimedOut(Exception):
    """The upstream sent nothing until the deadline of a read."""


@dataclass(slots=True, frozen=True)
class ConnectionUse:
    """What one request used of a connection, for the log.

    Attributes:
        connection: Number of the connection, unique in this process.
        requests: Number of requests sent over it so far, including this one.
        skipped: Number of responses to other requests that were skipped.
        head_after_s: Seconds from the request's last byte to its response
            head; None if no head was read.
    """

    connection: int
    requests: int
    skipped: int
    head_after_s: float | None


class UpstreamConnection:
    """An HTTP/1.1 connection that carries one request at a time.

    A request is written once. Client libraries retry on a new connection when a
    pooled one turns out to be closed; this class never does, since the request
    may have run.

    A connection carries an id once. An upstream may send a second response to
    an earlier request; if that was an earlier attempt of the same request, the
    ids would not tell the two apart.

    Attributes:
        number: Number of the connection, unique in this process.
        requests: Number of requests sent over it so far.
        skipped: Responses to other requests skipped during this request.
        sent_at: Monotonic time at which the request was written.
        head_at: Monotonic time at which its response head was read; 0 before.
        sock: The socket.
        parser: State of the HTTP parser.
        idle_since: Monotonic time since which the connection is idle.
        keep_alive_s: Seconds for which the connection may stay idle.
        last_received_at: Monotonic time of the last bytes received.
        received_bytes: Number of bytes received.
        ended: Whether the upstream closed or reset the connection.
    """

    __slots__ = (
        "_call",
        "_carried",
        "_poll",
        "_request",
        "_watched",
        "ended",
        "head_at",
        "idle_since",
        "keep_alive_s",
        "last_received_at",
        "number",
        "parser",
        "received_bytes",
        "requests",
        "sent_at",
        "skipped",
        "sock",
    )

    def __init__(self, sock: socket.socket, keep_alive_s: float) -> None:
        """Wrap a connected socket; it may stay idle for `keep_alive_s`."""
        self.number = next(_numbers)
        self.requests = 0
        self.skipped = 0
        self.sent_at = 0.0
        self.head_at = 0.0
        self.sock = sock
        self.keep_alive_s = keep_alive_s
        self.idle_since = time.monotonic()
        self.last_received_at = 0.0
        self.received_bytes = 0
        self.ended = False
        self.parser = _new_parser()
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        self._watched: socket.socket | None = None
        self._request: h11.Request | None = None
        self._call = ""
        # Hashes of the ids of all requests sent over the connection.
        self._carried = array("q")

    def has_carried(self, call_id: str) -> bool:
        """Whether a request with this id was sent over the connection.

        Two ids with the same hash only cost a connection.
        """
        return hash(call_id) in self._carried

    def is_reusable(self) -> bool:
        """Whether a new request may be sent: open, drained and not too old.

        Unread bytes or an unread end of the stream cannot belong to a request
        that is still to be sent.
        """
        idle_s = time.monotonic() - self.idle_since
        return idle_s < self.keep_alive_s and not self._poll.poll(0)

    def send(
        self,
        call_id: str,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        timeout_s: float,
    ) -> None:
        """Write a request.

        Raises:
            UpstreamLost: The request could not be written in full; whether it
                ran is unknown.
        """
        self._call = call_id
        self._carried.append(hash(call_id))
        self.requests += 1
        self.skipped = 0
        self.head_at = 0.0
        self._request = h11.Request(
            method=method, target=target, headers=headers
        )
        data = _serialize(self.parser, self._request, body)
        self.sock.settimeout(max(timeout_s, 0.01))
        try:
            self.sock.sendall(data)
        except OSError as error:
            self.ended = True
            raise UpstreamLost(f"send: {error!r}", RAN_UNKNOWN) from error
        self.sent_at = time.monotonic()

    def use(self) -> ConnectionUse:
        """Return what the current request used of the connection."""
        head_after_s = self.head_at - self.sent_at if self.head_at else None
        return ConnectionUse(
            self.number, self.requests, self.skipped, head_after_s
        )

    def watch_caller(self, caller: socket.socket | None) -> None:
        """End waits when the caller closes its connection; None stops that."""
        if self._watched is not None:
            self._poll.unregister(self._watched)
        self._watched = caller
        if caller is not None:
            self._poll.register(caller, select.POLLIN)

    def read_head(self, until: float) -> ResponseHead:
        """Read the response head, skipping responses to other requests.

        An upstream may send a second response to an earlier request, in the
        place of the response to this one. The request id in its head tells
        the two apart. A response without an id names no request, so it proves
        nothing about one that has an id.

        Args:
            until: Deadline as monotonic time.

        Raises:
            UpstreamLost: The connection broke or the response is not HTTP.
            TimedOut: No complete head arrived by the deadline.
            CallerLeft: The caller closed its connection.
        """
        received = self.received_bytes
        informational = 0
        while True:
            event = self._next(until)
            if self.received_bytes - received > MAX_SKIPPED_BYTES:
                raise UpstreamLost("no answer among the bytes received")
            if isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL:
                    raise UpstreamLost("informational responses without end")
                continue
            if not isinstance(event, h11.Response):
                raise UpstreamLost(f"unexpected {type(event).__name__}")
            raw = event.headers.raw_items()
            head = read_answer(event.status_code, list(event.headers), raw)
            if head.call == self._call:
                self.head_at = time.monotonic()
                return head
            self.skipped += 1
            self._skip_answer(until)

    def read_body(self, until: float) -> bytes | None:
        """Read the next part of the response body; None at its end.

        Raises:
            UpstreamLost, TimedOut, CallerLeft: As for `read_head`.
        """
        event = self._next(until)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamLost(f"unexpected {type(event).__name__}")

    def read_full_body(
        self, until: float, most: int, budget: ByteBudget
    ) -> bytes:
        """Read the response body to its end.

        Args:
            until: Deadline as monotonic time.
            most: Largest size accepted, in bytes.
            budget: Limits the bytes of all bodies that are being read, beyond
                `FREE_BODY_BYTES` of each.

        Raises:
            UpstreamLost: The body is larger, the budget is used up, or as for
                `read_head`.
            TimedOut, CallerLeft: As for `read_head`.
        """
        # Parts in a list would take many times their size if they are short.
        body = bytearray()
        held = 0
        try:
            while (data := self.read_body(until)) is not None:
                body += data
                if len(body) > most:
                    raise UpstreamLost(f"body of more than {most} bytes")
                more = len(body) - FREE_BODY_BYTES - held
                if more > 0:
                    if not budget.take(more):
                        raise UpstreamLost(
                            f"bodies of more than {budget.limit} bytes"
                        )
                    held += more
        finally:
            budget.give_back(held)
        return bytes(body)

    def reset(self) -> bool:
        """Prepare for the next request; return whether reuse is possible.

        The response must have been read completely, no bytes may follow it,
        and neither side may have asked to close the connection.
        """
        self.watch_caller(None)
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        if self.parser.trailing_data[0] or self.requests >= MAX_REQUESTS:
            return False
        self.parser.start_next_cycle()
        self.idle_since = time.monotonic()
        return True

    def close(self) -> None:
        """Close the connection; the upstream aborts a request still running."""
        with contextlib.suppress(OSError):
            self.sock.close()

    def _skip_answer(self, until: float) -> None:
        received = self.received_bytes
        while not isinstance(self._next(until), h11.EndOfMessage):
            if self.received_bytes - received > MAX_SKIPPED_BYTES:
                raise UpstreamLost("another request's answer without end")
        rest, closed = self.parser.trailing_data
        if closed or self._request is None:
            raise UpstreamLost("closed after another request's answer")
        self.parser = _new_parser()
        _serialize(self.parser, self._request, b"", sized=False)
        if rest:
            self.parser.receive_data(rest)

    def _next(self, until: float) -> h11.Event:
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                raise UpstreamLost(f"not HTTP: {error}") from error
            if event is h11.NEED_DATA:
                self._receive(until)
                continue
            if not isinstance(event, h11.Event):
                raise UpstreamLost("bytes after the answer")
            return event

    def _receive(self, until: float) -> None:
        while True:
            left_s = until - time.monotonic()
            if left_s <= 0:
                raise TimedOut
            # Rounded up: poll(0) would busy-wait through the last millisecond.
            ready = dict(self._poll.poll(int(left_s * 1000) + 1))
            if self.sock.fileno() in ready:
                break
            if self._watched and self._watched.fileno() in ready:
                self._check_caller(self._watched)
        try:
            data = self.sock.recv(READ_BYTES)
        except OSError as error:
            self.ended = True
            raise UpstreamLost(f"receive: {error!r}") from error
        if data:
            self.last_received_at = time.monotonic()
            self.received_bytes += len(data)
        else:
            self.ended = True
        try:
            self.parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise UpstreamLost(f"not HTTP: {error}") from error

    def _check_caller(self, caller: socket.socket) -> None:
        """End the wait if the caller closed its connection.

        A pipelined request also makes the socket readable and ends no wait.

        Raises:
            CallerLeft: The caller closed its connection.
        """
        if peer_closed(caller):
            raise CallerLeft
        # The caller pipelined a request, which is read after this response.
        self.watch_caller(None)


def connect(host: str, port: int, timeout_s: float) -> socket.socket:
    """Open a TCP connection to an upstream.

    Raises:
        UpstreamLost: The connection failed, so the request did not run.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        sock.settimeout(timeout_s)
        sock.connect((host, port))
    except OSError as error:
        sock.close()
        raise UpstreamLost(f"connect: {error!r}", RAN_NO) from error
    return sock


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _serialize(
    parser: h11.Connection,
    request: h11.Request,
    body: bytes,
    sized: bool = True,
) -> bytes:
    """Return a request's bytes and advance the parser past them.

    Args:
        parser: The parser.
        request: Method, target and headers.
        body: The body.
        sized: Whether `body` is the real body; else zero bytes of the declared
            length stand in for it.
    """
    data = bytearray(parser.send(request) or b"")
    if not sized:
        # The body was sent before; only the parser has to advance.
        length = dict(request.headers).get(b"content-length", b"0")
        body = bytes(int(length))
    if body:
        data += parser.send(h11.Data(data=body)) or b""
    data += parser.send(h11.EndOfMessage()) or b""
    return bytes(data)
