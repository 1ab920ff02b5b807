"""Tests of roll-outs whose store is restored from an older copy."""

import pytest

from lacewingdock.components.traffic_shifting import (
    restored_orders as restored_orders_module,
)
from lacewingdock.components.traffic_shifting.report import Report, Stage
from lacewingdock.platform.history import format_revision, revision_of
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.backend import ShiftState
from tests.components.traffic_shifting.fakes import (
    DURATION_S,
    Store,
    router,
    sync,
)


class MonotonicClock:
    """Fake monotonic time, advanced by the test."""

    def __init__(self, monkeypatch):
        self.now = 50.0
        monkeypatch.setattr(
            restored_orders_module.time, "monotonic", lambda: self.now
        )


@pytest.fixture
def steady(monkeypatch):
    return MonotonicClock(monkeypatch)


def order(era, count, target="v2", state=None):
    """Return a stored order with a revision of an era."""
    spec = {"service": "svc", "target": target, "duration_s": DURATION_S}
    status = {"state": state, "target": target} if state else None
    return StoredObject("svc", revision_of(era, count), spec, status)


def restore(store, shown_order):
    """Restore the store to an order and its revision."""
    store.order, store.revision = shown_order, shown_order.revision


def router_after_end(store, state):
    """Return a router that has applied an order's end in the first era."""
    store.order = order(1, 30, state=state)
    found = router(store)
    found.settled["svc"] = "v1"
    found.store_doubtful = lambda: True
    return found


@pytest.mark.parametrize("state", [None, "running"])
@pytest.mark.parametrize("end", ["rolled_back", "completed"])
def test_end_that_the_store_lost_is_kept_and_written_again(
    clock, steady, state, end
):
    """Guards against requests to a version that was rolled back.

    A router writes an order's final status, and the store is restored from an
    earlier copy, in which the order seems to be under way.
    """
    store = Store()
    shifts = router_after_end(store, end)
    restore(store, order(2, 27, state=state))
    sync(shifts, store)
    assert not shifts.running
    steady.now += 30.0
    shifts.round()
    assert store.order.status == {"state": end, "target": "v2"}
    assert shifts.orders["svc"].state == ShiftState(end)
    assert shifts.orders["svc"].revision == store.order.revision
    before = store.revision
    steady.now += 30.0
    shifts.round()
    assert store.revision == before


def test_end_that_another_router_wrote_again_is_not_written_twice(
    clock, steady
):
    store = Store()
    shifts = router_after_end(store, "rolled_back")
    restore(store, order(2, 27))
    sync(shifts, store)
    restore(store, order(2, 28, state="rolled_back"))
    sync(shifts, store)
    steady.now += 30.0
    shifts.round()
    assert format_revision(store.order.revision) == "2.28"


def test_new_order_to_the_target_of_an_ended_one_is_begun(clock, steady):
    """Guards against a version that can never be rolled out again."""
    store = Store()
    shifts = router_after_end(store, "rolled_back")
    shifts.store_doubtful = lambda: False
    restore(store, order(2, 40))
    sync(shifts, store)
    assert shifts.running["svc"].order.target == "v2"


def test_order_before_the_last_one_waits_for_that_to_be_written_again(
    clock, steady
):
    """Guards against restarting a roll-out or resuming an older one.

    The store is restored from a copy with the order before the last one, which
    used to be applied before the operator wrote the last one again.
    """
    store = Store()
    shifts = router(store)
    restore(store, order(1, 30))
    sync(shifts, store)
    shift = shifts.running["svc"]
    shifts.store_doubtful = lambda: True
    restore(store, order(2, 21, "v1", "completed"))
    sync(shifts, store)
    assert shifts.running["svc"] is shift
    restore(store, order(2, 24))
    sync(shifts, store)
    shifts.store_doubtful = lambda: False
    shifts.round()
    assert shifts.running["svc"] is shift
    assert format_revision(shift.order.revision).startswith("2.")


def test_deferred_order_is_applied_after_the_restoration(clock, steady):
    """Guards against losing an order placed just after a restoration."""
    store = Store()
    shifts = router_after_end(store, "completed")
    restore(store, order(2, 27, "v1"))
    sync(shifts, store)
    assert not shifts.running
    steady.now += 2.0
    shifts.store_doubtful = lambda: False
    shifts.round()
    assert shifts.running["svc"].order.target == "v1"
    assert shifts.running["svc"].elapsed_s == pytest.approx(2.0)


@pytest.mark.parametrize(
    ("incarnation", "stage"), [("a", Stage.ALL), ("b", Stage.CANARY)]
)
def test_older_report_of_an_incarnation_is_ignored(clock, incarnation, stage):
    """Guards against a late completion after the store is restored.

    The store returns an older report, in which a router counts as behind. The
    report received last used to be treated as the newest.
    """
    store = Store()
    shifts = router(store)
    shift = shifts.running["svc"]
    shift.apply_report(Report("svc", "v2", "r-2", "a", 9.0, Stage.ALL))
    older = Report("svc", "v2", "r-2", incarnation, 4.0, Stage.CANARY)
    shift.apply_report(older)
    assert [one.stage for one in shift.live_reports(5.0)] == [stage]
