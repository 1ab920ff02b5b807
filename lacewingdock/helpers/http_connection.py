"""Connections of the HTTP server, robust against slow or faulty callers."""

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

# Closing a socket with unread bytes resets the connection, and the reset can
# overtake the response: the caller sees "connection reset" and no error code.
# So after a rejection the rest of the request is read before the close, for at
# most this many seconds and bytes.
LINGER_S: Final = 1.0
LINGER_BYTES: Final = 4 * 1024 * 1024
_DRAIN_BYTES: Final = 65536

# Error kind for each status that the server library responds with by itself.
_KINDS: Final = {
    "408": ErrorKind.SLOW_CALLER,
    "413": ErrorKind.HEADERS_TOO_LARGE,
    "414": ErrorKind.HEADERS_TOO_LARGE,
    "500": ErrorKind.INTERNAL,
}


class TimedSocket(socket.SocketIO):
    """Raw reader of a socket with a deadline for the whole request.

    With only a timeout per read, a caller that sends a byte now and then would
    occupy a thread forever.

    Attributes:
        sock: The socket.
        stall_s: Timeout of one read, in seconds.
        deadline: Monotonic time by which the request must be complete.
    """

    def __init__(self, sock: socket.socket, stall_s: float) -> None:
        """Wrap a socket, without a deadline at first."""
        super().__init__(sock, "r")
        self.sock = sock
        self.stall_s = stall_s
        self.deadline = float("inf")

    def readinto(self, buffer: Any) -> int | None:
        """Read available bytes, waiting at most until the deadline.

        Raises:
            TimeoutError: No bytes arrived in time.
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
    """Buffered reader of a `TimedSocket`."""

    def __init__(self, source: TimedSocket, buffer_bytes: int) -> None:
        """Start with an empty buffer of `buffer_bytes` bytes."""
        super(StreamReader, self).__init__(source, buffer_bytes)
        self.bytes_read = 0


class Writer:
    """Unbuffered writer to a socket, with a timeout for each write.

    The response is written in complete events; a buffer would cost two copies
    and a lock for each of them. The socket timeout covers a whole `sendall`
    call, so a caller that reads a byte now and then cannot hold the thread.

    Attributes:
        sock: The socket.
        bytes_written: Bytes written so far.
    """

    __slots__ = ("bytes_written", "sock")

    def __init__(self, sock: socket.socket) -> None:
        """Start with no bytes written."""
        self.sock = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Write all of the data.

        Raises:
            OSError: The caller disconnected or did not read in time.
        """
        self.sock.sendall(data)
        self.bytes_written += len(data)
        return len(data)


class Request(HTTPRequest):
    """One request; the library's error responses become problem details."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Respond to a request that the library itself rejects."""
        kind = _KINDS.get(str(status)[:3], ErrorKind.BAD_REQUEST)
        if kind is ErrorKind.HEADERS_TOO_LARGE and self._body_too_large():
            kind = ErrorKind.BODY_TOO_LARGE
        self.refuse(LacewingdockError(kind, msg or str(status)))

    def refuse(self, error: LacewingdockError) -> None:
        """Send an error response and close the connection afterwards."""
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
        """Send the headers, and close the connection if it is not reusable.

        The unread rest of a rejected request's body would otherwise be parsed
        as the next request on the connection.
        """
        unread = isinstance(self.rfile, ChunkedRFile) and not self.rfile.closed
        if unread or (b"Connection", b"close") in self.outheaders:
            self.close_connection = True
        self.conn.drain = self.close_connection
        super().send_headers()


class Connection(HTTPConnection):
    """A caller's connection with read deadlines and a deferred handshake.

    Attributes:
        source: Reads the socket by the request's deadline.
        drain: Whether to read the rest of the request before closing.
        handshake_done: Whether the TLS handshake is complete.
    """

    RequestHandlerClass = Request

    def __init__(self, server: Any, sock: Any, makefile: Any = None) -> None:
        """Set up an accepted socket."""
        super().__init__(server, sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.source = TimedSocket(sock, server.timeout)
        self.rfile = Reader(self.source, self.rbufsize)
        self.wfile = Writer(sock)
        self.drain = False
        self.handshake_done = not isinstance(sock, ssl.SSLSocket)

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            self.source.deadline = time.monotonic() + self.server.read_s
            self.ensure_handshake()
            return bool(super().communicate())
        except (OSError, errors.FatalSSLAlert):
            return False
        finally:
            self.server.active.add(-1)

    def ensure_handshake(self) -> None:
        """Do the TLS handshake, in the thread that serves the connection.

        In the accepting thread, one stalled handshake would block every other
        caller.

        Raises:
            OSError: The handshake failed or timed out.
        """
        if not self.handshake_done:
            self.socket.do_handshake()
            self.handshake_done = True

    def close(self) -> None:
        """Close the connection, after draining a rejected request."""
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
