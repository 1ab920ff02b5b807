"""Tests of instances that ask for rest as they turn a request away."""

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
    Instance,
)

GOOD = ResponseHead(200, [], sealed=True)


class Clock:
    """A clock that is set."""

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
        # (seconds later, head): how much of a rest is left after them.
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
        # Another instance lives at the address.
        ([(0, busy(3.0, instance="b"))], 0.0),
        ([(0, busy(3.0, instance="a"))], 3.0),
        ([(0, busy(3.0, misdirected=True))], 0.0),
        # Nobody rests for ever.
        ([(0, busy(999_999.0))], MAX_REST_S),
    ],
)
def test_whose_word_counts(steps, left_s):
    clock = Clock()
    directory = Directory(clock)
    directory.take(entry("a"))
    one = directory.instances["a"]
    for later_s, head in steps:
        clock.time += later_s
        directory.signals.answered(one.entry, one.signals, head, 0.0)
    assert max(one.rest.until - clock.time, 0.0) == pytest.approx(left_s)
    resting = one.state(clock.time) is InstanceState.RESTING
    assert resting is (left_s > 0)
    assert one.takes_any(clock.time) is not resting
    assert one.open


def test_rest_belongs_to_a_start_and_outlives_its_entry():
    clock = Clock()
    directory = Directory(clock)
    directory.take(entry("a"))
    one = directory.instances["a"]
    directory.signals.answered(one.entry, one.signals, busy(5.0), 0.0)
    directory.remove("a", doubtful=False)
    directory.take(entry("a"))
    assert not directory.instances["a"].takes_any(clock.time)
    directory.take(entry("a", born=7))
    assert directory.instances["a"].takes_any(clock.time)


@given(
    st.lists(
        st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 1e6)),
        min_size=1,
        max_size=20,
    )
)
@settings(derandomize=True, deadline=None)
def test_rest_holds_for_each_word_and_no_longer_than_the_longest(words):
    rest, now, most = Rest(), 100.0, -math.inf
    for later_s, for_s in words:
        now += later_s
        most = max(most, now + min(for_s, MAX_REST_S))
        rest.asked(for_s, now)
        assert max(rest.until, now) == max(most, now)
        assert rest.until <= now + MAX_REST_S
        if rest.until > now:
            longest = rest.until + MAX_RETURN_S + CAREFUL_S
            assert rest.until < rest.careful_until <= longest


def test_rest_is_told_once_in_the_log_and_counted(monkeypatch):
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
    """Return an instance that rests at times, and one that serves."""
    return [Instance("a", "10.0.0.1", sheds=list(sheds)), Instance("b", "b")]


@pytest.mark.parametrize("count", [1, 4, 28, 300, 1200])
@pytest.mark.parametrize(
    "sheds",
    [
        [(2.0, 9.0, 3.0)],
        # Rests that overlap, and vary.
        [(2.0, 4.0, 3.0), (4.0, 6.0, 1.0), (6.0, 8.0, 0.6), (8.0, 9.0, 6.0)],
        [(2.0, 2.2, 5.0), (7.0, 7.2, 0.7), (8.0, 12.0, 1.1)],
    ],
)
def test_rest_is_kept_in_fleets_of_any_size(count, sheds):
    """Guards against: an instance that rests gets request after request.

    Sequence: all send all they may; answers overtake each other; connections
    take a while; routers start again and freeze.
    """
    every_s = max(0.05, count / 600)
    for seed in range(2 if count < 300 else 1):
        fleet = Fleet(count, shedding(*sheds), seed, every_s)
        names = fleet.draw.choices(list(fleet.routers), k=0 if seed else 8)
        for number, name in enumerate(names):
            call = (fleet.restart, fleet.freeze)[number % 2]
            args = (name, 1.5)[: 1 + number % 2]
            fleet.after(fleet.draw.uniform(1.0, 12.0), call, *args)
        fleet.run(16.0)
        assert fleet.worst_rest() <= ALLOWED
        assert fleet.came("b", 3.0, 8.0) > 0


@pytest.mark.parametrize("seed", range(12))
def test_rest_is_kept_whatever_the_plan(seed):
    fleet = Fleet(4, shedding(), seed)
    at, sheds = 1.0, fleet.instances["a"].sheds
    while at < 25.0:
        until = at + fleet.draw.choice([0.05, 0.5, 3.0])
        sheds.append((at, until, fleet.draw.choice([0.55, 0.8, 1.5, 4.0])))
        at = until + fleet.draw.choice([0.0, 0.3, 2.0])
    fleet.run(30.0)
    assert fleet.worst_rest() <= ALLOWED


@pytest.mark.parametrize("count", [1, 4, 28])
def test_instance_gets_its_full_load_again(count):
    """Guards against: an instance that is shunned after its rest."""
    fleet = Fleet(count, shedding((2.0, 4.0, 3.0)), every_s=0.1)
    fleet.run(25.0)
    before, after = fleet.came("a", 0.0, 2.0), fleet.came("a", 15.0, 25.0)
    assert after / 10.0 >= 0.9 * before / 2.0


@pytest.mark.parametrize("count", [4, 28, 300])
def test_routers_come_back_one_after_the_other(count):
    """Guards against: all routers at once, at an instance that was in need.

    Sequence: an instance turns all routers away in the same moment.
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


def test_where_all_rest_requests_wait_or_are_told_when_to_come_back():
    """Guards against: callers sent back, or waiting, into the rest of all.

    Sequence: the only instances ask for rests of 3 s and of 8 s.
    """
    instances = [
        Instance("a", "10.0.0.1", sheds=[(2.0, 2.3, 3.0)]),
        Instance("b", "10.0.0.2", sheds=[(2.0, 2.3, 8.0)]),
    ]
    fleet = Fleet(1, instances, every_s=0.05, patience_s=0.5)
    fleet.run(20.0)
    assert fleet.worst_rest() == 0
    told = [(at, after_s) for at, after_s in fleet.refused if at < 4.0]
    assert told
    for at, after_s in told:
        assert 4.0 <= at + after_s <= 2.3 + 3.0 + 1.0
    # Those that came shortly before it waited.
    assert fleet.came("a", 5.0, 6.5) >= 3


@pytest.mark.parametrize("seed", range(4))
def test_rest_is_kept_in_a_crowd(seed):
    """Guards against: requests chosen before the word that are sent after it.

    Sequence: many requests are placed in the moment in which an instance turns
    the first away; to some of them a connection is still being opened.
    """
    fleet = Fleet(1, shedding((1.0, 2.0, 3.0)), seed, every_s=0.0005)
    fleet.run(4.0)
    assert fleet.worst_rest() <= ALLOWED
