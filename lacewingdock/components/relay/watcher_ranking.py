"""Support for who watches the platform's store for whom."""

import zlib
from collections.abc import Iterable

from lacewingdock.components.relay.const import (
    ROUTERS_PER_GROUP,
    WATCHERS_PER_GROUP,
)


def group_count(routers: int) -> int:
    """Return in how many groups routers listen to watchers."""
    return max(round(routers / ROUTERS_PER_GROUP), 1)


def rank_watchers(names: Iterable[str], name: str) -> list[str]:
    """Return all routers, those first whom a router's group listens to.

    All routers that know the same names rank them alike, and one that comes or
    goes changes nobody's watchers but those of the groups it watches for.

    Args:
        names: All routers.
        name: The router that listens.
    """
    known = sorted(set(names) | {name})
    group = zlib.crc32(name.encode()) % group_count(len(known))
    return sorted(known, key=lambda one: _rank_key(group, one))


def reduces_calls(
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
    by_few = WATCHERS_PER_GROUP * group_count(routers) / max(renew_s, 1e-3)
    return by_few <= part * by_all


def _rank_key(group: int, name: str) -> int:
    return zlib.crc32(f"{group}/{name}".encode())
