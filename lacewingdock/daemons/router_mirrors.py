"""Support for a router's mirrors: which kinds it follows, and how closely."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.copies import Copy
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.mirror.listener import Listener
from lacewingdock.components.shifts.const import KIND_REPORTS
from lacewingdock.components.upstreams.directory import LAPSE_S
from lacewingdock.daemons.router_timing import (
    CHANGES_PAUSE_S,
    REPORTS_PAUSE_S,
    cordons_watch_s,
    doubt_s,
    entries_watch_s,
    restored_doubt_s,
    watch_s,
)
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.platform.documents import (
    KIND_CONFIGURATION,
    KIND_CORDONS,
    KIND_INSTANCES,
    KIND_SHIFTS,
)
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.world.host import Bounds
from lacewingdock.world.router_entry import KIND_ROUTERS

# Nothing is bound to a moment by these: addresses matter in outages only, and a
# version that is found bad is told by datagrams. Watches that may be seconds
# behind cost a tenth and do not count towards the platform's rate of reads.
UNBOUNDED_KINDS: Final = (KIND_ROUTERS, KIND_REPORTS)
# Routers come and go rarely, and their addresses matter only in an outage.
ROUTERS_WATCH_S: Final = 20.0
# An order that is seen late starts late, and may end after its time; a watch
# that went deaf hides it until it ends.
ORDERS_WATCH_S: Final = 2.5
# Outside of roll-outs nothing is reported.
REPORTS_WATCH_S: Final = 8.0
# After a crash every router may tell which requests it lost there.
ROUTERS_PAUSE_S: Final = 1.0
# A large fleet gathers them longer, so that reading them takes at most this
# part of the platform's reads: 6 s at 1,200 routers and 2,000 reads a second.
REPORTS_READS_SHARE: Final = 0.1


@dataclass(slots=True)
class MirrorPacing:
    """What the pace of a router's mirrors hangs on.

    Attributes:
        bounds: Returns what the router is held to.
        shifting: Returns whether a roll-out is under way.
        reports_pause_s: Returns for how long reports are gathered.
    """

    bounds: Callable[[], Bounds]
    shifting: Callable[[], bool]
    reports_pause_s: Callable[[], float]


def build_store_health(
    bounds: Callable[[], Bounds], clock: Clock
) -> StoreHealth:
    """Return the health of the store, before any call.

    Args:
        bounds: Returns what the router is held to.
        clock: The time it goes by.
    """
    return StoreHealth(
        LAPSE_S,
        lambda: doubt_s(bounds()),
        clock,
        lambda: restored_doubt_s(bounds()),
    )


def reports_pause_s(
    routers: int, reads_per_s: float, *, hurried: bool, relayed: bool
) -> float:
    """Return for how long reports of a roll-out are gathered for one call.

    Args:
        routers: How many there are.
        reads_per_s: What the platform bears of the whole fleet.
        hurried: Whether they are waited for.
        relayed: Whether a few routers read them for all.
    """
    if relayed:
        return CHANGES_PAUSE_S if hurried else REPORTS_PAUSE_S
    return max(REPORTS_PAUSE_S, routers / (reads_per_s * REPORTS_READS_SHARE))


def build_mirrors(
    listeners: Mapping[str, Listener],
    api: ObjectApi,
    health: StoreHealth,
    pull: Callable[[str, int], Copy],
    source: random.Random,
    pace: MirrorPacing,
    clock: Clock = STEADY,
) -> dict[str, Mirror]:
    """Return the mirrors of a router by kind; each is a task of its own.

    Args:
        listeners: What is told of each kind.
        api: The platform's store.
        health: What their calls show of the store, shared by all.
        pull: Returns the newest copy that other routers have.
        source: Source of draws.
        pace: How closely they follow.
        clock: The time they go by.
    """

    def bound_watch_s() -> float:
        return watch_s(pace.bounds())

    mirrors = {
        kind: Mirror(
            kind,
            api,
            health,
            listener,
            pull,
            source,
            bound_watch_s,
            clock=clock,
        )
        for kind, listener in listeners.items()
    }
    for kind in UNBOUNDED_KINDS:
        mirrors[kind].stale = True
    mirrors[KIND_INSTANCES].wait_s = lambda: entries_watch_s(pace.bounds())
    mirrors[KIND_ROUTERS].wait_s = lambda: ROUTERS_WATCH_S
    mirrors[KIND_SHIFTS].wait_s = lambda: ORDERS_WATCH_S
    mirrors[KIND_REPORTS].wait_s = lambda: (
        bound_watch_s() if pace.shifting() else REPORTS_WATCH_S
    )
    if KIND_CORDONS in mirrors:
        mirrors[KIND_CORDONS].wait_s = lambda: cordons_watch_s(pace.bounds())
    for kind in {KIND_CONFIGURATION, KIND_INSTANCES, KIND_CORDONS} & set(
        mirrors
    ):
        mirrors[kind].pause_s = lambda: CHANGES_PAUSE_S
    mirrors[KIND_ROUTERS].pause_s = lambda: ROUTERS_PAUSE_S
    mirrors[KIND_REPORTS].pause_s = pace.reports_pause_s
    return mirrors
