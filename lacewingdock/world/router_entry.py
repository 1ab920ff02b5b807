"""Support for what a router says of itself in the platform's store."""

from dataclasses import dataclass
from typing import Final

KIND_ROUTERS: Final = "lacewingdock-routers"


@dataclass(slots=True)
class RouterEntry:
    """Where a router is reached.

    Attributes:
        address: Its port for other routers, as IP:PORT.
        incarnation: Its start.
        seen_at: Unix time, in seconds, at which it last announced itself.
    """

    address: str
    incarnation: str
    seen_at: int = 0


def host_of(address: str) -> str:
    """Return the IP number of an address IP:PORT."""
    return address.rpartition(":")[0]
