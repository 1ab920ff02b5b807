"""Support for sending no more to cold instances than they bear.

An instance that has just started is cold for some seconds. It bears a number
of requests a second then and crashes under many more, so the bound is one on
all routers together. An idle instance is what each router likes best: without
a bound, all of a fleet choose it in the same moment.

No router asks another. Each spaces its requests to a cold instance out, so
that the sum stays below the bound in any second, also where routers are cut
off or have all started again. Where that would leave a router less than one in
a second, some of them have a share of each instance, on which all agree that
know the same routers, with room for those that do not; the others leave the
instance to them until it is warm.
"""

import bisect
import functools
import hashlib
import math
import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.slow_start.const import (
    NEWCOMERS,
    PACE_PART,
    SECOND_S,
    VIEWS,
    WAY_S,
)
from lacewingdock.components.upstreams.instance import Instance
from lacewingdock.world.host import Bounds
from lacewingdock.world.route import ServiceLimits

# Instances whose next turns are remembered before those that have passed are
# forgotten.
MAX_REMEMBERED: Final = 16_384
# How often it is looked which routers there are.
RING_S: Final = 0.25


@dataclass(slots=True, frozen=True)
class Shares:
    """How the requests to a cold instance are shared.

    Attributes:
        routers: How many routers have a share.
        gap_s: Seconds between two requests of one of them.
    """

    routers: int
    gap_s: float


@functools.lru_cache
def shares(per_s: float, most_in_a_second: float, routers: int) -> Shares:
    """Return how the requests to a cold instance are shared.

    Requests of one router that are sent a gap apart may arrive closer by what
    the way takes. So in any second there arrive as many of one router as gaps
    fit into a second and that way.

    Args:
        per_s: Requests a second that it bears.
        most_in_a_second: Requests that may reach it in any second.
        routers: How many routers there are.
    """
    routers = max(routers, 1)
    sharing = routers
    if routers * NEWCOMERS > most_in_a_second:
        sharing = max(math.floor(most_in_a_second / VIEWS), 1)
    senders = min(routers * NEWCOMERS, sharing * VIEWS)
    each = max(math.floor(most_in_a_second / senders), 1)
    gap_s = max((SECOND_S + WAY_S) / each, sharing / (PACE_PART * per_s))
    return Shares(sharing, gap_s)


class SlowStart:
    """Says when this router may send to a cold instance.

    Attributes:
        name: This router's name.
        names: Returns the names of the other routers.
        known: Returns whether it knows the other routers; before, it has no
            share of anything.
        limits: Returns what a service's instances bear; None if not known.
        bounds: Returns what the router is held to.
        started: Monotonic time of this router's start.
    """

    __slots__ = (
        "_next_at",
        "_ring",
        "_ring_until",
        "bounds",
        "known",
        "limits",
        "name",
        "names",
        "started",
    )

    def __init__(
        self,
        name: str,
        names: Callable[[], Collection[str]],
        known: Callable[[], bool],
        limits: Callable[[str], ServiceLimits | None],
        bounds: Callable[[], Bounds],
        started: float,
    ) -> None:
        """Take the parts; nothing is cold before an entry says so."""
        self.started = started
        self.name = name
        self.names = names
        self.known = known
        self.limits = limits
        self.bounds = bounds
        self._ring = Ring((name,))
        self._ring_until = 0.0
        self._next_at: dict[str, float] = {}

    def admits(self, instance: Instance, now: float) -> bool:
        """Whether a request may be sent to an instance now."""
        return not instance.is_cold(now) or self.due_at(instance, now) <= now

    def due_at(self, instance: Instance, now: float) -> float:
        """Return when this router may next send to a cold instance.

        Returns:
            A monotonic time; infinity where it has no share.
        """
        limits = self._limits(instance)
        if limits is None:
            return now
        found = self._shares(limits)
        if not self._is_sharer(instance, found.routers, now):
            return math.inf
        first = self._first_due(instance, found.gap_s)
        next_at = self._next_at.get(instance.entry.incarnation, first)
        return max(first, next_at, now)

    def _first_due(self, instance: Instance, gap_s: float) -> float:
        """Return when the first request may be sent to an instance.

        Routers take their first turns one after the other. All at once, with
        what was sent before all of them started again, would be twice what may
        arrive in a second.
        """
        digest = zlib.crc32(f"{self.name} {instance.mark}".encode())
        phase = digest / 2**32
        return max(instance.cold_from, self.started) + phase * gap_s

    def sends(self, instance: Instance, at: float) -> None:
        """Count a request that goes to an instance at a moment."""
        if not instance.is_cold(at):
            return
        limits = self._limits(instance)
        if limits is None:
            return
        if len(self._next_at) > MAX_REMEMBERED:
            self._next_at = {k: t for k, t in self._next_at.items() if t > at}
        self._next_at[instance.entry.incarnation] = (
            at + self._shares(limits).gap_s
        )

    def _limits(self, instance: Instance) -> ServiceLimits | None:
        """Return what a cold instance bears; None where there is no bound."""
        limits = self.limits(instance.entry.service)
        return limits if limits and limits.cold_per_s else None

    def _shares(self, limits: ServiceLimits) -> Shares:
        """Return how the requests to a cold instance are shared."""
        per_s, bounds = limits.cold_per_s, self.bounds()
        most = per_s * bounds.cold_overage + bounds.cold_extra
        return shares(per_s, most, len(self.names()) + 1)

    def _is_sharer(self, instance: Instance, sharing: int, now: float) -> bool:
        """Whether this router is among those that have a share."""
        if not self.known():
            return False
        if now >= self._ring_until:
            names = frozenset(self.names()) | {self.name}
            if names != self._ring.index.keys():
                self._ring = Ring(names)
            self._ring_until = now + RING_S
        return self._ring.is_near(self.name, instance.mark, sharing)


class Ring:
    """Routers on a ring by their digests (consistent hashing).

    Those that follow an instance's place have a share of it. Two rings that
    differ in some routers differ by about as many of them, and a place is
    found without a look at all routers: after a loss of power all instances
    are cold.

    Attributes:
        places: The routers' places, in order.
        index: Where each router stands among them.
    """

    __slots__ = ("index", "places")

    def __init__(self, names: Collection[str]) -> None:
        """Place the routers."""
        ranked = sorted((_digest(name), name) for name in names)
        self.places = [place for place, _ in ranked]
        self.index = {name: at for at, (_, name) in enumerate(ranked)}

    def is_near(self, name: str, mark: int, count: int) -> bool:
        """Whether a router is among so many that follow a place.

        Args:
            name: The router.
            mark: The place: digest of an instance's start.
            count: How many.
        """
        first = bisect.bisect_left(self.places, mark)
        return (self.index[name] - first) % len(self.places) < count


def _digest(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")
