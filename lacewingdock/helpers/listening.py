"""Opening of listening TCP ports; imports only the socket module."""

import socket
from typing import Final

# Connections in the listen queue: a burst of one second at twice the load of a
# large deployment. A full queue drops the SYN packet, which the caller sends
# again only after a second.
BACKLOG: Final = 512


def open_port(address: tuple[str, int]) -> socket.socket:
    """Bind a port and listen; connections queue until they are accepted.

    Raises:
        OSError: The port is in use, or the address is not a local one.
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
