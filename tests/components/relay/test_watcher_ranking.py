"""Tests of who watches the store for whom."""

from collections import Counter

import pytest

from lacewingdock.components.relay.const import (
    ROUTERS_PER_GROUP,
    WATCHERS_PER_GROUP,
)
from lacewingdock.components.relay.watcher_ranking import (
    group_count,
    rank_watchers,
    reduces_calls,
)


def names(count):
    return [f"front-d-{number}" for number in range(count)]


def watchers(known):
    """Return the watchers that each router listens to."""
    return {
        name: rank_watchers(known, name)[:WATCHERS_PER_GROUP] for name in known
    }


@pytest.mark.parametrize("count", [1, 4, 68, 300, 1200])
def test_load_of_a_watcher_does_not_grow_with_the_fleet(count):
    known = names(count)
    listeners = Counter(
        watcher for found in watchers(known).values() for watcher in found
    )
    assert len(listeners) <= WATCHERS_PER_GROUP * group_count(count)
    # A router may watch for two groups, which are of like size by a hash.
    assert max(listeners.values()) <= 3 * ROUTERS_PER_GROUP


def test_routers_of_a_group_agree():
    known = names(68)
    assert len({tuple(found) for found in watchers(known).values()}) == 1


@pytest.mark.parametrize("count", [68, 300, 1200])
def test_one_that_goes_moves_few(count):
    known = names(count)
    before = watchers(known)
    gone = known[count // 2]
    after = watchers([name for name in known if name != gone])
    moved = sum(before[name] != after[name] for name in after)
    assert moved == sum(gone in before[name] for name in after)


@pytest.mark.parametrize(
    ("routers", "watch_s", "renew_s", "pays"),
    [
        (4, 2.0, 1.8, False),
        (68, 2.0, 1.8, True),
        (26, 2.0, 0.9, True),
        (1200, 2.0, 0.5, True),
        (8, 2.0, 0.4, False),
        (68, 2.0, 0.0, False),
    ],
)
def test_pays_where_it_halves_the_calls(routers, watch_s, renew_s, pays):
    assert reduces_calls(routers, watch_s, renew_s, 0.5) is pays
