"""Sets up the relay by which routers pass on changes of the store."""

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

# Kinds with a propagation bound, and roll-out orders, which start late if they
# are received late.
BOUNDED_KINDS: Final = (
    KIND_CONFIGURATION,
    KIND_INSTANCES,
    KIND_SHIFTS,
    KIND_CORDONS,
)
# Highest age, in seconds, of a copy of another kind that is confirmed by
# watchers' freshness reports alone: longer than any watch of such a kind.
UNBOUNDED_KINDS_LIMIT_S: Final = 30.0


@dataclass(slots=True)
class Relay:
    """Both ends of a router's relay.

    Attributes:
        follower: Receives changes from other routers.
        watcher: Reports changes to other routers.
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
    """Return a router's relay, connected to its mirrors.

    Args:
        mirrors: The mirrors by kind.
        health: The store's health state.
        routers: The other routers.
        bounds: Returns the router's propagation bounds.
        source: Source of random numbers.
        clock: The clock to use.
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
    """Return whether a fleet makes fewer calls if a few watchers relay."""
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
    """Return a function for how long watchers keep a kind's copy fresh.

    A router that the store did not answer calls it until it answers. With the
    watchers' reports alone, the router would consider the store unavailable
    for ever, and missing entries lapsed.
    """
    return lambda: 0.0 if health.away else follower.fresh_for_s(kind)


def _defer_call_s(
    follower: Follower,
    health: StoreHealth,
    mirror: Mirror,
    bounds: Callable[[], Bounds],
) -> Callable[[], float]:
    """Return a function for how long a kind's call is deferred in an outage.

    If each router called for each kind several times a second, an outage would
    cause thousands of calls, all of them refused.
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
