"""Consistent hashing of routers, to agree on those with a share."""

import bisect
import hashlib
from collections.abc import Collection


class Ring:
    """Routers on a consistent hashing ring.

    The routers that follow an instance's position have a share of it. Views of
    the fleet that differ in a few routers give shares that differ in about as
    many. A position is found by binary search and not by a scan of all
    routers: after a power loss all instances are cold at once.

    Attributes:
        places: Positions of the routers, in ascending order.
        index: Index of each router's position in `places`, by name.
    """

    __slots__ = ("index", "places")

    def __init__(self, names: Collection[str]) -> None:
        """Build the ring of the named routers."""
        ranked = sorted((_digest(name), name) for name in names)
        self.places = [place for place, _ in ranked]
        self.index = {name: at for at, (_, name) in enumerate(ranked)}

    def has_share(self, name: str, mark: int, count: int) -> bool:
        """Return whether a router is among those that follow a position.

        Args:
            name: Name of the router.
            mark: The position: digest of an instance's start.
            count: Number of routers that have a share.
        """
        first = bisect.bisect_left(self.places, mark)
        return (self.index[name] - first) % len(self.places) < count


def _digest(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")
