"""Tests of the assignment of watchers to routers."""

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


def watchers(names_of_all):
    """Return the watchers that each router follows."""
    return {
        name: rank_watchers(names_of_all, name)[:WATCHERS_PER_GROUP]
        for name in names_of_all
    }


@pytest.mark.parametrize("count", [1, 4, 68, 300, 1200])
def test_load_of_a_watcher_does_not_grow_with_the_fleet(count):
    names_of_all = names(count)
    listeners = Counter(
        watcher
        for found in watchers(names_of_all).values()
        for watcher in found
    )
    assert len(listeners) <= WATCHERS_PER_GROUP * group_count(count)
    # A router may watch for two groups; the hash makes them similar in size.
    assert max(listeners.values()) <= 3 * ROUTERS_PER_GROUP


def test_routers_of_a_group_agree():
    names_of_all = names(68)
    assert len({tuple(found) for found in watchers(names_of_all).values()}) == 1


@pytest.mark.parametrize("count", [68, 300, 1200])
def test_leaving_router_changes_only_its_followers(count):
    names_of_all = names(count)
    before = watchers(names_of_all)
    gone = names_of_all[count // 2]
    after = watchers([name for name in names_of_all if name != gone])
    moved = sum(before[name] != after[name] for name in after)
    assert moved == sum(gone in before[name] for name in after)


@pytest.mark.parametrize(
    ("routers", "watch_s", "renew_s", "reduces"),
    [
        (4, 2.0, 1.8, False),
        (68, 2.0, 1.8, True),
        (26, 2.0, 0.9, True),
        (1200, 2.0, 0.5, True),
        (8, 2.0, 0.4, False),
        (68, 2.0, 0.0, False),
    ],
)
def test_watchers_are_used_where_they_halve_the_calls(
    routers, watch_s, renew_s, reduces
):
    assert reduces_calls(routers, watch_s, renew_s, 0.5) is reduces
