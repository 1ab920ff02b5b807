"""Parsing of addresses; imports no other module."""


def split_address(address: str) -> tuple[str, int]:
    """Split "IP:PORT" into the host and the port number.

    Raises:
        ValueError: The port is not an integer.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
