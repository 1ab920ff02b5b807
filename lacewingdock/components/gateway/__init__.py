"""Support for the callers' port: direct calls to upstream instances.

A request is read completely, its route and workspace are looked up, and it is
sent to an upstream instance over a pooled connection. Its state is not shared
with other instances of the router.
"""

import socket
import threading
from collections.abc import Callable
from typing import Final

from lacewingdock.components.gateway.exchange import Exchange
from lacewingdock.components.gateway.gateway import Gateway
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.byte_budget import ByteBudget
from lacewingdock.helpers.server_connection import (
    CallerDisconnected,
    ServerConnection,
)
from lacewingdock.helpers.sockets import Listener
from lacewingdock.helpers.tally import Tally
from lacewingdock.platform.wire import read_call
from lacewingdock.world.route import CallerLimits

# Share of the process's file descriptors for callers' connections. Each of them
# may also need a connection to an upstream, and files and the store need some.
CONNECTIONS_SHARE: Final = 0.35
# Share of the process's memory for bodies of requests. Each of them is there up
# to three times: as it is received, as it is sent on, and in between.
BODIES_SHARE: Final = 1 / 8
# The same in bytes where the memory is unknown.
DEFAULT_BODIES_BYTES: Final = 16 * 1024 * 1024
# Upper bound of callers' connections. Each connection has its own thread; with
# more threads than this, context switches make answers late.
MAX_CONNECTIONS: Final = 1500


class CallersPort:
    """The port on which callers connect, with a thread for each connection.

    Attributes:
        gateway: The state that all requests share.
        listener: Accepts the connections.
        open: Connections on which requests may arrive.
        active: Number of requests that were read and not yet answered.
        bodies: Limits the bytes of requests' bodies that are held.
        leaving: Set once the daemon is to stop.
        is_shut: Whether new connections and requests are refused.
    """

    __slots__ = (
        "active",
        "bodies",
        "gateway",
        "is_shut",
        "leaving",
        "listener",
        "open",
    )

    def __init__(
        self,
        gateway: Gateway,
        address: tuple[str, int],
        max_files: int,
        leaving: threading.Event,
        admits: Callable[[socket.socket, float], bool] = lambda *_: True,
        sock: socket.socket | None = None,
        memory_bytes: int = 0,
    ) -> None:
        """Bind the port unless `sock` is given; `listener.run` serves it.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.gateway = gateway
        self.leaving = leaving
        self.active = Tally()
        self.bodies = ByteBudget(
            int(memory_bytes * BODIES_SHARE) or DEFAULT_BODIES_BYTES
        )
        self.open: set[ServerConnection] = set()
        self.is_shut = False
        most = min(int(max_files * CONNECTIONS_SHARE), MAX_CONNECTIONS)
        self.listener = Listener(
            "callers", address, self.serve, most, sock, admits
        )

    def shut(self) -> None:
        """Accept no more connections, and refuse requests on open ones.

        A caller whose connection is refused, or whose request is refused as
        not run, retries at another router at once. A request accepted any
        later might not be answered before the process exits.
        """
        self.is_shut = True
        self.listener.close()

    def serve(self, sock: socket.socket, accepted_at: float) -> None:
        """Serve one connection until either side closes it."""
        connection = ServerConnection(sock, accepted_at, self.bodies)
        self.open.add(connection)
        try:
            while self._serve_one(connection):
                pass
        except CallerDisconnected:
            pass
        finally:
            self.open.discard(connection)
        if connection.started and not connection.complete:
            # A reset shows the caller that the answer is incomplete.
            connection.abort()
        else:
            connection.close()

    def _serve_one(self, connection: ServerConnection) -> bool:
        """Serve one request; return whether the connection can be reused."""
        table = self.gateway.routes.table
        limits = table.limits if table else CallerLimits()
        try:
            request = connection.read_request(limits)
        except LacewingdockError as error:
            self.gateway.refuse_unread(connection, error)
            return False
        if request is None:
            return False
        self.active.add(1)
        try:
            call = read_call(
                request.method, request.target, request.headers, request.raw
            )
            call.body = request.body
            if self.leaving.is_set() or self.is_shut:
                connection.keep_alive = False
            if self.is_shut:
                self.gateway.refuse(connection, call, _leaving())
                return False
            Exchange(self.gateway, call, connection).run()
        finally:
            self.active.add(-1)
        return connection.reusable


def _leaving() -> LacewingdockError:
    return LacewingdockError(ErrorKind.LEAVING, "this instance is stopping")
