"""Support for metrics, health and readiness of a daemon."""

from collections.abc import Callable, Iterable
from typing import Any, Final

import prometheus_client
from werkzeug.wrappers import Request, Response

from lacewingdock.components.configuration import Configuration
from lacewingdock.core import Daemon
from lacewingdock.helpers.http_server import build_server

NAME: Final = "admin"
THREADS: Final = 4
MAX_BODY_BYTES: Final = 64 * 1024


class Admin:
    """The admin port: /metrics, /healthz and /readyz.

    Attributes:
        daemon: The daemon.
        configuration: The configuration in force.
        has_upstream: Returns whether an upstream can be reached.
        routes: Method and handler of further paths, added before `start`.
        server: The HTTP server.
    """

    __slots__ = ("configuration", "daemon", "has_upstream", "routes", "server")

    def __init__(
        self,
        daemon: Daemon,
        configuration: Configuration,
        has_upstream: Callable[[], bool],
    ) -> None:
        """Bind the port; `start` begins to serve."""
        self.daemon = daemon
        self.configuration = configuration
        self.has_upstream = has_upstream
        self.routes: dict[str, tuple[str, Callable[[Request], Response]]] = {}
        settings = daemon.settings
        self.server = build_server(
            settings.host,
            settings.admin_port,
            self.answer,
            threads=THREADS,
            max_body_bytes=MAX_BODY_BYTES,
        )
        revision = prometheus_client.Gauge(
            "lacewingdock_configuration_revision",
            "Configuration revision in force",
            registry=daemon.metrics,
        )
        revision.set_function(lambda: float(configuration.revision))
        changed = prometheus_client.Gauge(
            "lacewingdock_configuration_changed_timestamp_seconds",
            "Unix time at which the revision in force last grew",
            registry=daemon.metrics,
        )
        changed.set_function(lambda: configuration.changed_at)

    def start(self) -> None:
        """Start serving."""
        self.daemon.spawn(self.server.serve)

    def answer(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a request; a WSGI application."""
        request = Request(environ)
        method, handler = self.routes.get(request.path, ("", None))
        match request.path:
            case "/healthz":
                response = Response("ok\n")
            case "/readyz":
                response = self._readiness()
            case "/metrics":
                response = Response(
                    prometheus_client.generate_latest(self.daemon.metrics),
                    content_type=prometheus_client.CONTENT_TYPE_LATEST,
                )
            case _ if handler is not None and method == request.method:
                response = handler(request)
            case _ if handler is not None:
                response = Response("wrong method\n", status=405)
            case _:
                response = Response("not found\n", status=404)
        return response(environ, start_response)

    def _readiness(self) -> Response:
        missing = []
        if self.daemon.leaving.is_set():
            missing.append("leaving")
        if not self.configuration.loaded.is_set():
            missing.append("no configuration")
        if not self.has_upstream():
            missing.append("no upstream")
        if missing:
            return Response(", ".join(missing) + "\n", status=503)
        return Response("ready\n")

    def unload(self) -> None:
        """Close the port."""
        self.server.stop()


def setup(
    daemon: Daemon,
    configuration: Configuration,
    has_upstream: Callable[[], bool],
) -> Admin:
    """Set up the admin port."""
    admin = Admin(daemon, configuration, has_upstream)
    daemon.add(NAME, admin)
    return admin
