"""Support for starting a router with its callers' port open first.

    LACEWINGDOCK_CONFIG=boot.toml python3 -m lacewingdock.daemons.start_router

Loading a router takes a good part of a second on a slow instance. Callers that
connect meanwhile would be refused, and those whose streams were cut come again
within that time and give up. With the port open first they wait to be accepted.
"""

import os
import socket

from lacewingdock.helpers.listening import open_port
from lacewingdock.platform.callers_address import read_callers_address


def open_callers_port(path: str) -> socket.socket | None:
    """Open the callers' port; None where the settings are at fault.

    The fault is told once the settings are checked in full.
    """
    try:
        return open_port(read_callers_address(path))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def main() -> None:
    """Open the port, then load the router and run it."""
    sock = open_callers_port(os.environ.get("LACEWINGDOCK_CONFIG", ""))
    # Loaded only now: see above.
    from lacewingdock.daemons.router import main as run

    run(sock)


if __name__ == "__main__":
    main()
