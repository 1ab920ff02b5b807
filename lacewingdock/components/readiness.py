"""Readiness endpoint for the load balancer in front of the routers."""

import socket
import threading
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.server_connection import (
    CallerDisconnected,
    ServerConnection,
    ServerRequest,
    serve_requests,
)
from lacewingdock.helpers.sockets import Listener
from lacewingdock.world.route import CallerLimits

# The load balancer probes once a second, usually over a persistent connection.
_LIMITS: Final = CallerLimits(read_s=1.0, idle_s=10.0)
# Concurrent connections: there is one load balancer, which may open a new
# connection before it has closed the old one.
MAX_CONNECTIONS: Final = 16

log = get_logger("readiness")


class ReadinessServer:
    """Answers 200 while this router can serve requests, and 503 otherwise.

    Attributes:
        missing: Returns what this router lacks to serve requests; empty if it
            is ready.
        leaving: Set when the daemon starts to drain.
        listener: Accepts the connections.
        last_missing: Result of the last probe; a change is logged.
    """

    __slots__ = ("last_missing", "leaving", "listener", "missing")

    def __init__(
        self,
        address: tuple[str, int],
        missing: Callable[[], str],
        leaving: threading.Event,
    ) -> None:
        """Bind the port; `listener.run` accepts connections on it.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.missing = missing
        self.leaving = leaving
        self.last_missing: str | None = None
        self.listener = Listener("ready", address, self.serve, MAX_CONNECTIONS)

    def serve(self, sock: socket.socket, _: float) -> None:
        """Serve the probes of one connection."""
        try:
            serve_requests(sock, _LIMITS, self._answer)
        except (CallerDisconnected, LacewingdockError) as error:
            log.info("readiness probe not read", error=repr(error))

    def _answer(self, connection: ServerConnection, _: ServerRequest) -> None:
        missing = "leaving" if self.leaving.is_set() else self.missing()
        if missing != self.last_missing:
            self.last_missing = missing
            log.info("ready" if not missing else "not ready", missing=missing)
        status = HTTPStatus.SERVICE_UNAVAILABLE if missing else HTTPStatus.OK
        connection.answer(status, [], missing.encode())
