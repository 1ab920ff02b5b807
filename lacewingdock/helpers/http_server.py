"""Support for serving WSGI applications."""

import errno
import ssl
from collections.abc import Callable
from typing import Any, Final

from cheroot import wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from lacewingdock.exceptions import ErrorKind, LacewingdockError

MAX_HEADER_BYTES: Final = 32 * 1024
BACKLOG: Final = 512


# Key of the caller's socket in a request's WSGI environment.
ENVIRON_SOCKET: Final = "lacewingdock.socket"


class Gateway(wsgi.Gateway_10):
    """Shows the application the socket that its caller is on."""

    def get_environ(self) -> Any:
        """Return the WSGI environment of the request."""
        environ: Any = super().get_environ()
        environ[ENVIRON_SOCKET] = self.req.conn.socket
        return environ


class CertificateReloader:
    """Takes a renewed certificate into use without a restart.

    Attributes:
        context: The TLS context that new connections use.
        cert: PEM file of the certificate chain.
        key: PEM file of the private key.
    """

    __slots__ = ("cert", "context", "key")

    def __init__(self, context: ssl.SSLContext, cert: str, key: str) -> None:
        """Take the context that the server serves with."""
        self.context = context
        self.cert = cert
        self.key = key

    def reload(self) -> None:
        """Load the files again; open connections keep the old certificate.

        Raises:
            OSError: A file can't be read or does not match the other.
        """
        self.context.load_cert_chain(self.cert, self.key)


def build_server(
    host: str,
    port: int,
    app: Callable[..., Any],
    *,
    threads: int,
    max_body_bytes: int = 0,
    stall_s: float = 10.0,
    tls: tuple[str, str] | None = None,
) -> wsgi.Server:
    """Bind a server; `serve` runs it.

    Args:
        host: IP number to listen on.
        port: Port; 0 takes a free one, found in `bind_addr` afterwards.
        app: The WSGI application.
        threads: Requests served at once.
        max_body_bytes: Largest body accepted; 0 for no limit.
        stall_s: Seconds that a caller may stall a read or write.
        tls: Files of certificate chain and private key.

    Raises:
        LacewingdockError: PORT_TAKEN, or BAD_SETTING for a bad certificate.
    """
    server = wsgi.Server(
        (host, port),
        app,
        numthreads=threads,
        request_queue_size=BACKLOG,
        shutdown_timeout=1,
    )
    server.gateway = Gateway
    server.timeout = stall_s
    server.max_request_header_size = MAX_HEADER_BYTES
    server.max_request_body_size = max_body_bytes
    if tls:
        try:
            server.ssl_adapter = BuiltinSSLAdapter(*tls)
        except (OSError, ValueError) as error:
            raise LacewingdockError(
                ErrorKind.BAD_SETTING, f"TLS files {tls}: {error}"
            ) from error
    try:
        server.prepare()
    except OSError as error:
        raise listen_error(f"{host}:{port}", error) from error
    return server


def listen_error(address: str, error: OSError) -> LacewingdockError:
    """Return the coded error of a port that can't be listened on."""
    # cheroot gives an error of its own, without a number, for a taken port.
    taken = error.errno in (errno.EADDRINUSE, None)
    return LacewingdockError(
        ErrorKind.PORT_TAKEN if taken else ErrorKind.BAD_SETTING,
        f"{address}: {error.strerror or error}",
    )
