"""HTTP server for WSGI applications that rejects callers when it is full."""

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

# Limit on the headers of a request, in bytes.
MAX_HEADER_BYTES: Final = 32 * 1024
# Length of the listen queue, in connections.
BACKLOG: Final = 512
# Idle connections that are kept open; more would exceed the limit on files.
MAX_IDLE: Final = 1024
# Threads that only send rejections, which are short unless the caller stalls.
REFUSERS: Final = 4
# Rejections that may be pending; further connections are closed without a
# response.
MAX_REFUSALS: Final = 256
# Timeout of a rejection's handshake and write, in seconds.
REFUSAL_TIMEOUT_S: Final = 0.5
_IDLE_CHECK_S: Final = 0.5

# Keys in the WSGI environment of the caller's socket and the server's request.
ENVIRON_SOCKET: Final = "lacewingdock.socket"
ENVIRON_REQUEST: Final = "lacewingdock.request"

log = get_logger("http")


class Gateway(Gateway_10):
    """WSGI gateway that adds the request and the socket to the environment."""

    def get_environ(self) -> Any:
        """Return the WSGI environment of the request."""
        environ: Any = super().get_environ()
        environ[ENVIRON_REQUEST] = self.req
        environ[ENVIRON_SOCKET] = self.req.conn.socket
        return environ


class Server(wsgi.Server):
    """A server that rejects requests at once while all threads are busy.

    A connection gets a thread only when it has bytes to read: an idle
    connection uses none.

    Attributes:
        active: Number of connections that have a thread or wait for one.
        refusals: Number of connections being rejected.
        read_s: Time limit for reading a whole request, in seconds.
        refusers: Threads that send the rejections.
    """

    ConnectionClass = Connection

    def __init__(
        self, address: tuple[str, int], app: Any, threads: int, read_s: float
    ) -> None:
        """Configure the server; `prepare` binds the port."""
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
        """Pass a connection to a thread, or reject it if all are busy.

        Queued behind busy threads, a caller could wait as long as the longest
        stream, while other instances have capacity to serve it.
        """
        if conn.last_used is None and self.can_add_keepalive_connection:
            # A new connection waits for its first bytes without a thread.
            self._connections.put(conn)  # type: ignore[attr-defined]
            return
        if conn.last_used is not None:
            if self.active.add(1) <= self.numthreads and self._serve(conn):
                return
            self.active.add(-1)
        self._refuse_later(conn)

    def _serve(self, conn: Connection) -> bool:
        """Queue a connection for a thread; return whether one will serve it."""
        try:
            self.requests.put(conn)
        except RuntimeError as error:
            log.error("cannot start a thread", error=str(error))
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
                ErrorKind.OVERLOADED,
                "all request threads of this instance are busy",
            )
            Request(self, conn).refuse(error)
        except OSError:
            pass
        finally:
            self.refusals.add(-1)
            conn.close()

    def stop(self) -> None:
        """Stop serving and cancel pending rejections."""
        super().stop()
        self.refusers.shutdown(wait=False, cancel_futures=True)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log a message of the server library."""
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
    """Create a server and bind its port; `serve` runs it.

    Args:
        host: IP number to listen on.
        port: Port; 0 binds a free port, given by `bind_addr` afterwards.
        app: The WSGI application.
        threads: Limit on concurrent requests; further ones are rejected.
        max_body_bytes: Largest body accepted; 0 for no limit.
        stall_s: Timeout of one read or write, in seconds.
        read_s: Time limit for reading a whole request, in seconds.
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
