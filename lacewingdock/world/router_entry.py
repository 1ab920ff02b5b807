"""Support for the entries that routers write to the platform's store."""

from dataclasses import dataclass
from typing import Final

KIND_ROUTERS: Final = "lacewingdock-routers"


@dataclass(slots=True)
class RouterEntry:
    """Address and start of a router, announced in the store.

    Attributes:
        address: "IP:PORT" for other routers.
        incarnation: Identifier of the start of the router process.
        seen_at: Unix time, in seconds, of the last announcement.
    """

    address: str
    incarnation: str
    seen_at: int = 0


def host_of(address: str) -> str:
    """Return the IP address of "IP:PORT"."""
    return address.rpartition(":")[0]
