"""Support for opening a port; loads nothing but the socket module."""

import socket
from typing import Final

# Connections that wait to be accepted: a burst of a second at twice the load of
# a large deployment. A full queue drops the opening packet, which is sent again
# only after a second.
BACKLOG: Final = 512


def open_port(address: tuple[str, int]) -> socket.socket:
    """Bind a port and listen; connections wait until they are accepted.

    Raises:
        OSError: It is taken, or no address of this instance.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
