"""Tests of roll-outs whose store comes back from an older copy."""

import pytest

from lacewingdock.components.shifts import (
    restored_orders as restored_orders_module,
)
from lacewingdock.components.shifts.report import Report, Stage
from lacewingdock.platform.history import revision_of, shown
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.backend import ShiftState
from tests.components.shifts.fakes import (
    DURATION_S,
    Store,
    router,
    see,
)


class Steady:
    """Monotonic time that the test moves."""

    def __init__(self, monkeypatch):
        self.now = 50.0
        monkeypatch.setattr(
            restored_orders_module.time, "monotonic", lambda: self.now
        )


@pytest.fixture
def steady(monkeypatch):
    return Steady(monkeypatch)


def order(era, count, target="v2", state=None):
    """Return an order as the store shows it."""
    spec = {"service": "svc", "target": target, "duration_s": DURATION_S}
    status = {"state": state, "target": target} if state else None
    return StoredObject("svc", revision_of(era, count), spec, status)


def copy_of(store, shown_order):
    """Have the store show an order, and count on from it."""
    store.order, store.revision = shown_order, shown_order.revision


def ended(store, state):
    """Return a router that knows that an order ended, in an era."""
    store.order = order(1, 30, state=state)
    found = router(store)
    found.settled["svc"] = "v1"
    found.store_doubtful = lambda: True
    return found


@pytest.mark.parametrize("state", [None, "running"])
@pytest.mark.parametrize("end", ["rolled_back", "completed"])
def test_end_that_the_store_lost_stands_and_is_written_again(
    clock, steady, state, end
):
    """Symptom: a version that was rolled back gets requests again.

    Sequence: a router writes that an order ended; the store comes back from a
    copy of before. Cause: the order was taken for one under way.
    """
    store = Store()
    shifts = ended(store, end)
    copy_of(store, order(2, 27, state=state))
    see(shifts, store)
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
    shifts = ended(store, "rolled_back")
    copy_of(store, order(2, 27))
    see(shifts, store)
    copy_of(store, order(2, 28, state="rolled_back"))
    see(shifts, store)
    steady.now += 30.0
    shifts.round()
    assert shown(store.order.revision) == "2.28"


def test_new_order_to_the_target_of_an_ended_one_is_begun(clock, steady):
    """Symptom: a version is never rolled out a second time."""
    store = Store()
    shifts = ended(store, "rolled_back")
    shifts.store_doubtful = lambda: False
    copy_of(store, order(2, 40))
    see(shifts, store)
    assert shifts.running["svc"].order.target == "v2"


def test_order_before_the_last_one_waits_for_that_to_be_written_again(
    clock, steady
):
    """Symptom: a roll-out under way begins anew, or an older one goes on.

    Sequence: the store comes back from a copy that shows the order before the
    last one, which the operator writes again. Cause: the shown one was taken.
    """
    store = Store()
    shifts = router(store)
    copy_of(store, order(1, 30))
    see(shifts, store)
    shift = shifts.running["svc"]
    shifts.store_doubtful = lambda: True
    copy_of(store, order(2, 21, "v1", "completed"))
    see(shifts, store)
    assert shifts.running["svc"] is shift
    copy_of(store, order(2, 24))
    see(shifts, store)
    shifts.store_doubtful = lambda: False
    shifts.round()
    assert shifts.running["svc"] is shift
    assert shown(shift.order.revision).startswith("2.")


def test_order_that_stays_after_the_return_is_gone_by(clock, steady):
    """Symptom: an order that came right after the return is never seen."""
    store = Store()
    shifts = ended(store, "completed")
    copy_of(store, order(2, 27, "v1"))
    see(shifts, store)
    assert not shifts.running
    steady.now += 2.0
    shifts.store_doubtful = lambda: False
    shifts.round()
    assert shifts.running["svc"].order.target == "v1"
    assert shifts.running["svc"].elapsed_s == pytest.approx(2.0)


@pytest.mark.parametrize(
    ("incarnation", "stage"), [("a", Stage.ALL), ("b", Stage.CANARY)]
)
def test_older_report_of_a_start_is_left(clock, incarnation, stage):
    """Symptom: an order ends late, as a router counts as behind.

    Sequence: the store comes back with an older report of it. Cause: the
    report that came last was taken for the newest.
    """
    store = Store()
    shifts = router(store)
    shift = shifts.running["svc"]
    shift.apply_report(Report("svc", "v2", "r-2", "a", 9.0, Stage.ALL))
    older = Report("svc", "v2", "r-2", incarnation, 4.0, Stage.CANARY)
    shift.apply_report(older)
    assert [one.stage for one in shift.live_reports(5.0)] == [stage]
