"""Tests that a fleet keeps to the rate bound of cold instances."""

import math
import random
import time
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.pacing import Pacer, ring
from lacewingdock.components.pacing.const import COLD_SPAN_S, NEWCOMER_FACTOR
from lacewingdock.components.pacing.ring import Ring
from lacewingdock.components.pacing.shares import Allowance, compute_shares
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
# Longest time in seconds from the choice of an instance to the arrival of the
# request: as long as opening a connection may take.
WAY_S = 0.4


def cold(name, since=0.0):
    """Return an instance that turned cold at a given time, for long."""
    found = UpstreamInstance(entry(name))
    found.cold_from = since
    found.cold_until = since + COLD.cold_start_s
    return found


def router(name, names, known=True, limits=COLD, started=-100.0):
    """Return the pacer of a router."""
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
    """Return arrival times if all routers send as soon as they may.

    Args:
        routers: Functions that return a pacer, given the router's start time.
        instance: Instance that receives the requests.
        seconds: Length of the simulated period.
        draw: Source of random draws.
        restarts: Times at which all routers restart.
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
            one.record_sent(instance, due)
            found.append(due + draw.uniform(0.0, WAY_S))
            at = due
    return sorted(found)


def most_in_a_second(times):
    """Return the largest number of arrivals in any second."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] < at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("count", [1, 4, 28, 80, 300, 1200])
@pytest.mark.parametrize("view", ["all", "part", "few"])
def test_fleet_keeps_to_the_bound_of_a_cold_instance(count, view):
    """Guards against 33 requests in a second that crash a cold instance.

    A failure domain comes back, and every router chooses its idle instances.
    The bound holds for the fleet, and no router knows the others' choices.
    """
    draw, names = random.Random(count), names_of(count)
    if view == "all":
        known = {name: names for name in names}
    else:
        # Some routers do not list a third of the others yet, or still list
        # the one in ten that is gone.
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
        # Requests warm it up, so it must get at least half of its rate.
        assert len(times) >= 10.0 * PER_S / 2


@pytest.mark.parametrize("count", [4, 28, 80, 300])
def test_bound_holds_when_all_routers_restart(count):
    """Guards against twice the bound in the first second after a power loss.

    A router that starts has no record of the requests it sent before.
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
    found = compute_shares(Allowance(per_s, most, COLD_SPAN_S), routers)
    assert 1 <= found.routers <= routers
    each = math.floor((1.0 + WAY_S) / found.gap_s) + 1
    # If the bound is below one request of each, a single router has a share.
    senders = min(found.routers * 1.5, routers * NEWCOMER_FACTOR)
    assert found.routers == 1 or senders * each <= most + 1e-6
    # The average rate stays within the instance's, whatever the window allows.
    assert found.routers / found.gap_s <= per_s


def test_router_without_a_list_of_others_has_no_share():
    """Guards against routers that each use the full rate after their start.

    Each lists only itself then, and would count as the only router.
    """
    lost = router("r-0", [], known=False)
    assert lost.due_at(cold("i"), 9.0) == math.inf
    assert router("r-0", []).due_at(cold("i"), 9.0) == 9.0


def test_first_requests_of_routers_are_staggered():
    """Guards against a request of each router at once to a cold instance."""
    names = names_of(28)
    due = sorted(
        router(name, names).due_at(cold("i", since=50.0), 50.0)
        for name in names
    )
    gap_s = compute_shares(ALLOWANCE, 28).gap_s
    assert 50.0 <= due[0] < due[-1] <= 50.0 + gap_s
    half = sum(at < 50.0 + gap_s / 2 for at in due)
    assert 9 <= half <= 19


@pytest.mark.parametrize(
    "limits", [None, ServiceLimits("svc"), replace(COLD, cold_per_s=0.0)]
)
def test_service_without_a_bound_is_not_held_back(limits):
    one = router("r-0", names_of(300), limits=limits)
    assert one.admits(cold("i"), 5.0)
    one.record_sent(cold("i"), 5.0)
    assert one.admits(cold("i"), 5.0)


def routers_with_a_share(names, mark):
    """Return the routers that have a share."""
    ring = Ring(names)
    return {name for name in names if ring.has_share(name, mark, 5)}


def test_few_shares_move_as_routers_come():
    draw = random.Random(1)
    marks = [draw.randrange(2**32) for _ in range(300)]
    moved = sum(
        len(
            routers_with_a_share(names_of(32), mark)
            - routers_with_a_share(names_of(28), mark)
        )
        for mark in marks
    )
    # Four of 32 routers get about an eighth, depending on their positions.
    assert moved <= len(marks) * 5 * 0.25


def test_shares_are_spread_over_all_routers():
    draw, names = random.Random(1), names_of(80)
    ring = Ring(names)
    counts = [
        sum(ring.has_share(name, mark, 21) for name in names)
        for mark in (draw.randrange(2**32) for _ in range(50))
    ]
    assert set(counts) == {21}


def test_routers_are_placed_once_for_all_cold_instances(monkeypatch):
    """Guards against a router that hangs for seconds after a power loss.

    It ranked 1,200 routers again for each of 3,000 cold instances.
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
    # 21 of 1,200 routers have a share of each instance.
    assert 20 <= sum(at < math.inf for at in found) <= 90


class Stage:
    """One router with warm and cold instances."""

    def __init__(self, *, warm=(), chilled=(), share=True, monkeypatch=None):
        self.directory = Directory()
        self.directory.cold_start_s = lambda _: 3.0
        for name in warm:
            self.directory.apply(entry(name))
        for name in chilled:
            self.directory.apply(entry(name, cold_left_s=3.0))
            # Cold for so long that this router may send its first request.
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


def test_cold_instances_get_only_scheduled_requests():
    stage = Stage(warm=["w"], chilled=["c"])
    stage.directory.instances["w"].running = 20
    chosen = [stage.choose() for _ in range(5)]
    assert chosen == ["c", "w", "w", "w", "w"]


def test_router_without_a_share_sends_nothing():
    stage = Stage(warm=["w"], chilled=["c"], share=False)
    stage.directory.instances["w"].running = 50
    assert {stage.choose() for _ in range(5)} == {"w"}


def test_service_that_is_all_cold_is_served_in_turns():
    """Guards against refusals of all requests, or crashes, after a power loss.

    A cold instance was used either like a warm one or not at all.
    """
    stage = Stage(chilled=["c-1", "c-2"])
    assert {stage.choose(), stage.choose()} == {"c-1", "c-2"}
    assert stage.choose() is None
    assert stage.reserve(0.001) is None
    gap_s = compute_shares(ALLOWANCE, 1).gap_s
    turns = [stage.reserve(1.0) for _ in range(4)]
    assert turns[0].instance is not turns[1].instance
    # Each reservation is for a single request.
    assert turns[2].at - turns[0].at == pytest.approx(gap_s, abs=0.01)
    assert sum(one.running for one in stage.directory.of_service("svc")) == 6
    after_s = stage.chooser.next_send_s("svc", lambda _: True)
    assert after_s == pytest.approx(3 * gap_s, abs=0.05)


def test_wait_without_a_share_lasts_until_the_instance_is_warm():
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
        # Its entry reports that it is cold again, or that it is warm.
        ([entry("i"), entry("i", cold_left_s=2.0)], True),
        ([entry("i", cold_left_s=2.0), entry("i")], False),
        # A new incarnation.
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
    """Guards against 33 requests in a second as a cordon is lifted.

    The instances turned cold just before, which their entries report only at
    the next renewal.
    """
    stage = Stage(warm=["w"])
    stage.directory.cordon(frozenset({"a"}))
    assert stage.choose() is None
    stage.directory.cordon(frozenset())
    now = stage.directory.instances["w"].cold_until - 2.9
    assert stage.directory.instances["w"].is_cold(now)
    stage.directory.instances["w"].cold_from -= 2.0
    assert [stage.choose(), stage.choose()] == ["w", None]
