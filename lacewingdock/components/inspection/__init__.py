"""Inspection of a running router: HTTP endpoint of its metrics and state."""

import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from lacewingdock.components.gateway.metrics import GatewayMetrics
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.server_connection import (
    CallerDisconnected,
    ServerConnection,
    ServerRequest,
    serve_requests,
)
from lacewingdock.helpers.sockets import Listener
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.world.route import CallerLimits

if TYPE_CHECKING:
    from lacewingdock.components.inspection.exposition import Exposition
    from lacewingdock.components.inspection.state import RouterState

METRICS_PATH: Final = b"/metrics"
STATE_PATH: Final = b"/state"
# Timeouts of a connection in seconds. A metrics collector sends a request every
# few seconds over a persistent connection, a person sends a single request.
_LIMITS: Final = CallerLimits(read_s=1.0, idle_s=10.0)
# Maximum number of connections: enough for a metrics collector, a spare one and
# a few people at the same time.
MAX_CONNECTIONS: Final = 8

log = get_logger("inspection")


class InspectionPort:
    """Serves /metrics in Prometheus' text format and /state as JSON.

    Attributes:
        state: Returns the router's current state.
        metrics: Counters of the router's requests.
        api: Client of the platform's store; its calls are exported as metrics.
        listener: Accepts the connections.
    """

    __slots__ = ("_exposition", "api", "listener", "metrics", "state")

    def __init__(
        self,
        address: tuple[str, int],
        state: "Callable[[], RouterState]",
        metrics: GatewayMetrics,
        api: ObjectApi,
    ) -> None:
        """Bind the port; `listener.run` serves it.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.state = state
        self.metrics = metrics
        self.api = api
        self._exposition: Exposition | None = None
        self.listener = Listener(
            "inspection", address, self.serve, MAX_CONNECTIONS
        )

    def serve(self, sock: socket.socket, _: float) -> None:
        """Serve one connection."""
        try:
            serve_requests(sock, _LIMITS, self._answer)
        except (CallerDisconnected, LacewingdockError) as error:
            log.info("cannot read request", error=repr(error))

    def _answer(
        self, connection: ServerConnection, request: ServerRequest
    ) -> None:
        path, _, _ = request.target.partition(b"?")
        if path == METRICS_PATH:
            kind, body = self._get_exposition().render()
        elif path == STATE_PATH:
            kind = "application/json"
            body = msgspec.json.encode(self.state())
        else:
            connection.answer(HTTPStatus.NOT_FOUND, [], b"")
            return
        headers = [(b"Content-Type", kind.encode())]
        connection.answer(HTTPStatus.OK, headers, body)

    def _get_exposition(self) -> "Exposition":
        """Return the exposition; the first call imports prometheus_client."""
        if self._exposition is None:
            from lacewingdock.components.inspection.exposition import Exposition

            self._exposition = Exposition(self.state, self.metrics, self.api)
        return self._exposition
