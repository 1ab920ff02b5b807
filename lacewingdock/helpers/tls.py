"""TLS for server ports, with certificate reload."""

import os
import socket
import ssl
from typing import Any

from cheroot.ssl.builtin import BuiltinSSLAdapter

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger

log = get_logger("tls")


class TlsAdapter(BuiltinSSLAdapter):
    """Wraps accepted sockets; the serving thread does the handshake."""

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, Any]]:
        """Return the wrapped socket and its WSGI variables."""
        wrapped = self.context.wrap_socket(
            sock, do_handshake_on_connect=False, server_side=True
        )
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}


class CertificateReloader:
    """Applies a renewed certificate without a restart.

    Attributes:
        adapter: Wraps new connections.
        cert: PEM file of the certificate chain.
        key: PEM file of the private key.
        stamp: Modification times and sizes of the files when last loaded.
    """

    __slots__ = ("adapter", "cert", "key", "stamp")

    def __init__(self, adapter: TlsAdapter, cert: str, key: str) -> None:
        """Build a reloader for an adapter that was built from these files."""
        self.adapter = adapter
        self.cert = cert
        self.key = key
        self.stamp = self._stamp()

    def _stamp(self) -> tuple[int, ...]:
        stats = [os.stat(path) for path in (self.cert, self.key)]
        return tuple(n for s in stats for n in (s.st_mtime_ns, s.st_size))

    def reload(self) -> None:
        """Load the files if they changed; open connections are unaffected.

        A renewal writes two files, and a reload can happen between the writes.
        A certificate without the matching key in the context in use would make
        every new handshake fail, so the pair is loaded into a new context
        first.
        """
        try:
            stamp = self._stamp()
            if stamp == self.stamp:
                return
            context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            context.load_cert_chain(self.cert, self.key)
        except OSError as error:
            log.warning("certificate not reloaded", error=str(error))
            return
        self.adapter.context = context
        self.stamp = stamp
        log.info("certificate renewed")


def tls_adapter(cert: str, key: str) -> TlsAdapter:
    """Create a server's TLS adapter.

    Args:
        cert: PEM file of the certificate chain.
        key: PEM file of the private key.

    Raises:
        LacewingdockError: BAD_SETTING, if the files cannot be read or are not
            a matching pair.
    """
    try:
        return TlsAdapter(cert, key)
    except (OSError, ValueError) as error:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, f"TLS files {cert!r}, {key!r}: {error}"
        ) from error
