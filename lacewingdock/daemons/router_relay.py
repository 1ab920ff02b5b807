"""Support for setting up how routers pass the store's news on."""

import functools
import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.relay.const import MAX_CALLS_PART
from lacewingdock.components.relay.follower import Follower
from lacewingdock.components.relay.watcher import Watcher
from lacewingdock.components.relay.watcher_ranking import reduces_calls
from lacewingdock.components.routers import Routers
from lacewingdock.daemons.router_timing import (
    CHANGES_PAUSE_S,
    RECOVERY_CHECK_INTERVAL_S,
    entries_watch_s,
    follow_cordons_limit_s,
    follow_limit_s,
    outage_pause_s,
    renew_s,
)
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.platform.documents import (
    KIND_CONFIGURATION,
    KIND_CORDONS,
    KIND_INSTANCES,
    KIND_SHIFTS,
)
from lacewingdock.world.host import Bounds

# Kinds on which a bound hangs, and orders, which start late if seen late.
BOUNDED_KINDS: Final = (
    KIND_CONFIGURATION,
    KIND_INSTANCES,
    KIND_SHIFTS,
    KIND_CORDONS,
)
# How old a copy of another kind may grow by the watchers' word: longer than
# any watch of such a kind waits.
UNBOUNDED_KINDS_LIMIT_S: Final = 30.0


@dataclass(slots=True)
class Relay:
    """Both ends of a router's relaying.

    Attributes:
        follower: What it takes from others.
        watcher: What it tells others.
    """

    follower: Follower
    watcher: Watcher


def build_relay(
    mirrors: Mapping[str, Mirror],
    health: StoreHealth,
    routers: Routers,
    bounds: Callable[[], Bounds],
    source: random.Random,
    clock: Clock = STEADY,
) -> Relay:
    """Return a router's relay, and have its mirrors go by it.

    Args:
        mirrors: The mirrors by kind.
        health: What their calls show of the store.
        routers: The other routers.
        bounds: Returns what the router is held to.
        source: Source of draws.
        clock: The time it goes by.
    """

    def is_enabled() -> bool:
        return relay_reduces_calls(routers.count(), bounds())

    def limit_s(kind: str) -> float:
        if not is_enabled():
            return 0.0
        if kind == KIND_CORDONS:
            return follow_cordons_limit_s(bounds())
        if kind in BOUNDED_KINDS:
            return follow_limit_s(bounds())
        return UNBOUNDED_KINDS_LIMIT_S

    def max_age_s(kind: str) -> float:
        if not is_enabled() or not follower.watches:
            return math.inf
        return renew_s(bounds(), limit_s(kind))

    follower = Follower(
        routers.name,
        mirrors,
        lambda: routers.entries,
        routers.fetch,
        limit_s,
        source,
        clock,
    )
    for kind, mirror in mirrors.items():
        mirror.fresh_for_s = _fresh_for_s(follower, health, kind)
        mirror.defer_call_s = _defer_call_s(follower, health, mirror, bounds)
        if kind in BOUNDED_KINDS:
            mirror.renew_s = functools.partial(max_age_s, kind)
    health.others_doubt = lambda: follower.doubtful
    health.on_answer = follower.record_store_answer
    return Relay(follower, Watcher(routers.name, mirrors, health, clock))


def relay_reduces_calls(routers: int, bounds: Bounds) -> bool:
    """Whether a fleet makes fewer calls with a few watchers."""
    if renew_s(bounds) <= 0.0:
        return False
    return reduces_calls(
        routers,
        entries_watch_s(bounds) + CHANGES_PAUSE_S,
        renew_s(bounds),
        MAX_CALLS_PART,
    )


def _fresh_for_s(
    follower: Follower, health: StoreHealth, kind: str
) -> Callable[[], float]:
    """Return how long a kind's copy may be left to the watchers.

    A router that the store did not answer asks on until it does: by the
    watchers' word alone it would hold the store for away for good, and what is
    missing for lapsed.
    """
    return lambda: 0.0 if health.away else follower.fresh_for_s(kind)


def _defer_call_s(
    follower: Follower,
    health: StoreHealth,
    mirror: Mirror,
    bounds: Callable[[], Bounds],
) -> Callable[[], float]:
    """Return how long a kind need not be asked for in an outage.

    With each router asking for each kind several times a second, an outage
    costs thousands of calls, which are refused.
    """

    def defer_call_s() -> float:
        if not health.away:
            return 0.0
        is_deferred = follower.defers_to_watchers(mirror.called_at)
        probes = mirror.kind == KIND_INSTANCES and not is_deferred
        due_at = mirror.called_at + outage_pause_s(bounds())
        left_s = due_at - mirror.clock.now()
        return (
            0.0 if probes else min(max(left_s, 0.0), RECOVERY_CHECK_INTERVAL_S)
        )

    return defer_call_s
