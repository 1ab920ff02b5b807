"""Tests of instances that say in their answers that they leave."""

import pytest

from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import InstanceState
from lacewingdock.world.call import ResponseHead
from tests.components.upstreams.entries import entry
from tests.components.upstreams.signalling_fleet import Fleet, Instance

LEAVES = ResponseHead(200, [], sealed=True, leaving=True)
GOOD = ResponseHead(200, [], sealed=True)
OTHERS = ResponseHead(503, [], instance="b", not_run=True, leaving=True)
MISDIRECTED = ResponseHead(
    421, [], not_run=True, misdirected=True, leaving=True
)


def directory(*entries):
    """Return a directory that knows some instances."""
    found = Directory()
    for one in entries or (entry("a"), entry("b", host="10.0.0.2")):
        found.take(one)
    return found


def answered(found, head, name="a", sent_at=0.0):
    """Take an answer of an instance."""
    one = found.instances[name]
    found.signals.answered(one.entry, one.signals, head, sent_at)


@pytest.mark.parametrize(
    ("heads", "leaving"),
    [
        ([GOOD], False),
        ([LEAVES], True),
        # It is final, whatever comes after it, or was overtaken.
        ([LEAVES, GOOD], True),
        ([GOOD, LEAVES, GOOD, LEAVES], True),
        # It need not have run the request, nor have signed its answer.
        ([ResponseHead(503, [], not_run=True, leaving=True)], True),
        ([ResponseHead(500, [], leaving=True)], True),
        # Another instance lives at its address, and speaks for itself.
        ([OTHERS], False),
        ([MISDIRECTED], False),
        ([ResponseHead(200, [], sealed=True, odd=("server-leaving",))], False),
    ],
)
def test_whose_word_counts(heads, leaving):
    found = directory()
    for head in heads:
        answered(found, head)
    one = found.instances["a"]
    assert one.leaving is leaving
    assert one.open is not leaving
    expected = InstanceState.LEAVING if leaving else InstanceState.SOUND
    assert one.state(0.0) is expected
    assert found.instances["b"].open
    assert found.signals.leavings_said == leaving


@pytest.mark.parametrize(
    ("then", "leaving"),
    [
        # Its entry says that it is ready, for want of the store.
        (lambda one: one.take(entry("a", cold_left_s=1.0)), True),
        # It ran out, and came back.
        (
            lambda one: (
                one.remove("a", doubtful=False),
                one.take(entry("a")),
            ),
            True,
        ),
        # Another start of it, and another instance at its address, are others.
        (lambda one: one.take(entry("a", born=5)), False),
        (
            lambda one: (
                one.remove("a", doubtful=False),
                one.take(entry("c")),
                one.take(entry("a", host="10.0.0.9", born=7)),
            ),
            False,
        ),
    ],
)
def test_word_belongs_to_a_start_and_outlives_its_entry(then, leaving):
    found = directory()
    answered(found, LEAVES)
    then(found)
    assert found.instances["a"].leaving is leaving
    assert all(one.open for name, one in found.instances.items() if name != "a")


def test_start_that_left_by_its_word_is_not_kept_in_an_outage():
    """Guards against: work for an instance whose entry has run out for good.

    Sequence: the store is away, so an entry that is missing says nothing; the
    instance said itself that it leaves.
    """
    found = directory()
    answered(found, LEAVES)
    found.remove("a", doubtful=True)
    found.remove("b", doubtful=True)
    assert list(found.instances) == ["b"]
    assert found.instances["b"].lapsed


def test_what_counts_instances_counts_it_as_leaving():
    """Guards against: a roll-out, or a wait, that reckons with it."""
    found = directory(
        entry("a", version="v2"), entry("b", host="10.0.0.2", version="v1")
    )
    assert found.versions("svc") == {"v1", "v2"}
    answered(found, LEAVES)
    assert found.versions("svc") == {"v1"}
    assert found.warm("svc", "v2") == set()


@pytest.mark.parametrize("count", [1, 4, 28, 300, 1200])
def test_no_request_goes_where_a_router_was_told_of_leaving(count):
    """Guards against: a router that goes on for as long as the store is away.

    Sequence: answers overtake each other; routers start again and freeze;
    another instance starts at the address. A request that was placed before
    the word came may still arrive.
    """
    every_s = max(0.05, count / 600)
    for seed in range(3 if count < 300 else 2):
        instances = [
            Instance("a", "10.0.0.1", leaves_at=3.0),
            Instance("b", "10.0.0.2"),
            Instance("c", "10.0.0.3", leaves_at=6.0),
        ]
        fleet = Fleet(count, instances, seed, every_s)
        # A router that starts again has to be told anew.
        names = fleet.draw.choices(list(fleet.routers), k=6 if seed else 0)
        for number, name in enumerate(names):
            call = (fleet.restart, fleet.freeze)[number % 2]
            args = (name, 1.5)[: 1 + number % 2]
            fleet.after(fleet.draw.uniform(1.0, 12.0), call, *args)
        fleet.run(14.0)
        assert fleet.latest_after_leaving() <= 0.0
        assert fleet.came("a", 0.0, 3.0) > 0
        assert fleet.came("b", 10.0, 14.0) > 0
        if every_s == 0.05 and not names:
            assert fleet.came("a", 9.0, 14.0) == 0


def test_where_all_leave_requests_are_refused_at_once():
    instances = [Instance("a", "10.0.0.1", leaves_at=2.0)]
    fleet = Fleet(1, instances)
    fleet.run(8.0)
    assert fleet.came("a", 4.0, 8.0) == 0
    assert len([at for at, _ in fleet.refused if at > 4.0]) >= 0.9 * 4.0 / 0.05
