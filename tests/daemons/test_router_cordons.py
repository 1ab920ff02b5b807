"""Tests that each router of a fleet applies cordons within their bound."""

from dataclasses import replace

import pytest

from lacewingdock.platform.documents import KIND_CORDONS
from tests.components.mirror.simulated_store import (
    Outage,
    Troubles,
    Written,
)
from tests.daemons.relay_fleet import Fleet, NetTroubles
from tests.daemons.test_router_mirrors import (
    INSTANCES,
    ROUNDING_S,
    first_written,
    undisturbed,
)
from tests.daemons.test_router_relay import MIDDLE, SMALL, watchers_of

# The failure domain of all instances.
DOMAIN = "d"
CORDONED = replace(MIDDLE, cordon_s=5.0)
SET_AT, LIFTED_AT = 12.0, 24.0


def check(count, *, bounds=CORDONED, troubles=None, own=None, net=None):
    """Run a fleet in which a cordon is set and lifted; check each router."""
    troubles, net = troubles or Troubles(), net or NetTroubles()
    written = [
        *first_written(),
        Written(SET_AT, KIND_CORDONS, DOMAIN, {}),
        Written(LIFTED_AT, KIND_CORDONS, DOMAIN, None),
    ]
    fleet = Fleet(count, written, troubles, bounds, own, net)
    fleet.run(LIFTED_AT + bounds.cordon_s + bounds.contact_s + 3)
    for router in fleet.routers.values():
        _check_router(router, troubles, net, bounds)
    return fleet


def _check_router(router, troubles, net, bounds):
    core = troubles.of_store()
    own = core + router.troubles.of_router() + net.gone.get(router.name, [])
    for at, found, _ in router.samples:
        if not undisturbed(own, at, bounds.contact_s):
            continue
        if SET_AT + bounds.cordon_s + ROUNDING_S < at < LIFTED_AT:
            assert not found, f"{router.name}: {found} at {at:.2f}"
        if at > LIFTED_AT + bounds.cordon_s:
            assert found == set(INSTANCES), f"{router.name}: {at:.2f}"


@pytest.mark.parametrize("count", [4, 28, 80, 300])
def test_in_force_on_a_calm_day(count):
    check(count)


def test_in_force_where_each_router_watches():
    check(5, bounds=replace(SMALL, cordon_s=5.0))


@pytest.mark.parametrize("count", [4, 28])
@pytest.mark.parametrize(
    "troubles",
    [
        # The store is down when the cordon is set, and recovers.
        Troubles([Outage(11.5, 13.5)]),
        Troubles([Outage(11.9, 16.0, silent=False)]),
        # Connections went silent; the history was dropped.
        Troubles(silenced=[11.8]),
        Troubles(forgotten=[11.9], silenced=[11.8]),
        Troubles(cuts=[12.0, 12.1, 12.4]),
        Troubles(slow=[(11.0, 15.0, 0.36)]),
    ],
)
def test_in_force_through_troubles_of_the_store(count, troubles):
    check(count, troubles=troubles)


@pytest.mark.parametrize("count", [4, 28])
@pytest.mark.parametrize("silent", [True, False])
def test_in_force_where_the_store_turns_routers_away(count, silent):
    """Symptom: a router that the store rejects keeps using a cordoned domain.

    Cause: it receives no changes itself while the store serves the others.
    """
    turned_away = Troubles([Outage(11.0, 22.0, silent, for_all=False)])
    names = {f"r-{number}" for number in range(0, count, 3)}
    fleet = check(count, own=dict.fromkeys(names, turned_away))
    # The bound does not apply to them, but they can fetch others' copies.
    for name in names:
        for at, found, _ in fleet.routers[name].samples:
            if SET_AT + CORDONED.cordon_s < at < 22.0:
                assert not found, f"{name}: {found} at {at:.2f}"


def test_in_force_where_watchers_die():
    first, second = watchers_of(28, "r-0")
    gone = {first: [(11.9, 40.0)], second: [(12.05, 40.0)]}
    check(28, net=NetTroubles(gone=gone))
