"""Tests of routers whose store is restored from a copy, in virtual time.

Each restore loses the last seconds of the acknowledged writes; the writers
repeat theirs within two seconds. Which revisions are assigned again, how long
the store is unavailable and what the copy lacks is drawn at random.
"""

import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lacewingdock.platform.documents import KIND_CONFIGURATION, KIND_INSTANCES
from lacewingdock.world.host import Bounds
from tests.components.mirror.simulated_store import (
    Outage,
    Return,
    Troubles,
    Written,
)
from tests.daemons import test_router_relay as fleets
from tests.daemons.relay_fleet import Fleet, NetTroubles
from tests.daemons.test_router_mirrors import (
    BOUNDS,
    LEAVING,
    Router,
    check,
    entry,
    first_written,
    span_of,
)

LARGE = Bounds(contact_s=5.0, drain_s=4.0, apply_s=4.0)
# Seconds within which entries that the copy lacks are written again.
BACK_S = 2.0
# Seconds until a router notices at the latest that an entry is not written
# again: a check whether the doubt is over, and the time of its first answer.
NOTICED_S = 1.5


RETURNS = st.builds(
    lambda start, away_s, silent, lost_s: Return(
        start, round(start + away_s, 2), silent, True, lost_s
    ),
    span_of(6, 14),
    span_of(0.0, 6),
    st.booleans(),
    span_of(0.0, 10),
)


def apart(returns):
    """Return the restores without overlaps, moved to 0.3 s apart if needed."""
    found = []
    for one in sorted(returns, key=lambda one: one.start):
        if found and one.start <= found[-1].end:
            shift = found[-1].end + 0.3 - one.start
            one.start, one.end = one.start + shift, one.end + shift
        found.append(one)
    return found


@given(
    returns=st.lists(RETURNS, min_size=1, max_size=3).map(apart),
    cuts=st.lists(span_of(4, 24), max_size=2),
    silenced=st.lists(span_of(4, 24), max_size=1),
    leaving=LEAVING,
    changed_at=st.lists(span_of(2, 34), max_size=4).map(sorted),
    silent=st.booleans(),
    seed=st.integers(0, 99),
)
@example(
    [Return(10.0, 12.6, False, True, 4.0)], [], [], [], [9.0, 15.9], True, 1
)
@example(
    [Return(9.0, 9.0, True, True, 6.0)], [], [], [], [4, 5, 6, 12.2], True, 1
)
# Another kind's call learns of the restore while this kind's is under way.
@example(
    [Return(10.0, 11.0, False, True, 5.0)],
    [],
    [4.0],
    [(6.0, "a", None)],
    [10.0],
    True,
    8,
)
# A change that waited for the store's return, and another at that moment.
@example(
    [Return(11.14, 16.58, False, True, 0.0)],
    [],
    [],
    [(6.0, "a", None)],
    [12.0, 16.58],
    False,
    0,
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_changes_after_restores_are_in_force_in_time(
    returns, cuts, silenced, leaving, changed_at, silent, seed
):
    """Symptom: an old configuration, or an instance that left, is used.

    Sequence: the store is unavailable for up to six seconds, once or several
    times, and is restored without its last seconds, at revisions below or
    above those that the router holds; meanwhile instances leave and
    configurations change.

    Cause: revisions that are assigned again were taken for the earlier ones.
    """
    troubles = Troubles(returns, silenced, cuts)
    moments = leaving or [(30.0, "a", None)]
    check(troubles, moments, changed_at, silent=silent, seed=seed)


def lost(name="new", at=9.0):
    """Return the first write of an entry that copies made earlier lack."""
    spec = entry("d") | {"address": "10.0.0.9:80"}
    return Written(at, KIND_INSTANCES, name, spec)


@pytest.mark.parametrize("silent", [True, False])
@pytest.mark.parametrize("away_s", [0.0, 0.3, 2.0, 5.0])
@pytest.mark.parametrize("seed", range(3))
def test_instances_whose_entries_the_copy_lacks_go_on_getting_work(
    silent, away_s, seed
):
    """Symptom: a live instance gets no work for a second or two.

    Sequence: the store is restored from a copy older than its entry, which is
    written again within two seconds. Cause: if the outage was too short to be
    noticed, an entry missing from a list counted as removed at once.
    """
    start = 10.0 + seed / 3
    back = Return(start, start + away_s, silent, True, 4.0)
    written = [*first_written(), lost()]
    router = Router(written, Troubles([back]), BOUNDS, False, seed)
    for at, found, _ in router.run(back.end + 6):
        if at > 9.6:
            assert "new" in found, f"missing at {at:.2f} s"


@pytest.mark.parametrize("away_s", [0.0, 0.3, 2.0, 5.0])
def test_instance_whose_entry_does_not_come_back_is_gone(away_s):
    """Symptom: an instance gets work for seconds after its entry was lost.

    Sequence: it dies while the store is unavailable; the store is restored
    from a copy older than its entry. Cause: no list without the entry was
    accepted.
    """
    back = Return(10.0, 10.0 + away_s, False, True, 4.0, frozenset({"new"}))
    written = [*first_written(), lost()]
    router = Router(written, Troubles([back]), BOUNDS, False, 1)
    for at, found, _ in router.run(back.end + 12):
        if at > back.end + BACK_S + NOTICED_S + BOUNDS.contact_s:
            assert "new" not in found, f"gets work at {at:.2f} s"


@pytest.mark.parametrize("state", [None, "draining"])
@pytest.mark.parametrize("away_s", [0.0, 0.3, 2.0])
@pytest.mark.parametrize("seed", range(3))
def test_instance_that_left_does_not_come_back_with_the_copy(
    state, away_s, seed
):
    """Symptom: an instance that had left gets requests again.

    Sequence: it leaves, the store is restored from an earlier copy, and its
    announcement is written again up to two seconds later. Cause: the old entry
    in the copy counted as a new one.
    """
    start = 10.0 + seed / 3
    back = Return(start, start + away_s, False, True, 4.0)
    spec = state and entry("a", state) | {"sequence": 2}
    written = [*first_written(), Written(8.0, KIND_INSTANCES, "a", spec)]
    router = Router(written, Troubles([back]), BOUNDS, False, seed)
    for at, found, _ in router.run(back.end + 6):
        if at > 8.6:
            assert "a" not in found, f"gets work at {at:.2f} s"


@pytest.mark.parametrize("count", [4, 9, 40])
@pytest.mark.parametrize("away_s", [0.0, 0.5, 3.0])
@pytest.mark.parametrize("seed", range(3))
def test_fleet_applies_changes_after_a_restore_in_time(count, away_s, seed):
    """Symptom: followers use the history that the store lost.

    Sequence: the store is restored from a copy; one router was cut off from it
    and from the others since before, and is reconnected later. Cause: its copy
    has a higher revision and counted as the newest.
    """
    draw = random.Random(seed)
    start = 10.0 + draw.uniform(0, 2)
    back = Return(start, start + away_s, draw.random() < 0.5, True, 5.0)
    cut = Troubles([Outage(start - 1, back.end + 3, True, False)])
    net = NetTroubles(gone={"r-0": [(start - 1, back.end + 3)]}, loss=0.05)
    fleets.check(
        [(back.end + 6.0, "a", "draining")],
        [6.0, start - 2.0, start - 0.5, back.end + 5.5],
        troubles=Troubles([back]),
        own={"r-0": cut},
        net=net,
        count=count,
        bounds=LARGE,
        seed=seed,
    )


def test_calls_after_a_restore_are_bounded():
    """Symptom: after a restore all routers fetch full lists in one second.

    The platform allows the fleet 2,000 reads per second: 10 for each of 200
    routers in the two seconds within which its changes must be in force.
    """
    count, back = 200, Return(10.0, 12.0, False, True, 4.0)
    written = [*first_written(), lost()]
    written += [Written(7.0, KIND_CONFIGURATION, "main", {"version": 2})]
    fleet = Fleet(count, written, Troubles([back]), LARGE)
    fleet.run(back.end + 4)
    calls = [
        at
        for router in fleet.routers.values()
        for at, _ in router.store.calls
        if at >= back.end
    ]
    busiest = max(
        sum(at <= one < at + 1 for one in calls) for at in calls[::50]
    )
    print(len(calls), busiest)
    assert busiest <= 10 * count
