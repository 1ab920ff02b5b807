"""Tests of a roll-out's exposure, sessions, evaluation and end."""

import time

import pytest

from lacewingdock.components.traffic_shifting.const import FORCE_BEFORE_S
from lacewingdock.components.traffic_shifting.report import Report, Stage
from lacewingdock.components.traffic_shifting.shift import Shift
from lacewingdock.world.backend import ShiftState
from tests.components.traffic_shifting.fakes import (
    DURATION_S,
    Store,
    call,
    good_answers,
    router,
    sample,
    share_of_new,
    sync,
)


@pytest.mark.parametrize(
    ("part", "low", "high"),
    [(0.1, 0.01, 0.04), (0.85, 0.01, 0.04), (0.9, 0.4, 0.6), (0.95, 1, 1)],
)
def test_share_by_time(clock, part, low, high):
    store = Store()
    shifts = router(store)
    good_answers(shifts)
    for step in range(1, 101):
        clock.now = 1000 + DURATION_S * part * step / 100
        shifts.round()
    assert low <= share_of_new(shifts) <= high


def test_without_answers_the_stage_does_not_advance(clock):
    shifts = router(Store())
    clock.now += DURATION_S * 0.95
    shifts.round()
    assert shifts.running["svc"].stage is Stage.CANARY


@pytest.mark.parametrize("exposure", [0.05, 0.0975, 0.15, 0.5])
def test_total_exposure_is_bounded(clock, exposure):
    """Guards against exposing 47 instead of 15 in 100 requests.

    A version fails from 0.58 of the order's time on. All requests had moved by
    0.60 and the order was completed, since a version that had been good so far
    was considered good.
    """
    store = Store()
    shifts = router(store)
    shift = shifts.running["svc"] = Shift(shifts.orders["svc"], exposure)
    good_answers(shifts)
    steps = 200
    exposed = 0.0
    for step in range(steps):
        clock.now = 1000 + DURATION_S * step / steps
        shift.advance()
        exposed += shift.share / steps
    assert exposed <= exposure
    assert shift.stage is Stage.ALL


def test_without_an_order_a_new_version_gets_nothing():
    """Guards against traffic to a version before its order is read.

    Its instances are listed a moment before the order, and any listed version
    used to be allowed.
    """
    store = Store()
    shifts = router(store)
    shifts.running.clear()
    assert share_of_new(shifts) == 0.0


@pytest.mark.parametrize("stage", [Stage.CANARY, Stage.ALL])
def test_session_keeps_its_version_in_the_first_half(clock, stage):
    shifts = router(Store())
    for n in range(200):
        shifts.pins.pin("svc", f"s-{n}", "v1")
    shifts.running["svc"].stage = stage
    moved = sum(
        shifts.version("svc", call(n, f"s-{n}")).allows("v2")
        for n in range(200)
    )
    assert moved == (0 if stage is Stage.CANARY else 200)


def test_session_on_the_new_version_stays_there(clock):
    shifts = router(Store())
    shifts.pins.pin("svc", "s", "v2")
    rules = [shifts.version("svc", call(n, "s")) for n in range(50)]
    assert all(rule.allows("v2") and not rule.allows("v1") for rule in rules)


def test_routers_agree_on_a_session(clock):
    store = Store()
    first, second = router(store, "r-1"), router(store, "r-2")
    for n in range(300):
        session = f"s-{n}"
        assert first.version("svc", call(1, session)) == second.version(
            "svc", call(2, session)
        )


@pytest.mark.parametrize(
    "bad",
    [
        [sample("v2", f"i-{2 + n % 2}", bad=True) for n in range(6)],
        [sample("v2", f"i-{2 + n % 2}", seconds=0.9) for n in range(6)],
    ],
    ids=["errors", "slow"],
)
def test_bad_version_is_rolled_back(clock, bad, monkeypatch):
    """Six bad answers suffice; the rollback bound starts at the 50th."""
    store = Store()
    shifts = router(store)
    good_answers(shifts)
    evidence = shifts.running["svc"].evidence
    monkeypatch.setattr(evidence.__class__, "_is_new_cause", lambda *_: True)
    for one in bad:
        shifts.add(one, "")
    shifts.round()
    assert store.order.status == {"state": "rolled_back", "target": "v2"}
    assert share_of_new(shifts) == 0.0


def test_version_that_turns_bad_late_is_found(clock, monkeypatch):
    """Guards against completing a version that fails half of its requests.

    The version answers well for most of the order's time, while the old one
    loses instances, and then fails. The earlier good answers outweighed the bad
    ones, and twice the old version's share of failures was tolerated.
    """
    store = Store()
    shifts = router(store)
    evidence = shifts.running["svc"].evidence
    monkeypatch.setattr(evidence.__class__, "_is_new_cause", lambda *_: True)
    good_answers(shifts, 40)
    for n in range(10):
        shifts.add(sample("v1", f"i-{n % 2}", bad=n % 2 == 0), "")
    for _ in range(40):
        shifts.add(sample("v1", "i-0"), "")
    shifts.round()
    for n in range(16):
        shifts.add(sample("v2", f"i-{2 + n // 2 % 2}", bad=n % 2 == 0), "")
        shifts.round()
    assert store.order.status["state"] == "rolled_back"


def test_suspect_version_is_held_and_rolled_back_at_the_deadline(
    clock, monkeypatch
):
    store = Store()
    shifts = router(store)
    evidence = shifts.running["svc"].evidence
    monkeypatch.setattr(evidence.__class__, "_is_new_cause", lambda *_: True)
    good_answers(shifts, 12)
    shifts.round()
    for instance in ("i-2", "i-3"):
        shifts.add(sample("v2", instance, bad=True), "")
    for moment in (0.9, 0.93, 0.94):
        clock.now = 1000 + DURATION_S * moment
        shifts.round()
    assert shifts.running["svc"].stage is Stage.CANARY
    clock.now = 1000 + DURATION_S * 0.96
    shifts.round()
    assert store.order.status["state"] == "rolled_back"


def test_one_bad_instance_is_no_bad_version(clock, monkeypatch):
    store = Store()
    shifts = router(store)
    good_answers(shifts)
    evidence = shifts.running["svc"].evidence
    monkeypatch.setattr(evidence.__class__, "_is_new_cause", lambda *_: True)
    for _ in range(10):
        shifts.add(sample("v2", "i-2", bad=True), "")
    shifts.round()
    assert store.order.status["state"] == "running"


def test_crash_counts_once(clock):
    """Guards against rolling back a good version after one crash.

    All requests that run on the instance fail at once, and each used to count
    as a separate bad answer.
    """
    store = Store()
    shifts = router(store)
    good_answers(shifts)
    for _ in range(30):
        shifts.add(sample("v2", "i-2", bad=True), "")
        shifts.add(sample("v2", "i-3", bad=True), "")
    assert shifts.running["svc"].evidence.bad == 2


def test_evidence_of_all_routers_is_added_up(clock):
    store = Store()
    first, second = router(store, "r-1"), router(store, "r-2")
    for shifts, instance in ((first, "i-2"), (second, "i-3")):
        good_answers(shifts, 5)
        evidence = shifts.running["svc"].evidence
        evidence.bad = 2
        evidence.answers += 2
        evidence.bad_instances.add(instance)
    first.round()
    assert store.order.status["state"] == "running"
    sync(second, store)
    second.round()
    assert store.order.status["state"] == "rolled_back"


def test_evidence_of_a_router_that_the_store_turns_away(clock):
    """Guards against each router needing four bad answers of its own.

    The store rejects two of three routers, so their reports are not stored.
    """
    store = Store()
    cut, other = router(store, "r-1"), router(store, "r-2")
    good_answers(cut, 5)
    evidence = cut.running["svc"].evidence
    evidence.bad = 4
    evidence.answers += 4
    evidence.bad_instances |= {"i-2", "i-3"}
    other.receive(b"no reports")
    other.receive(cut.own_reports())
    other.round()
    assert store.order.status["state"] == "rolled_back"


def test_found_bad_in_an_outage_gets_nothing_before_it_is_written(clock):
    store = Store()
    shifts = router(store)
    good_answers(shifts)
    shifts.running["svc"].evidence.bad = 9
    shifts.running["svc"].evidence.bad_instances |= {"i-2", "i-3"}
    store.down = True
    shifts.round()
    assert share_of_new(shifts) == 0.0
    store.down = False
    shifts.round()
    assert store.order.status["state"] == "rolled_back"


@pytest.mark.parametrize(
    ("old_running", "part", "state"),
    [(0, 0.93, "completed"), (1, 0.93, "running"), (1, 0.96, "completed")],
)
def test_completed_once_nothing_runs_on_the_old_version(
    clock, old_running, part, state
):
    store = Store()
    shifts = router(store)
    good_answers(shifts)
    shifts.round()
    shifts.directory.instances["i-0"].running = old_running
    for moment in (0.9, 0.925, part):
        clock.now = 1000 + DURATION_S * moment
        shifts.round()
    assert store.order.status["state"] == state


def test_not_completed_while_another_router_is_behind(clock):
    store = Store()
    first, second = router(store, "r-1"), router(store, "r-2")
    good_answers(first)
    second.round()
    sync(first, store)
    for moment in (0.9, 0.925, 0.95):
        clock.now = 1000 + DURATION_S * moment
        first.round()
    assert store.order.status["state"] == "running"


def test_not_completed_while_reports_may_be_missing(clock, monkeypatch):
    """Guards against cutting requests on the old version after an outage.

    All requests have moved, and the store is unavailable for longer than a
    report counts as live. When it returns, a router without requests on the old
    version finds no live report and completes the roll-out, while another
    router still has a request there: routers that could not report counted as
    gone.
    """
    store = Store()
    first, second = router(store, "r-1"), router(store, "r-2")
    for one in (first, second):
        good_answers(one)
    second.directory.instances["i-0"].running = 1
    for moment in (0.9, 0.925, 0.93):
        clock.now = 1000 + DURATION_S * moment
        second.round()
        sync(first, store)
        first.round()
    assert first.running["svc"].stage is Stage.ALL
    since = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: since + 6.0)
    assert not first.live_reports(first.running["svc"])
    first.store_doubtful = lambda: True
    first.round()
    assert store.order.status["state"] == "running"
    # The next reports include the request on the old version.
    second.round()
    sync(first, store)
    first.store_doubtful = lambda: False
    first.round()
    assert store.order.status["state"] == "running"
    # The deadline holds even if the store was unavailable.
    first.store_doubtful = lambda: True
    clock.now = 1000 + DURATION_S * 0.96
    first.round()
    assert store.order.status["state"] == "completed"


@pytest.mark.parametrize(
    ("routers", "age_s", "lives"),
    [(2, 4.9, True), (2, 5.1, False), (1200, 30.0, True), (1200, 40.0, False)],
)
def test_reports_of_a_large_fleet_stay_live_longer(
    clock, monkeypatch, routers, age_s, lives
):
    """Guards against completing a roll-out too early in a large fleet.

    Each of 1,200 routers writes a report every 15 s, and routers whose report
    was older than 5 s counted as gone although they were still moving requests.
    """
    store = Store()
    shifts = router(store)
    shifts.reporter.pace_s = lambda: max(2.0, routers / 80)
    now = time.monotonic()
    report = Report("svc", "v2", "r-2", "r-2-inc", old_running=3)
    shifts.apply_report(report)
    monkeypatch.setattr(time, "monotonic", lambda: now + age_s)
    found = shifts.live_reports(shifts.running["svc"])
    assert bool(found) is lives


def test_restarted_router_takes_the_time_from_reports(clock):
    """Guards against a missed deadline because a restart resets the time."""
    store = Store()
    first = router(store, "r-1")
    clock.now += 12.0
    first.round()
    second = router(store, "r-2")
    assert second.running["svc"].elapsed_s == pytest.approx(12.0)


def test_late_write_does_not_change_the_end(clock):
    """A late write by a router that was paused does not change the end."""
    store = Store()
    first, second = router(store, "r-1"), router(store, "r-2")
    frozen = second.running["svc"].order
    first._end(first.running["svc"], ShiftState.ROLLED_BACK)
    assert second.running["svc"].order is frozen
    second._end(second.running["svc"], ShiftState.COMPLETED)
    assert store.order.status["state"] == "rolled_back"
    assert "svc" not in second.running
    assert share_of_new(second) == 0.0


def test_completed_version_is_the_settled_one(clock):
    store = Store()
    shifts = router(store)
    store.write_status("", "", {"state": "completed", "target": "v2"}, 1, "")
    shifts.take(store.order)
    assert share_of_new(shifts) == 1.0


@pytest.mark.parametrize(
    ("answers", "done"), [(3, False), (4, True), (9, True)]
)
def test_order_of_a_small_service_is_done_in_time(clock, answers, done):
    """Guards against completing a good version seconds late, or never.

    The service gets 20 requests a second, of which 2 in 100 go to the canary;
    the order takes 24 s, and sessions stay on their version. Eight answers were
    required before requests moved, about as many as the canary could get.
    """
    shifts = router(Store())
    for n in range(answers):
        shifts.add(sample("v2", f"i-{2 + n % 2}"), "")
    for step in range(1, 101):
        clock.now = 1000 + (DURATION_S - 0.9) * step / 100
        shifts.round()
    is_completed = shifts.orders["svc"].state is ShiftState.COMPLETED
    assert is_completed is done


def test_router_that_is_gone_does_not_hold_the_end_up(clock, monkeypatch):
    """Guards against completing a good version late.

    A router is cut off from the store before requests move, and its last report
    says that it has moved nothing. Reports are rare in a large fleet, so this
    one counted as live past the deadline, and the order waited for its router.
    """
    store = Store()
    first, cut = router(store, "r-1"), router(store, "r-2")
    first.reporter.quiet_pace_s = lambda: 6.0
    good_answers(first)
    cut.round()
    sync(first, store)
    store.reports.clear()
    since = time.monotonic()
    for moment in (0.9, 0.925, 0.94):
        clock.now = 1000 + DURATION_S * moment
        first.round()
    monkeypatch.setattr(time, "monotonic", lambda: since + 5.1)
    first.round()
    assert store.order.status["state"] == "running"
    clock.now = 1000 + DURATION_S * 0.95
    first.round()
    assert store.order.status["state"] == "completed"


@pytest.mark.parametrize(
    ("unseen_s", "age_s"),
    [(0.0, 0.0), (1.1, 1.1), (3.0, 3.0), (9.0, 0.0)],
)
def test_order_that_was_seen_late_is_done_in_time(clock, unseen_s, age_s):
    """Guards against completing a good version 0.1 s late.

    The order is placed while the store has dropped its history, and is read
    from a list 1.1 s later. Its time used to be counted from that moment.
    """
    store = Store()
    shifts = router(store)
    shifts.drop(store.order)
    shifts.unseen_s = lambda: unseen_s
    shifts.take(store.order)
    shift = shifts.running["svc"]
    assert shift.elapsed_s == pytest.approx(age_s)
    clock.now += DURATION_S - FORCE_BEFORE_S - age_s
    assert shift.deadline_reached
