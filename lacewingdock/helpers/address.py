"""Support for addresses; loads nothing."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of "IP:PORT".

    Raises:
        ValueError: The port is no number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
