"""Listening sockets, and detection of closed connections."""

import contextlib
import errno
import select
import socket
import threading
import time
from collections.abc import Callable
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.connection_threads import ConnectionThreads
from lacewingdock.helpers.listening import open_port
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.tally import Tally

# Pause in seconds after a failed accept. Without a free file descriptor the
# connection stays in the listen queue, and the loop would not block.
ACCEPT_RETRY_S: Final = 0.02
# Milliseconds after which a poll of the port ends: once the port is closed, its
# descriptor may belong to another socket.
CLOSE_CHECK_MS: Final = 500

log = get_logger("sockets")


def peer_closed(caller: socket.socket) -> bool:
    """Whether the peer closed the connection, or the connection failed."""
    try:
        return not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def has_unread(descriptor: int) -> bool:
    """Whether bytes, or the end of the stream, wait to be read."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


def peer_has_left(sock: socket.socket) -> bool:
    """Whether the peer closed the connection, with bytes unread or not."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))


class Listener:
    """Accepts connections and serves each in a thread of its own.

    Attributes:
        name: Name of the port in the log.
        address: IP number and port.
        serve: Serves one connection and closes it; called with the monotonic
            time at which it was accepted.
        max_connections: Limit on concurrent connections; further ones are
            closed unread, so that the sender knows that nothing was executed.
        admits: Returns whether a connection is to be served, by the seconds
            since its accept; others are closed unread. Asked at the accept,
            and again once a thread is there to serve it.
        open: Number of connections being served.
        refused: Number of connections closed unread.
        sock: The listening socket.
        closed: Whether `close` was called.
    """

    __slots__ = (
        "_threads",
        "address",
        "admits",
        "closed",
        "max_connections",
        "name",
        "open",
        "refused",
        "serve",
        "sock",
    )

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        serve: Callable[[socket.socket, float], None],
        max_connections: int,
        sock: socket.socket | None = None,
        admits: Callable[[socket.socket, float], bool] = lambda *_: True,
    ) -> None:
        """Bind the port and listen, unless `sock` is listening already.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.name = name
        self.serve = serve
        self.max_connections = max_connections
        self.admits = admits
        self.open = Tally()
        self.refused = 0
        self.closed = False
        try:
            self.sock = sock or open_port(address)
        except OSError as error:
            raise listen_error(f"{address[0]}:{address[1]}", error) from error
        self.address = self.sock.getsockname()
        self._threads = ConnectionThreads(self._serve)

    def run(self, stopping: threading.Event) -> None:
        """Accept connections until the daemon stops."""
        poller = select.poll()
        with contextlib.suppress(OSError, ValueError):
            self.sock.setblocking(False)
            poller.register(self.sock, select.POLLIN)
        while not stopping.is_set() and not self.closed:
            try:
                if poller.poll(CLOSE_CHECK_MS):
                    self._accept_all(time.monotonic())
            except OSError as error:
                if self.closed or stopping.is_set():
                    return
                log.error("accept failed", name=self.name, error=repr(error))
                stopping.wait(ACCEPT_RETRY_S)

    def _accept_all(self, since: float) -> None:
        """Accept connections until the listen queue is empty.

        When a connection came into the queue is not known, only since when the
        queue has not been empty.

        Args:
            since: Monotonic time since which it was not.

        Raises:
            OSError: A connection can't be accepted.
        """
        while True:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            queued_s = time.monotonic() - since
            if self.open.add(1) > self.max_connections or not self.admits(
                sock, queued_s
            ):
                self._refuse(sock)
            else:
                self._start(sock)

    def _start(self, sock: socket.socket) -> None:
        try:
            self._threads.put(sock, time.monotonic())
        except RuntimeError as error:
            log.error("cannot start a thread", name=self.name, error=str(error))
            self._refuse(sock)

    def _refuse(self, sock: socket.socket) -> None:
        self.open.add(-1)
        self.refused += 1
        sock.close()

    def close(self) -> None:
        """Stop accepting, and wake the thread that polls the port."""
        self.closed = True
        with contextlib.suppress(OSError):
            # `close` alone leaves the port open while a thread polls it.
            self.sock.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(OSError):
            self.sock.close()

    def _serve(self, sock: socket.socket, accepted_at: float) -> None:
        if not self.admits(sock, time.monotonic() - accepted_at):
            self._refuse(sock)
            return
        try:
            self.serve(sock, accepted_at)
        except Exception:
            log.exception("connection handler failed", name=self.name)
        finally:
            self.open.add(-1)
            with contextlib.suppress(OSError):
                sock.close()


def listen_error(address: str, error: OSError) -> LacewingdockError:
    """Return the error for a port that cannot be opened."""
    # For a port in use, cheroot raises an error of its own without an errno.
    taken = error.errno in (errno.EADDRINUSE, None)
    return LacewingdockError(
        ErrorKind.PORT_TAKEN if taken else ErrorKind.BAD_SETTING,
        f"{address}: {error.strerror or error}",
    )
