"""Support for looking into a running router: its metrics and its beliefs."""

import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import msgspec
import prometheus_client

from lacewingdock.components.inspection.state import RouterState
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.server_connection import (
    CallerGone,
    ServerConnection,
    ServerRequest,
    serve_requests,
)
from lacewingdock.helpers.sockets import Listener
from lacewingdock.world.route import CallerLimits

METRICS_PATH: Final = b"/metrics"
STATE_PATH: Final = b"/state"
# A collector asks every few seconds over a connection that it keeps; a person
# asks once.
_LIMITS: Final = CallerLimits(read_s=1.0, idle_s=10.0)
# One collector, a spare and some people at once.
MAX_CONNECTIONS: Final = 8

log = get_logger("inspection")


class InspectionPort:
    """Answers /metrics as Prometheus' text, and /state as JSON.

    Attributes:
        registry: The metrics.
        state: Returns what the router believes.
        listener: Accepts the connections.
    """

    __slots__ = ("listener", "registry", "state")

    def __init__(
        self,
        address: tuple[str, int],
        registry: prometheus_client.CollectorRegistry,
        state: Callable[[], RouterState],
    ) -> None:
        """Bind the port; `listener.run` serves it.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.registry = registry
        self.state = state
        self.listener = Listener(
            "inspection", address, self.serve, MAX_CONNECTIONS
        )

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection."""
        try:
            serve_requests(sock, _LIMITS, self._answer)
        except (CallerGone, LacewingdockError) as error:
            log.info("question unread", error=repr(error))

    def _answer(
        self, connection: ServerConnection, request: ServerRequest
    ) -> None:
        path, _, _ = request.target.partition(b"?")
        if path == METRICS_PATH:
            kind = prometheus_client.CONTENT_TYPE_LATEST
            body = prometheus_client.generate_latest(self.registry)
        elif path == STATE_PATH:
            kind = "application/json"
            body = msgspec.json.encode(self.state())
        else:
            connection.answer(HTTPStatus.NOT_FOUND, [], b"")
            return
        headers = [(b"Content-Type", kind.encode())]
        connection.answer(HTTPStatus.OK, headers, body)
