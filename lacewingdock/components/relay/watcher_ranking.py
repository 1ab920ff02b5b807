"""Support for the assignment of watchers to routers."""

import zlib
from collections.abc import Iterable

from lacewingdock.components.relay.const import (
    ROUTERS_PER_GROUP,
    WATCHERS_PER_GROUP,
)


def group_count(routers: int) -> int:
    """Return the number of groups that share watchers."""
    return max(round(routers / ROUTERS_PER_GROUP), 1)


def rank_watchers(names: Iterable[str], name: str) -> list[str]:
    """Return all routers, ranked; the first ones watch for a router's group.

    All routers that have the same names rank them alike. A router that joins or
    leaves changes only the watchers of the groups that it watches for.

    Args:
        names: Names of all routers.
        name: The router that follows the watchers.
    """
    members = sorted(set(names) | {name})
    group = zlib.crc32(name.encode()) % group_count(len(members))
    return sorted(members, key=lambda one: _rank_key(group, one))


def reduces_calls(
    routers: int, watch_s: float, renew_s: float, part: float
) -> bool:
    """Whether following watchers reduces the calls to the store enough.

    Args:
        routers: Number of routers.
        watch_s: Seconds between calls of a router that watches for itself.
        renew_s: Seconds between calls of a watcher.
        part: Highest part of the calls that may remain.
    """
    by_all = routers / watch_s
    by_few = WATCHERS_PER_GROUP * group_count(routers) / max(renew_s, 1e-3)
    return by_few <= part * by_all


def _rank_key(group: int, name: str) -> int:
    return zlib.crc32(f"{group}/{name}".encode())
