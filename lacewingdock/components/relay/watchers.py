"""Support for who watches the platform's store for whom."""

import zlib
from collections.abc import Iterable

from lacewingdock.components.relay.const import GROUP_ROUTERS, WATCHERS


def groups(routers: int) -> int:
    """Return in how many groups routers listen to watchers."""
    return max(round(routers / GROUP_ROUTERS), 1)


def ranking(names: Iterable[str], name: str) -> list[str]:
    """Return all routers, those first whom a router's group listens to.

    All routers that know the same names rank them alike, and one that comes or
    goes changes nobody's watchers but those of the groups it watches for.

    Args:
        names: All routers.
        name: The router that listens.
    """
    known = sorted(set(names) | {name})
    group = zlib.crc32(name.encode()) % groups(len(known))
    return sorted(known, key=lambda one: _draw(group, one))


def worthwhile(
    routers: int, watch_s: float, renew_s: float, part: float
) -> bool:
    """Whether few watchers make few calls.

    Args:
        routers: How many there are.
        watch_s: Seconds between calls of a router that watches for itself.
        renew_s: Seconds between calls of a watcher.
        part: The part of the calls that may be left.
    """
    by_all = routers / watch_s
    by_few = WATCHERS * groups(routers) / max(renew_s, 1e-3)
    return by_few <= part * by_all


def _draw(group: int, name: str) -> int:
    return zlib.crc32(f"{group}/{name}".encode())
