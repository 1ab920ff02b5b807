"""Tests that a fleet sends no more to cold instances than they bear."""

import math
import random
import time
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.pacing import Pacer, ring
from lacewingdock.components.pacing.const import COLD_SPAN_S, NEWCOMERS
from lacewingdock.components.pacing.ring import Ring
from lacewingdock.components.pacing.shares import Allowance, shares
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.world.host import Bounds
from lacewingdock.world.route import ServiceLimits
from tests.components.upstreams.entries import entry

PER_S = 18.0
BOUNDS = Bounds(cold_overage=1.5, cold_extra=5.0)
MOST = PER_S * BOUNDS.cold_overage + BOUNDS.cold_extra
ALLOWANCE = Allowance(PER_S, MOST, COLD_SPAN_S)
COLD = ServiceLimits("svc", cold_start_s=100.0, cold_per_s=PER_S)
# From the choice of an instance to the request's arrival: at once, or as long
# as a connection may take.
WAY_S = 0.4


def cold(name, since=0.0):
    """Return an instance that became cold at a moment, for a long time."""
    found = UpstreamInstance(entry(name))
    found.cold_from = since
    found.cold_until = since + COLD.cold_start_s
    return found


def router(name, names, known=True, limits=COLD, started=-100.0):
    """Return what paces a router's requests."""
    return Pacer(
        name,
        lambda: [one for one in names if one != name],
        lambda: known,
        lambda _: limits,
        lambda: BOUNDS,
        started,
    )


def names_of(count):
    return [f"r-{number}" for number in range(count)]


def arrivals(routers, instance, seconds, draw, restarts=()):
    """Return when requests arrive that all routers send as soon as they may.

    Args:
        routers: Functions that return a router that starts at a moment.
        instance: Where they send.
        seconds: For how long.
        draw: Source of draws.
        restarts: Moments at which all routers start again.
    """
    found = []
    for build in routers:
        one, at, starts = build(-100.0), 0.0, sorted(restarts)
        while at < seconds:
            if starts and at >= starts[0]:
                one = build(starts.pop(0))
            due = one.due_at(instance, at)
            if starts and due > starts[0]:
                at = starts[0]
                continue
            if due == math.inf:
                break
            one.sends(instance, due)
            found.append(due + draw.uniform(0.0, WAY_S))
            at = due
    return sorted(found)


def most_in_a_second(times):
    """Return the most that arrive in any second."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] < at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("count", [1, 4, 28, 80, 300, 1200])
@pytest.mark.parametrize("view", ["all", "part", "few"])
def test_fleet_stays_below_what_a_cold_instance_bears(count, view):
    """Symptom: a cold instance gets 33 requests in a second and crashes.

    Sequence: a failure domain comes back; its instances are idle, and every
    router chooses them. Cause: the bound is the fleet's, and no router knew of
    the others' choices.
    """
    draw, names = random.Random(count), names_of(count)
    if view == "all":
        known = {name: names for name in names}
    else:
        # Some routers do not know a third of the others yet, or only a third
        # of the routers know that one in ten is gone.
        part = names[: max(2 * count // 3, 1)]
        few = names[: max(9 * count // 10, 1)]
        other = part if view == "part" else few
        known = {name: draw.choice([names, other]) for name in names}
    for number in range(5):
        instance = cold(f"i-{number}")
        builds = [
            lambda started, name=name: router(
                name, known[name], started=started
            )
            for name in names
        ]
        times = arrivals(builds, instance, 10.0, draw)
        assert most_in_a_second(times) <= MOST
        # It warms up by work: at half of what it bears at least.
        assert len(times) >= 10.0 * PER_S / 2


@pytest.mark.parametrize("count", [4, 28, 80, 300])
def test_bound_holds_where_all_routers_start_again(count):
    """Symptom: after a loss of power the first second brings twice the bound.

    Cause: a router that starts does not know what it sent before.
    """
    draw, names = random.Random(count), names_of(count)
    builds = [
        lambda started, name=name: router(name, names, started=started)
        for name in names
    ]
    times = arrivals(builds, cold("i"), 8.0, draw, restarts=[2.0, 2.6, 5.0])
    assert most_in_a_second(times) <= MOST


@given(
    per_s=st.floats(0.5, 500.0),
    overage=st.floats(1.0, 3.0),
    extra=st.floats(0.0, 50.0),
    routers=st.integers(1, 1200),
)
@settings(derandomize=True, deadline=None)
def test_shares_add_up_to_less_than_the_bound(per_s, overage, extra, routers):
    most = per_s * overage + extra
    found = shares(Allowance(per_s, most, COLD_SPAN_S), routers)
    assert 1 <= found.routers <= routers
    each = math.floor((1.0 + WAY_S) / found.gap_s) + 1
    # Where not even one request of each router may come, one router is left.
    senders = min(found.routers * 1.5, routers * NEWCOMERS)
    assert found.routers == 1 or senders * each <= most + 1e-6
    # Over many seconds it is what the instance bears, whatever is allowed.
    assert found.routers / found.gap_s <= per_s


def test_router_that_does_not_know_the_others_has_no_share():
    """Symptom: all routers that have just started take all there is.

    Cause: each knows only itself and counts as the one router there is.
    """
    lost = router("r-0", [], known=False)
    assert lost.due_at(cold("i"), 9.0) == math.inf
    assert router("r-0", []).due_at(cold("i"), 9.0) == 9.0


def test_routers_take_their_first_turns_one_after_the_other():
    """Symptom: an instance that turns cold gets a request of each at once."""
    names = names_of(28)
    due = sorted(
        router(name, names).due_at(cold("i", since=50.0), 50.0)
        for name in names
    )
    gap_s = shares(ALLOWANCE, 28).gap_s
    assert 50.0 <= due[0] < due[-1] <= 50.0 + gap_s
    half = sum(at < 50.0 + gap_s / 2 for at in due)
    assert 9 <= half <= 19


@pytest.mark.parametrize(
    "limits", [None, ServiceLimits("svc"), replace(COLD, cold_per_s=0.0)]
)
def test_service_without_a_bound_is_not_held_back(limits):
    one = router("r-0", names_of(300), limits=limits)
    assert one.admits(cold("i"), 5.0)
    one.sends(cold("i"), 5.0)
    assert one.admits(cold("i"), 5.0)


def near(names, mark):
    """Return the routers that have a share."""
    ring = Ring(names)
    return {name for name in names if ring.is_near(name, mark, 5)}


def test_few_shares_move_as_routers_come():
    draw = random.Random(1)
    marks = [draw.randrange(2**32) for _ in range(300)]
    moved = sum(
        len(near(names_of(32), mark) - near(names_of(28), mark))
        for mark in marks
    )
    # Four of 32 take an eighth, more or less by where they stand.
    assert moved <= len(marks) * 5 * 0.25


def test_shares_are_spread_over_all_routers():
    draw, names = random.Random(1), names_of(80)
    ring = Ring(names)
    counts = [
        sum(ring.is_near(name, mark, 21) for name in names)
        for mark in (draw.randrange(2**32) for _ in range(50))
    ]
    assert set(counts) == {21}


def test_routers_are_placed_once_for_all_cold_instances(monkeypatch):
    """Symptom: a router answers nobody for seconds after a loss of power.

    Cause: it ranked 1,200 routers anew for each of 3,000 cold instances.
    """
    placed = []
    digest = ring._digest
    monkeypatch.setattr(
        ring, "_digest", lambda name: placed.append(name) or digest(name)
    )
    one = router("r-7", names_of(1200))
    placed.clear()
    found = [one.due_at(cold(f"i-{number}"), 9.0) for number in range(3000)]
    assert len(placed) == 1200
    # Each instance has 21 sharers of 1,200.
    assert 20 <= sum(at < math.inf for at in found) <= 90


class Stage:
    """One router before warm and cold instances."""

    def __init__(self, *, warm=(), chilled=(), share=True, monkeypatch=None):
        self.directory = Directory()
        self.directory.cold_start_s = lambda _: 3.0
        for name in warm:
            self.directory.apply(entry(name))
        for name in chilled:
            self.directory.apply(entry(name, cold_left_s=3.0))
            # For long enough that this router's first turn has come.
            self.directory.instances[name].cold_from -= 2.0
        self.chooser = Chooser(self.directory, "a", random.Random(3))
        others = [] if share else names_of(3)
        self.chooser.pacer = router("me", others, known=share)

    def choose(self):
        found = self.chooser.choose("svc", lambda _: True, 1.0)
        return found.entry.id if found else None

    def reserve(self, within_s):
        by = time.monotonic() + within_s
        return self.chooser.reserve("svc", lambda _: True, 1.0, by)


def test_cold_instances_get_their_turns_and_no_more():
    stage = Stage(warm=["w"], chilled=["c"])
    stage.directory.instances["w"].running = 20
    chosen = [stage.choose() for _ in range(5)]
    assert chosen == ["c", "w", "w", "w", "w"]


def test_router_without_a_share_leaves_it_to_others():
    stage = Stage(warm=["w"], chilled=["c"], share=False)
    stage.directory.instances["w"].running = 50
    assert {stage.choose() for _ in range(5)} == {"w"}


def test_service_that_is_all_cold_is_served_in_turns():
    """Symptom: all is refused after a loss of power, or all instances crash.

    Cause: an instance was either used as it were warm, or not at all.
    """
    stage = Stage(chilled=["c-1", "c-2"])
    assert {stage.choose(), stage.choose()} == {"c-1", "c-2"}
    assert stage.choose() is None
    assert stage.reserve(0.001) is None
    gap_s = shares(ALLOWANCE, 1).gap_s
    turns = [stage.reserve(1.0) for _ in range(4)]
    assert turns[0].instance is not turns[1].instance
    # Each is booked for one request alone.
    assert turns[2].at - turns[0].at == pytest.approx(gap_s, abs=0.01)
    assert sum(one.running for one in stage.directory.of_service("svc")) == 6
    after_s = stage.chooser.next_send_s("svc", lambda _: True)
    assert after_s == pytest.approx(3 * gap_s, abs=0.05)


def test_who_has_no_share_is_told_when_it_is_warm():
    stage = Stage(chilled=["c"], share=False)
    assert stage.choose() is None
    assert stage.reserve(9.0) is None
    after_s = stage.chooser.next_send_s("svc", lambda _: True)
    assert after_s == pytest.approx(3.0, abs=0.1)


@pytest.mark.parametrize(
    ("entries", "is_cold"),
    [
        ([entry("i")], False),
        ([entry("i", cold_left_s=2.0)], True),
        # It became cold again, or says that it is warm.
        ([entry("i"), entry("i", cold_left_s=2.0)], True),
        ([entry("i", cold_left_s=2.0), entry("i")], False),
        # Another start of it.
        ([entry("i", born=1), entry("i", born=2, cold_left_s=2.0)], True),
    ],
)
def test_entry_says_whether_it_is_cold(entries, is_cold):
    found = Directory()
    for one in entries:
        found.apply(one)
    instance = found.instances["i"]
    now = instance.failed_at
    assert instance.is_cold(now + 0.01) is is_cold
    assert not instance.is_cold(now + 9.0)


def test_reopened_domain_counts_as_cold():
    """Symptom: instances get 33 requests in a second as a cordon is lifted.

    Cause: they turned cold a moment before, which their entries say only at
    their next renewal.
    """
    stage = Stage(warm=["w"])
    stage.directory.cordon(frozenset({"a"}))
    assert stage.choose() is None
    stage.directory.cordon(frozenset())
    now = stage.directory.instances["w"].cold_until - 2.9
    assert stage.directory.instances["w"].is_cold(now)
    stage.directory.instances["w"].cold_from -= 2.0
    assert [stage.choose(), stage.choose()] == ["w", None]
