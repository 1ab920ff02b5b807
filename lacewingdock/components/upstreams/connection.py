"""Support for one connection to an upstream instance."""

import contextlib
import select
import socket
import time
from typing import Final

import h11

from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import UpstreamLost
from lacewingdock.helpers.sockets import has_left
from lacewingdock.platform.wire import read_answer
from lacewingdock.world.call import Headers, ResponseHead

# Read at once at most: a link's usual window, so that one read takes what came.
READ_BYTES: Final = 64 * 1024
# Longest head of an answer that is read.
MAX_HEAD_BYTES: Final = 64 * 1024
# An instance that lost power or is behind a cut acknowledges nothing. Without
# the option a write to it is repeated for a quarter of an hour.
USER_TIMEOUT_MS: Final = 1500


class CallerLeft(Exception):
    """The caller closed its connection while the upstream was awaited."""


class TimedOut(Exception):
    """The upstream sent nothing for as long as it was waited for."""


class UpstreamConnection:
    """A connection that carries one request at a time.

    A request is written once: nothing here opens a second connection or
    writes a second time, which client libraries do by themselves when a kept
    connection turns out to be closed.

    Attributes:
        sock: The socket.
        parser: State of the protocol.
        idle_since: Monotonic time at which it was last put aside.
        keep_alive_s: Seconds that it may be kept idle.
        heard_at: Monotonic time of the last bytes that came.
        ended: Whether the upstream closed or reset it.
    """

    __slots__ = (
        "_call",
        "_poll",
        "_request",
        "_watched",
        "ended",
        "heard_at",
        "idle_since",
        "keep_alive_s",
        "parser",
        "sock",
    )

    def __init__(self, sock: socket.socket, keep_alive_s: float) -> None:
        """Take a connected socket."""
        self.sock = sock
        self.keep_alive_s = keep_alive_s
        self.idle_since = time.monotonic()
        self.heard_at = 0.0
        self.ended = False
        self.parser = _new_parser()
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        self._watched: socket.socket | None = None
        self._request: h11.Request | None = None
        self._call = ""

    def fit(self) -> bool:
        """Whether a request may be sent: open, clean and not too old.

        Bytes or an end that wait unread belong to no request that is still
        to be sent.
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
            UpstreamLost: It could not be written; whether it ran is unknown
                unless not one byte was taken.
        """
        self._call = call_id
        self._request = h11.Request(
            method=method, target=target, headers=headers
        )
        data = _written(self.parser, self._request, body)
        self.sock.settimeout(max(timeout_s, 0.01))
        try:
            self.sock.sendall(data)
        except OSError as error:
            self.ended = True
            raise UpstreamLost(f"send: {error!r}", RAN_UNKNOWN) from error

    def watch_caller(self, caller: socket.socket | None) -> None:
        """Have waits end when the caller closes its connection."""
        if self._watched is not None:
            self._poll.unregister(self._watched)
        self._watched = caller
        if caller is not None:
            self._poll.register(caller, select.POLLIN)

    def read_head(self, until: float) -> ResponseHead:
        """Read the head of the answer, passing over what is not its own.

        An upstream may send a second answer to an earlier request. It comes
        where this one's is due and is told by the id it bears.

        Args:
            until: Monotonic time to wait to.

        Raises:
            UpstreamLost: The connection broke or spoke no HTTP.
            TimedOut: Nothing came in time.
            CallerLeft: The caller left.
        """
        while True:
            event = self._next(until)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise UpstreamLost(f"unexpected {type(event).__name__}")
            raw = event.headers.raw_items()
            head = read_answer(event.status_code, list(event.headers), raw)
            if not head.call or head.call == self._call:
                return head
            self._skip_answer(until)

    def read_body(self, until: float) -> bytes | None:
        """Read what comes next of the body; None at its end.

        Raises:
            UpstreamLost, TimedOut, CallerLeft: As `read_head`.
        """
        event = self._next(until)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamLost(f"unexpected {type(event).__name__}")

    def read_whole(self, until: float, most: int) -> bytes:
        """Read the rest of the body.

        Raises:
            UpstreamLost, TimedOut, CallerLeft: As `read_head`.
        """
        parts: list[bytes] = []
        size = 0
        while (data := self.read_body(until)) is not None:
            parts.append(data)
            size += len(data)
            if size > most:
                raise UpstreamLost(f"body of more than {most} bytes")
        return b"".join(parts)

    def rest(self) -> bool:
        """Make it ready for another request; return whether it can take one.

        A whole answer must have been read, nothing may follow it, and neither
        side may have asked for the connection to end.
        """
        self.watch_caller(None)
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        if self.parser.trailing_data[0]:
            return False
        self.parser.start_next_cycle()
        self.idle_since = time.monotonic()
        return True

    def close(self) -> None:
        """Close it; the upstream drops what it still does."""
        with contextlib.suppress(OSError):
            self.sock.close()

    def _skip_answer(self, until: float) -> None:
        while not isinstance(self._next(until), h11.EndOfMessage):
            pass
        rest, closed = self.parser.trailing_data
        if closed or self._request is None:
            raise UpstreamLost("closed after another request's answer")
        self.parser = _new_parser()
        _written(self.parser, self._request, b"", sized=False)
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
            # Rounded up: a wait of 0 ms would spin through the last one.
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
            self.heard_at = time.monotonic()
        else:
            self.ended = True
        try:
            self.parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise UpstreamLost(f"not HTTP: {error}") from error

    def _check_caller(self, caller: socket.socket) -> None:
        """End the wait if the caller left; a next request does not count.

        Raises:
            CallerLeft: It did.
        """
        if has_left(caller):
            raise CallerLeft
        # It sent more ahead of its time, which is read after this answer.
        self.watch_caller(None)


def connect(host: str, port: int, timeout_s: float) -> socket.socket:
    """Connect to an upstream.

    Raises:
        UpstreamLost: There is no connection, so nothing ran.
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


def _written(
    parser: h11.Connection,
    request: h11.Request,
    body: bytes,
    sized: bool = True,
) -> bytes:
    """Return a request's bytes and move the parser past them."""
    data = bytearray(parser.send(request) or b"")
    if not sized:
        # The body went out before; only the parser's state is wanted.
        length = dict(request.headers).get(b"content-length", b"0")
        body = bytes(int(length))
    if body:
        data += parser.send(h11.Data(data=body)) or b""
    data += parser.send(h11.EndOfMessage()) or b""
    return bytes(data)
