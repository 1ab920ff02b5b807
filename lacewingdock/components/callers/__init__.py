"""Support for the callers' HTTP interface."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from lacewingdock.components.callers.app import CallersApp
from lacewingdock.core import Daemon
from lacewingdock.helpers.http_server import build_server
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.tls import CertificateReloader
from lacewingdock.settings import EntrySettings

NAME: Final = "callers"
App = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
TLS_CHECK_S: Final = 10.0

log = get_logger(NAME)


class Callers:
    """The callers' port.

    Attributes:
        daemon: The daemon.
        app: The application behind the port.
        server: The HTTP server.
    """

    __slots__ = ("app", "daemon", "server")

    def __init__(
        self,
        daemon: Daemon,
        settings: EntrySettings,
        app: CallersApp,
        observe: Callable[[App], App],
    ) -> None:
        """Bind the port."""
        self.daemon = daemon
        self.app = app
        tls = (
            (settings.tls_cert, settings.tls_key) if settings.tls_cert else None
        )
        self.server = build_server(
            settings.host,
            settings.port,
            observe(app),
            threads=settings.threads,
            max_body_bytes=settings.max_body_bytes,
            stall_s=settings.slow_caller_s,
            read_s=settings.request_s,
            tls=tls,
        )
        if tls:
            reloader = CertificateReloader(self.server.ssl_adapter, *tls)
            daemon.every(TLS_CHECK_S, reloader.reload)

    def start(self) -> None:
        """Start serving."""
        self.daemon.spawn(self.server.serve)

    def active(self) -> int:
        """Count the callers being answered."""
        return self.app.active.value

    def unload(self) -> None:
        """Close the port; a caller that is cut off is told why."""
        self.app.end_answers()
        self.server.stop()


def setup(
    daemon: Daemon,
    settings: EntrySettings,
    app: CallersApp,
    observe: Callable[[App], App],
) -> Callers:
    """Set the callers' port up."""
    callers = Callers(daemon, settings, app, observe)
    daemon.add(NAME, callers)
    return callers
