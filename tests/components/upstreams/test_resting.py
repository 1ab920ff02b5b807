"""Tests of instances that ask for a rest when they turn a request away."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import InstanceState
from lacewingdock.components.upstreams.rest import (
    CAREFUL_S,
    MAX_REST_S,
    MAX_RETURN_S,
    RETURN_PART,
    Rest,
)
from lacewingdock.components.upstreams.signals import SignalMemory
from lacewingdock.world.call import ResponseHead
from tests.components.upstreams.entries import entry
from tests.components.upstreams.signalling_fleet import (
    ALLOWED,
    Fleet,
    SimulatedInstance,
)

GOOD = ResponseHead(200, [], sealed=True)


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time


def busy(rest_s, **changes):
    """Return the head of an answer that turns a request away."""
    return ResponseHead(503, [], not_run=True, rest_s=rest_s, **changes)


@pytest.mark.parametrize(
    ("steps", "left_s"),
    [
        # (seconds later, head) of each answer; seconds of rest left after the
        # last.
        ([(0, busy(3.0))], 3.0),
        ([(0, busy(3.0)), (1, busy(1.0))], 2.0),
        ([(0, busy(3.0)), (1, busy(3.0))], 3.0),
        ([(0, busy(1.0)), (0, busy(9.0))], 9.0),
        # No other answer shortens it.
        ([(0, busy(3.0)), (1, GOOD)], 2.0),
        ([(0, busy(3.0)), (1, busy(None))], 2.0),
        ([(0, busy(3.0)), (3, GOOD)], 0.0),
        ([(0, busy(0.0))], 0.0),
        # Signed or not, run or not.
        ([(0, ResponseHead(503, [], sealed=True, rest_s=2.0))], 2.0),
        ([(0, ResponseHead(503, [], rest_s=2.0))], 2.0),
        # Another instance runs at the address.
        ([(0, busy(3.0, instance="b"))], 0.0),
        ([(0, busy(3.0, instance="a"))], 3.0),
        ([(0, busy(3.0, misdirected=True))], 0.0),
        # The length of a rest is bounded.
        ([(0, busy(999_999.0))], MAX_REST_S),
    ],
)
def test_whose_word_counts(steps, left_s):
    clock = Clock()
    directory = Directory(clock)
    directory.apply(entry("a"))
    one = directory.instances["a"]
    for later_s, head in steps:
        clock.time += later_s
        directory.signals.answered(one.entry, one.signals, head, 0.0)
    assert max(one.rest.until - clock.time, 0.0) == pytest.approx(left_s)
    resting = one.state(clock.time) is InstanceState.RESTING
    assert resting is (left_s > 0)
    assert one.accepts_requests(clock.time) is not resting
    assert one.open


def test_rest_belongs_to_a_start_and_outlives_its_entry():
    clock = Clock()
    directory = Directory(clock)
    directory.apply(entry("a"))
    one = directory.instances["a"]
    directory.signals.answered(one.entry, one.signals, busy(5.0), 0.0)
    directory.remove("a", doubtful=False)
    directory.apply(entry("a"))
    directory.confirm("a")
    assert not directory.instances["a"].accepts_requests(clock.time)
    directory.apply(entry("a", born=7))
    assert directory.instances["a"].accepts_requests(clock.time)


@given(
    st.lists(
        st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 1e6)),
        min_size=1,
        max_size=20,
    )
)
@settings(derandomize=True, deadline=None)
def test_rest_lasts_as_long_as_the_longest_one_asked_for(asked):
    rest, now, most = Rest(), 100.0, -math.inf
    for later_s, for_s in asked:
        now += later_s
        most = max(most, now + min(for_s, MAX_REST_S))
        rest.extend(for_s, now)
        assert max(rest.until, now) == max(most, now)
        assert rest.until <= now + MAX_REST_S
        if rest.until > now:
            longest = rest.until + MAX_RETURN_S + CAREFUL_S
            assert rest.until < rest.careful_until <= longest


def test_rest_is_logged_and_counted_once(monkeypatch):
    lines = []
    monkeypatch.setattr(
        "lacewingdock.components.upstreams.signals.log.info",
        lambda message, **fields: lines.append((message, fields)),
    )
    memory = SignalMemory(Clock())
    signals = memory.of("a")
    for rest_s in (3.0, 2.0, 4.0):
        memory.answered(entry("a"), signals, busy(rest_s), 0.0)
    assert lines == [
        ("rest", {"upstream": "a", "service": "svc", "for_s": 3.0})
    ]
    assert memory.rests_asked == 1


def shedding(*sheds):
    """Return an instance that sheds load at times, and one that serves."""
    return [
        SimulatedInstance("a", "10.0.0.1", sheds=list(sheds)),
        SimulatedInstance("b", "b"),
    ]


@pytest.mark.parametrize("count", [1, 4, 28, 300, 1200])
@pytest.mark.parametrize(
    "sheds",
    [
        [(2.0, 9.0, 3.0)],
        # Overlapping rests of different lengths.
        [(2.0, 4.0, 3.0), (4.0, 6.0, 1.0), (6.0, 8.0, 0.6), (8.0, 9.0, 6.0)],
        [(2.0, 2.2, 5.0), (7.0, 7.2, 0.7), (8.0, 12.0, 1.1)],
    ],
)
def test_rest_is_kept_in_fleets_of_any_size(count, sheds):
    """Guards against: a resting instance gets request after request.

    All routers send as much as they may; answers overtake each other, opening
    connections takes time, and routers restart and freeze.
    """
    every_s = max(0.05, count / 600)
    for seed in range(2 if count < 300 else 1):
        fleet = Fleet(count, shedding(*sheds), seed, every_s)
        names = fleet.rng.choices(list(fleet.routers), k=0 if seed else 8)
        for number, name in enumerate(names):
            call = (fleet.restart, fleet.freeze)[number % 2]
            args = (name, 1.5)[: 1 + number % 2]
            fleet.after(fleet.rng.uniform(1.0, 12.0), call, *args)
        fleet.run(16.0)
        assert fleet.max_requests_in_rest() <= ALLOWED
        assert fleet.count_arrivals("b", 3.0, 8.0) > 0


@pytest.mark.parametrize("seed", range(12))
def test_rest_is_obeyed_for_random_schedules(seed):
    fleet = Fleet(4, shedding(), seed)
    at, sheds = 1.0, fleet.instances["a"].sheds
    while at < 25.0:
        until = at + fleet.rng.choice([0.05, 0.5, 3.0])
        sheds.append((at, until, fleet.rng.choice([0.55, 0.8, 1.5, 4.0])))
        at = until + fleet.rng.choice([0.0, 0.3, 2.0])
    fleet.run(30.0)
    assert fleet.max_requests_in_rest() <= ALLOWED


@pytest.mark.parametrize("count", [1, 4, 28])
def test_instance_gets_its_full_load_again(count):
    """Guards against: an instance that gets too little after its rest."""
    fleet = Fleet(count, shedding((2.0, 4.0, 3.0)), every_s=0.1)
    fleet.run(25.0)
    before, after = (
        fleet.count_arrivals("a", 0.0, 2.0),
        fleet.count_arrivals("a", 15.0, 25.0),
    )
    assert after / 10.0 >= 0.9 * before / 2.0


@pytest.mark.parametrize("count", [4, 28, 300])
def test_routers_come_back_one_after_the_other(count):
    """Guards against: a thundering herd at an instance after its rest.

    The instance turned all routers away at the same moment.
    """
    every_s = max(0.05, count / 1200)
    fleet = Fleet(count, shedding((2.0, 2.5, 3.0)), every_s=every_s)
    fleet.run(8.0)
    returns = sorted(
        one.at for one in fleet.arrivals if one.instance == "a" and one.at > 4.9
    )
    first_s = returns[0]
    in_100_ms = sum(at <= first_s + 0.1 for at in returns)
    assert in_100_ms <= max(0.5 * count, 3)
    assert first_s <= 2.5 + 3.0 + RETURN_PART * 3.0


def test_where_all_rest_requests_wait_or_get_a_retry_after():
    """Guards against: a retry or a wait that ends while all instances rest.

    The only instances ask for rests of 3 s and of 8 s.
    """
    instances = [
        SimulatedInstance("a", "10.0.0.1", sheds=[(2.0, 2.3, 3.0)]),
        SimulatedInstance("b", "10.0.0.2", sheds=[(2.0, 2.3, 8.0)]),
    ]
    fleet = Fleet(1, instances, every_s=0.05, patience_s=0.5)
    fleet.run(20.0)
    assert fleet.max_requests_in_rest() == 0
    refused = [(at, after_s) for at, after_s in fleet.refused if at < 4.0]
    assert refused
    for at, after_s in refused:
        assert 4.0 <= at + after_s <= 2.3 + 3.0 + 1.0
    # Requests that came shortly before the end of the first rest waited.
    assert fleet.count_arrivals("a", 5.0, 6.5) >= 3


@pytest.mark.parametrize("seed", range(4))
def test_rest_is_kept_in_a_crowd(seed):
    """Guards against: requests placed before a rest begins and sent after.

    Many requests are placed at the moment at which the instance turns the first
    away; for some of them a connection is still being opened.
    """
    fleet = Fleet(1, shedding((1.0, 2.0, 3.0)), seed, every_s=0.0005)
    fleet.run(4.0)
    assert fleet.max_requests_in_rest() <= ALLOWED
