"""Support for serving WSGI applications."""

import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final

import logbook
from cheroot import wsgi
from cheroot.wsgi import Gateway_10

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.http_connection import Connection, Request
from lacewingdock.helpers.http_threads import LazyThreadPool
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.sockets import listen_error
from lacewingdock.helpers.tally import Tally
from lacewingdock.helpers.tls import tls_adapter

MAX_HEADER_BYTES: Final = 32 * 1024
BACKLOG: Final = 512
# Connections that are open and idle; more would run into the limit on files.
MAX_IDLE: Final = 1024
# Threads that only refuse. A refusal takes a moment unless the caller stalls.
REFUSERS: Final = 4
# Refusals waiting for a thread; beyond, connections are closed unanswered.
MAX_REFUSALS: Final = 256
REFUSAL_TIMEOUT_S: Final = 0.5
_IDLE_CHECK_S: Final = 0.5

# Keys of the server's request and of the caller's socket in the WSGI
# environment.
ENVIRON_SOCKET: Final = "lacewingdock.socket"
ENVIRON_REQUEST: Final = "lacewingdock.request"

log = get_logger("http")


class Gateway(Gateway_10):
    """Shows the application its request as the server has it."""

    def get_environ(self) -> Any:
        """Return the WSGI environment of the request."""
        environ: Any = super().get_environ()
        environ[ENVIRON_REQUEST] = self.req
        environ[ENVIRON_SOCKET] = self.req.conn.socket
        return environ


class Server(wsgi.Server):
    """A server that answers at once when all its threads are taken.

    A connection takes a thread only once it has something to read: one that
    was merely opened costs no thread.

    Attributes:
        taken: Connections that wait for a thread or have one.
        refusals: Connections being refused.
        read_s: Seconds by which a whole request must be here.
        refusers: Runs the refusals.
    """

    ConnectionClass = Connection

    def __init__(
        self, address: tuple[str, int], app: Any, threads: int, read_s: float
    ) -> None:
        """Take what it serves; nothing is bound yet."""
        super().__init__(
            address,
            app,
            numthreads=threads,
            request_queue_size=BACKLOG,
            shutdown_timeout=1,
        )
        self.requests = LazyThreadPool(self, threads)
        self.gateway = Gateway
        self.active = Tally()
        self.refusals = Tally()
        self.read_s = read_s
        self.refusers = ThreadPoolExecutor(REFUSERS, "refuse")
        self.keep_alive_conn_limit = MAX_IDLE

    def process_conn(self, conn: Connection) -> None:
        """Give a connection to a thread, or refuse it at once.

        In a queue behind busy threads a caller would wait as long as the
        longest stream, and no other instance could serve it meanwhile.
        """
        if conn.last_used is None and self.can_add_keepalive_connection:
            # Accepted just now: it waits for its first bytes without a thread.
            self._connections.put(conn)  # type: ignore[attr-defined]
            return
        if conn.last_used is not None:
            if self.active.add(1) <= self.numthreads and self._serve(conn):
                return
            self.active.add(-1)
        self._refuse_later(conn)

    def _serve(self, conn: Connection) -> bool:
        """Give a connection to a thread; return whether there is one."""
        try:
            self.requests.put(conn)
        except RuntimeError as error:
            log.error("no thread can be started", error=str(error))
            return False
        return True

    def _refuse_later(self, conn: Connection) -> None:
        if self.refusals.add(1) > MAX_REFUSALS:
            self.refusals.add(-1)
            conn.close()
            return
        self.refusers.submit(self._refuse, conn)

    def _refuse(self, conn: Connection) -> None:
        try:
            conn.socket.settimeout(REFUSAL_TIMEOUT_S)
            conn.ensure_handshake()
            error = LacewingdockError(
                ErrorKind.OVERLOADED, "every thread of this instance is taken"
            )
            Request(self, conn).refuse(error)
        except OSError:
            pass
        finally:
            self.refusals.add(-1)
            conn.close()

    def stop(self) -> None:
        """Stop serving."""
        super().stop()
        self.refusers.shutdown(wait=False, cancel_futures=True)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log what the server library has to say."""
        name = logging.getLevelName(level)
        log.log(logbook.lookup_level(name), msg, exc_info=traceback)


def build_server(
    host: str,
    port: int,
    app: Callable[..., Any],
    *,
    threads: int,
    max_body_bytes: int = 0,
    stall_s: float = 10.0,
    read_s: float = 30.0,
    tls: tuple[str, str] | None = None,
) -> Server:
    """Bind a server; `serve` runs it.

    Args:
        host: IP number to listen on.
        port: Port; 0 takes a free one, found in `bind_addr` afterwards.
        app: The WSGI application.
        threads: Requests served at once; more are refused.
        max_body_bytes: Largest body accepted; 0 for no limit.
        stall_s: Seconds that a caller may stall a read or write.
        read_s: Seconds by which a whole request must have come.
        tls: Files of certificate chain and private key.

    Raises:
        LacewingdockError: PORT_TAKEN, or BAD_SETTING for a bad certificate.
    """
    server = Server((host, port), app, threads, read_s)
    server.timeout = stall_s
    server.expiration_interval = min(_IDLE_CHECK_S, stall_s)
    server.max_request_header_size = MAX_HEADER_BYTES
    server.max_request_body_size = max_body_bytes
    if tls:
        server.ssl_adapter = tls_adapter(*tls)
    try:
        server.prepare()
    except OSError as error:
        raise listen_error(f"{host}:{port}", error) from error
    return server
