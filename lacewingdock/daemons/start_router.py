"""Starts a router with its callers' port opened before it is loaded.

    LACEWINGDOCK_CONFIG=boot.toml python3 -m lacewingdock.daemons.start_router

Loading a router takes a good part of a second on a slow instance. Without an
open port, callers that connect meanwhile are refused; callers whose streams
were cut reconnect within that time and give up. With the port open, their
connections wait in the listen backlog until the router accepts them.
"""

import os
import socket

from lacewingdock.helpers.listening import open_port
from lacewingdock.platform.callers_address import read_callers_address


def open_callers_port(path: str) -> socket.socket | None:
    """Open the callers' port; None where the settings are faulty.

    The fault is reported later, when the router validates all settings.
    """
    try:
        return open_port(read_callers_address(path))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def main() -> None:
    """Open the port, then load the router and run it."""
    sock = open_callers_port(os.environ.get("LACEWINGDOCK_CONFIG", ""))
    # Imported after the port is open, since the import is slow.
    from lacewingdock.daemons.router import main as run

    run(sock)


if __name__ == "__main__":
    main()
