"""Listening sockets, and detection of closed connections."""

import contextlib
import errno
import select
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.listening import open_port
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.tally import Tally

# Pause in seconds after a failed accept. Without a free file descriptor the
# connection stays in the listen queue, and the loop would not block.
ACCEPT_RETRY_S: Final = 0.02

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


class Listener:
    """Accepts connections and serves each in a thread of its own.

    Attributes:
        name: Name of the port in the log.
        address: IP number and port.
        serve: Serves one connection and closes it; called with the monotonic
            time at which it was accepted.
        max_connections: Limit on concurrent connections; further ones are
            closed unread, so that the sender knows that nothing was executed.
        open: Number of connections being served.
        refused: Number of connections closed unread.
        sock: The listening socket.
        closed: Whether `close` was called.
    """

    __slots__ = (
        "_executor",
        "address",
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
    ) -> None:
        """Bind the port and listen, unless `sock` is listening already.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.name = name
        self.serve = serve
        self.max_connections = max_connections
        self.open = Tally()
        self.refused = 0
        self.closed = False
        try:
            self.sock = sock or open_port(address)
        except OSError as error:
            raise listen_error(f"{address[0]}:{address[1]}", error) from error
        self.address = self.sock.getsockname()
        self._executor = ThreadPoolExecutor(max_connections, name)

    def run(self, stopping: threading.Event) -> None:
        """Accept connections until the daemon stops."""
        while not stopping.is_set():
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                if self.closed or stopping.is_set():
                    return
                log.error("accept failed", name=self.name, error=repr(error))
                stopping.wait(ACCEPT_RETRY_S)
                continue
            if self.open.add(1) > self.max_connections:
                self.open.add(-1)
                self.refused += 1
                sock.close()
                continue
            self._executor.submit(self._serve, sock, time.monotonic())

    def close(self) -> None:
        """Stop accepting, and wake the thread that is in `accept`."""
        self.closed = True
        with contextlib.suppress(OSError):
            # `close` alone leaves the port open while a thread is in `accept`.
            self.sock.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(OSError):
            self.sock.close()

    def _serve(self, sock: socket.socket, accepted_at: float) -> None:
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
