"""Support for connections to an HTTP server whose far end may misbehave."""

import contextlib
import socket
import ssl
import time
from typing import Any, Final

from cheroot import errors
from cheroot.makefile import StreamReader
from cheroot.server import ChunkedRFile, HTTPConnection, HTTPRequest

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.problem_response import problem_response

# A socket closed with unread bytes in it resets the connection, and the reset
# can overtake the answer: the caller sees "connection reset" and no code. So
# what a refused caller still sends is read for a moment before the close.
LINGER_S: Final = 1.0
LINGER_BYTES: Final = 4 * 1024 * 1024
_DRAIN_BYTES: Final = 65536

# What the server library answers by itself, and the kind that stands for it.
_KINDS: Final = {
    "408": ErrorKind.SLOW_CALLER,
    "413": ErrorKind.HEADERS_TOO_LARGE,
    "414": ErrorKind.HEADERS_TOO_LARGE,
    "500": ErrorKind.INTERNAL,
}


class TimedSocket(socket.SocketIO):
    """Reads a socket by a deadline for the whole request.

    A limit for each read alone does not end a caller that sends a byte now
    and then; it would hold a thread for good.

    Attributes:
        sock: The socket.
        stall_s: Seconds that one read may take.
        deadline: Monotonic time by which the request must be here.
    """

    def __init__(self, sock: socket.socket, stall_s: float) -> None:
        """Start without a deadline."""
        super().__init__(sock, "r")
        self.sock = sock
        self.stall_s = stall_s
        self.deadline = float("inf")

    def readinto(self, buffer: Any) -> int | None:
        """Read what comes, by the deadline.

        Raises:
            TimeoutError: Nothing came in time.
        """
        left = self.deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("timed out")
        self.sock.settimeout(min(left, self.stall_s))
        try:
            return super().readinto(buffer)
        finally:
            self.sock.settimeout(self.stall_s)


class Reader(StreamReader):
    """Buffers what a `TimedSocket` reads."""

    def __init__(self, source: TimedSocket, buffer_bytes: int) -> None:
        """Start with an empty buffer."""
        super(StreamReader, self).__init__(source, buffer_bytes)
        self.bytes_read = 0


class Writer:
    """Writes straight to a socket, each write by a time limit of its own.

    The answer's pieces are whole events; another buffer in between costs two
    copies and a lock for each of them. `sendall` limits the whole write, so
    a caller that takes a byte now and then does not hold the thread.

    Attributes:
        sock: The socket.
        bytes_written: Bytes written so far.
    """

    __slots__ = ("bytes_written", "sock")

    def __init__(self, sock: socket.socket) -> None:
        """Take the socket."""
        self.sock = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Write all of it.

        Raises:
            OSError: The caller went away or did not take it in time.
        """
        self.sock.sendall(data)
        self.bytes_written += len(data)
        return len(data)


class Request(HTTPRequest):
    """One request; what the library refuses becomes problem details."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer what the library refuses before the application sees it."""
        kind = _KINDS.get(str(status)[:3], ErrorKind.BAD_REQUEST)
        if kind is ErrorKind.HEADERS_TOO_LARGE and self._body_too_large():
            kind = ErrorKind.BODY_TOO_LARGE
        self.refuse(LacewingdockError(kind, msg or str(status)))

    def refuse(self, error: LacewingdockError) -> None:
        """Send an error and close the connection after it."""
        response = problem_response(error, new_id())
        response.headers["Connection"] = "close"
        self.close_connection = self.sent_headers = True
        self.conn.drain = True
        head = [f"HTTP/1.1 {response.status}"]
        head += [f"{name}: {value}" for name, value in response.headers]
        text = "\r\n".join(head) + "\r\n\r\n"
        with contextlib.suppress(OSError):
            self.conn.wfile.write(text.encode("latin-1") + response.data)

    def _body_too_large(self) -> bool:
        limit = self.server.max_request_body_size
        length = self.inheaders.get(b"Content-Length", b"0")
        return bool(limit) and length.isdigit() and int(length) > limit

    def send_headers(self) -> None:
        """Send the headers, and close where the connection is unusable.

        The rest of a body that was refused unread would be taken for the
        next request on the connection.
        """
        unread = isinstance(self.rfile, ChunkedRFile) and not self.rfile.closed
        if unread or (b"Connection", b"close") in self.outheaders:
            self.close_connection = True
        self.conn.drain = self.close_connection
        super().send_headers()


class Connection(HTTPConnection):
    """One connection.

    Attributes:
        drain: Whether to read on for a moment before closing.
        shaken: Whether the TLS handshake is done.
        taken: Whether it counts among the connections being served.
    """

    RequestHandlerClass = Request

    def __init__(self, server: Any, sock: Any, makefile: Any = None) -> None:
        """Take over an accepted socket."""
        super().__init__(server, sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.source = TimedSocket(sock, server.timeout)
        self.rfile = Reader(self.source, self.rbufsize)
        self.wfile = Writer(sock)
        self.drain = False
        self.handshake_done = not isinstance(sock, ssl.SSLSocket)

    def communicate(self) -> bool:
        """Serve one request; returns whether the connection stays open."""
        try:
            self.source.deadline = time.monotonic() + self.server.read_s
            self.ensure_handshake()
            return bool(super().communicate())
        except (OSError, errors.FatalSSLAlert):
            return False
        finally:
            self.server.active.add(-1)

    def ensure_handshake(self) -> None:
        """Do the TLS handshake, in the task that serves the connection.

        In the accepting task one stalled handshake would keep every other
        caller out.

        Raises:
            OSError: The caller speaks no TLS or stalled.
        """
        if not self.handshake_done:
            self.socket.do_handshake()
            self.handshake_done = True

    def close(self) -> None:
        """Close the connection, after what a refused caller still sends."""
        if self.drain:
            with contextlib.suppress(OSError):
                self._drain()
        self.linger = False
        super().close()

    def _drain(self) -> None:
        self.socket.shutdown(socket.SHUT_WR)
        end = time.monotonic() + LINGER_S
        read = 0
        while read < LINGER_BYTES and (left := end - time.monotonic()) > 0:
            self.socket.settimeout(left)
            data = self.socket.recv(_DRAIN_BYTES)
            if not data:
                return
            read += len(data)
