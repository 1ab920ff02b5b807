"""Tests for the gate that refuses orders of earlier lease holders."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.leases.const import LEASE_ROLLOUTS
from lacewingdock.components.leases.lease import Lease, LeaseRecord
from lacewingdock.components.orders.gate import OrderGate
from lacewingdock.links.messages import Order
from tests.fakes import FakeStore


class FakeEngine:
    """Client of an engine that ignores fencing numbers."""

    def __init__(self, running=0):
        """Build the client with a number of running requests."""
        self.running = running
        self.orders = []
        self.serving = {"v1"}

    def submit(self, order):
        self.orders.append(order)
        return "done"

    def drain(self, version):
        self.serving.discard(version)
        return self.running

    def undrain(self, version):
        self.serving.add(version)


def acquire_lease(store, name):
    lease = Lease(LEASE_ROLLOUTS, store, LeaseRecord(holder=name))
    lease.me.incarnation = f"{name}-1"
    lease.read()
    lease.take()
    return lease


def load(fencing, action="load"):
    return Order("o", action, "v1", fencing=fencing)


@pytest.mark.parametrize("replaced", [False, True])
@pytest.mark.parametrize("seen", [False, True])
def test_thawed_holder_orders_nothing_that_takes_effect(seen, replaced):
    """A resumed holder's order is refused after another took over.

    Otherwise a version that was rolled back is loaded on an engine again: the
    holder freezes, another acquires the lease and may or may not send an
    order to this engine, the sidecar may be replaced, and then the first
    holder resumes and its order arrives. Engines that don't compare fencing
    numbers accept orders from any sender.
    """
    store, engine = FakeStore(), FakeEngine()
    gate = OrderGate(store, engine)
    first = acquire_lease(store, "a")
    assert gate.execute(load(first.fencing)).state == "done"
    second = acquire_lease(store, "b")
    if seen:
        gate.execute(load(second.fencing, "unload"))
    if replaced:
        gate = OrderGate(store, engine)
    before = len(engine.orders)
    assert gate.execute(load(first.fencing)).code == "fenced"
    assert len(engine.orders) == before


def test_sidecar_frozen_between_check_and_order():
    """An order is checked again if the sidecar was frozen after the check.

    The failure is that of the previous test, but the sidecar freezes between
    its check and the request to the engine, while another process acquires
    the lease.
    """
    store, engine = FakeStore(), FakeEngine()
    first = acquire_lease(store, "a")
    times = itertools.chain([0.0], itertools.repeat(9.0))

    def clock():
        now = next(times)
        if now == 9.0 and not store.calls.get("taken"):
            store.calls["taken"] = 1
            acquire_lease(store, "b")
        return now

    gate = OrderGate(store, engine, clock)
    assert gate.execute(load(first.fencing)).code == "fenced"
    assert engine.orders == []


@pytest.mark.parametrize(
    ("order", "down", "code"),
    [
        (load(1), True, "platform_unavailable"),
        (load(7), False, "fenced"),
        (load(0), False, "fenced"),
        (load(1, "reboot"), False, "bad_request"),
    ],
)
def test_refusals(order, down, code):
    store, engine = FakeStore(), FakeEngine()
    acquire_lease(store, "a")
    store.down = down
    assert OrderGate(store, engine).execute(order).code == code
    assert engine.orders == []


def test_nobody_orders_without_a_lease():
    engine = FakeEngine()
    assert OrderGate(FakeStore(), engine).execute(load(0)).code == "fenced"


def test_unload_waits_for_running_requests():
    store, engine = FakeStore(), FakeEngine(running=1)
    fencing = acquire_lease(store, "a").fencing
    gate = OrderGate(store, engine)
    assert gate.execute(load(fencing, "unload")).state == "busy"
    assert (engine.orders, engine.serving) == ([], set())
    engine.running = 0
    assert gate.execute(load(fencing, "unload")).state == "done"


@given(
    st.lists(
        st.sampled_from(["take", "replace", "order", "old order", "outage"]),
        max_size=30,
    )
)
@settings(derandomize=True, deadline=None, max_examples=150)
def test_numbers_at_the_engine_never_fall(events):
    store, engine = FakeStore(), FakeEngine()
    gate, leases = OrderGate(store, engine), []
    for event in events:
        store.down = event == "outage"
        match event:
            case "take":
                leases.append(acquire_lease(store, f"e{len(leases)}"))
            case "replace":
                gate = OrderGate(store, engine)
            case "order" | "outage" if leases:
                gate.execute(load(leases[-1].fencing))
            case "old order" if leases:
                gate.execute(load(leases[0].fencing))
    numbers = [order.fencing for order in engine.orders]
    assert numbers == sorted(numbers)
