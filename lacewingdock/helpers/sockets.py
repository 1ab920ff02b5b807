"""Support for sockets: listening, and what the other end did."""

import contextlib
import errno
import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.listening import open_port
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.tally import Tally

# A short pause where no descriptor is left: the connection stays in the
# queue, and without it the loop would spin.
ACCEPT_RETRY_S: Final = 0.02

log = get_logger("sockets")


def peer_closed(caller: socket.socket) -> bool:
    """Whether the other end closed its connection."""
    try:
        return not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


class Listener:
    """Accepts connections and gives each a task of its own.

    Attributes:
        name: What it serves, for the log.
        address: IP number and port.
        serve: Serves one connection and closes it.
        most: Connections served at once; more are closed unread, so that
            whoever sends knows that nothing was done.
        open: Connections being served.
        refused: Connections closed unread.
        sock: The listening socket.
        closed: Whether it stopped accepting.
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
        serve: Callable[[socket.socket], None],
        max_connections: int,
        sock: socket.socket | None = None,
    ) -> None:
        """Bind and listen, unless the port is open already.

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
        """Accept until the daemon stops."""
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
            self._executor.submit(self._serve, sock)

    def close(self) -> None:
        """Stop accepting, and wake the task that does."""
        self.closed = True
        with contextlib.suppress(OSError):
            # Closing alone leaves the port open while a task is in `accept`.
            self.sock.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(OSError):
            self.sock.close()

    def _serve(self, sock: socket.socket) -> None:
        try:
            self.serve(sock)
        except Exception:
            log.exception("connection task failed", name=self.name)
        finally:
            self.open.add(-1)
            with contextlib.suppress(OSError):
                sock.close()


def listen_error(address: str, error: OSError) -> LacewingdockError:
    """Return the coded error of a port that can't be listened on."""
    # cheroot gives an error of its own, without a number, for a taken port.
    taken = error.errno in (errno.EADDRINUSE, None)
    return LacewingdockError(
        ErrorKind.PORT_TAKEN if taken else ErrorKind.BAD_SETTING,
        f"{address}: {error.strerror or error}",
    )
