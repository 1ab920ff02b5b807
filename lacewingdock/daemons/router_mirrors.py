"""Builds a router's mirrors: which kinds it watches, and how often."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.copies import Copy
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.mirror.listener import Listener
from lacewingdock.components.traffic_shifting.const import KIND_REPORTS
from lacewingdock.components.upstreams.directory import LAPSE_S
from lacewingdock.daemons.router_timing import (
    CHANGES_PAUSE_S,
    REPORTS_PAUSE_S,
    cordons_watch_s,
    doubt_s,
    entries_watch_s,
    restored_doubt_s,
    transfer_s,
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

# Kinds without a propagation bound: addresses of routers matter only in
# outages, and a version found bad is announced by datagrams. A watch that may
# be seconds stale costs a tenth, and does not count towards the platform's
# limit of reads.
UNBOUNDED_KINDS: Final = (KIND_ROUTERS, KIND_REPORTS)
# Longest watch of routers' entries, in seconds: routers start and stop rarely,
# and their addresses matter only in an outage.
ROUTERS_WATCH_S: Final = 20.0
# Longest watch of roll-out orders, in seconds. A watch whose connection went
# silent hides an order until the watch ends; an order that is received late
# starts late and may miss its deadline.
ORDERS_WATCH_S: Final = 2.5
# Longest watch of reports outside of roll-outs, in seconds: none are written
# then.
REPORTS_WATCH_S: Final = 8.0
# Pause between watches of routers' entries, in seconds. After the crash of an
# instance every router may publish in its entry the requests it lost there.
ROUTERS_PAUSE_S: Final = 1.0
# Share of the platform's reads that reading roll-out reports may use. A large
# fleet batches reports for longer to stay below it: 6 s at 1,200 routers and
# 2,000 reads per second.
REPORTS_READS_SHARE: Final = 0.1


@dataclass(slots=True)
class MirrorPacing:
    """The values that determine how often a router's mirrors call the store.

    Attributes:
        bounds: Returns the router's propagation bounds.
        shifting: Returns whether a roll-out is under way.
        reports_pause_s: Returns for how many seconds reports are batched.
    """

    bounds: Callable[[], Bounds]
    shifting: Callable[[], bool]
    reports_pause_s: Callable[[], float]


def build_store_health(
    bounds: Callable[[], Bounds], clock: Clock
) -> StoreHealth:
    """Return the store's health state, before any call was made.

    Args:
        bounds: Returns the router's propagation bounds.
        clock: The clock to use.
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
    """Return for how many seconds roll-out reports are batched into one call.

    Args:
        routers: Number of routers.
        reads_per_s: Reads per second that the platform allows the fleet.
        hurried: Whether a decision waits for the reports.
        relayed: Whether a few watchers read the reports for all routers.
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
    """Return the mirrors of a router by kind; each runs in its own task.

    Args:
        listeners: Receivers of the changes, by kind.
        api: The platform's store.
        health: The store's health state, shared by all mirrors.
        pull: Returns the newest copy that other routers hold.
        source: Source of random numbers.
        pace: The values that determine how often they call the store.
        clock: The clock to use.
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
    for mirror in mirrors.values():
        mirror.transfer_s = lambda: transfer_s(pace.bounds())
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
