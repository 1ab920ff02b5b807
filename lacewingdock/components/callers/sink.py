"""Support for writing an answer's pieces straight to the caller's socket."""

import os
import ssl
from typing import Final

from lacewingdock.helpers.http_connection import Request

# A socket that says it is writable takes this much whole in all but rare
# cases; larger pieces go through the caller's task, which may wait.
MAX_DIRECT_BYTES: Final = 8192

write: Final = os.write


def event_bytes(prefix: bytes, index: int, data: bytes) -> bytes:
    """Return one piece as a server-sent event."""
    return b"id: %b/%d\ndata: %b\n\n" % (prefix, index, data)


class Sink:
    """Where the task that reads a link writes pieces as they come.

    Handed from task to task, a token costs two more switches between threads
    and two fights for the interpreter lock than it costs to write it. So
    while the caller keeps up, the link's task writes; it must never wait for
    a caller, so whatever the socket does not take at once is left to the
    caller's own task.

    Attributes:
        request: The caller's request, whose headers were sent.
        prefix: What the event ids begin with.
        rest: The unsent end of a piece that the socket took in part.
    """

    __slots__ = ("fd", "prefix", "request", "rest")

    def __init__(self, request: Request, prefix: bytes) -> None:
        """Take the request; its socket does not block (it has a timeout)."""
        self.request = request
        self.prefix = prefix
        self.rest = b""
        self.fd: int = request.conn.socket.fileno()

    def write(self, index: int, data: bytes) -> bool:
        """Write one piece without waiting.

        Returns:
            False when the caller's task must take over, with this piece.
        """
        event = event_bytes(self.prefix, index, data)
        if self.request.chunked_write:
            event = b"%x\r\n%b\r\n" % (len(event), event)
        if len(event) > MAX_DIRECT_BYTES:
            return False
        try:
            sent = write(self.fd, event)
        except OSError:
            return False
        if sent < len(event):
            self.rest = event[sent:]
            return False
        return True

    def finish(self) -> bool:
        """Send what is left of a piece, waiting for the caller.

        Returns:
            Whether the next piece to be taken is sent with this.

        Raises:
            OSError: The caller went away or did not take it in time.
        """
        if not self.rest:
            return False
        self.request.conn.wfile.write(self.rest)
        self.rest = b""
        return True


def sink_for(request: Request | None, prefix: bytes) -> Sink | None:
    """Return the sink of a request; None where its bytes are encrypted."""
    if request is None or isinstance(request.conn.socket, ssl.SSLSocket):
        return None
    return Sink(request, prefix)
