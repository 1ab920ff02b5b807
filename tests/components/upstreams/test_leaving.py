"""Tests of instances that announce in their answers that they are leaving."""

import pytest

from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import InstanceState
from lacewingdock.world.call import ResponseHead
from tests.components.upstreams.entries import entry
from tests.components.upstreams.signalling_fleet import Fleet, SimulatedInstance

LEAVES = ResponseHead(200, [], sealed=True, leaving=True)
GOOD = ResponseHead(200, [], sealed=True)
OTHERS = ResponseHead(503, [], instance="b", not_run=True, leaving=True)
MISDIRECTED = ResponseHead(
    421, [], not_run=True, misdirected=True, leaving=True
)


def directory(*entries):
    """Return a directory of some instances."""
    found = Directory()
    for one in entries or (entry("a"), entry("b", host="10.0.0.2")):
        found.apply(one)
    return found


def answered(found, head, name="a", sent_at=0.0):
    """Apply an answer of an instance."""
    one = found.instances[name]
    found.signals.answered(one.entry, one.signals, head, sent_at)


@pytest.mark.parametrize(
    ("heads", "leaving"),
    [
        ([GOOD], False),
        ([LEAVES], True),
        # The signal is final, whatever answer arrives later.
        ([LEAVES, GOOD], True),
        ([GOOD, LEAVES, GOOD, LEAVES], True),
        # The request need not have run, nor the answer be signed.
        ([ResponseHead(503, [], not_run=True, leaving=True)], True),
        ([ResponseHead(500, [], leaving=True)], True),
        # Another instance at the address speaks only for itself.
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
        # The entry still says ready, as the store is away.
        (lambda one: one.apply(entry("a", cold_left_s=1.0)), True),
        # The entry expired and came back.
        (
            lambda one: (
                one.remove("a", doubtful=False),
                one.apply(entry("a")),
            ),
            True,
        ),
        # A later start, or another instance at the address, is not leaving.
        (lambda one: one.apply(entry("a", born=5)), False),
        (
            lambda one: (
                one.remove("a", doubtful=False),
                one.apply(entry("c")),
                one.apply(entry("a", host="10.0.0.9", born=7)),
            ),
            False,
        ),
    ],
)
def test_leaving_belongs_to_a_start_and_outlives_its_entry(then, leaving):
    found = directory()
    answered(found, LEAVES)
    then(found)
    assert found.instances["a"].leaving is leaving
    assert all(one.open for name, one in found.instances.items() if name != "a")


def test_start_that_announced_leaving_is_not_kept_in_an_outage():
    """Guards against: requests to an instance whose entry expired for good.

    While the store is away a missing entry alone proves nothing; here the
    instance announced itself that it is leaving.
    """
    found = directory()
    answered(found, LEAVES)
    found.remove("a", doubtful=True)
    found.remove("b", doubtful=True)
    assert list(found.instances) == ["b"]
    assert found.instances["b"].lapsed


def test_leaving_instance_is_not_counted_among_versions():
    """Guards against: a roll-out or a wait that counts a leaving instance."""
    found = directory(
        entry("a", version="v2"), entry("b", host="10.0.0.2", version="v1")
    )
    assert found.versions("svc") == {"v1", "v2"}
    answered(found, LEAVES)
    assert found.versions("svc") == {"v1"}
    assert found.warm("svc", "v2") == set()


@pytest.mark.parametrize("count", [1, 4, 28, 300, 1200])
def test_no_request_goes_to_an_instance_announced_as_leaving(count):
    """Guards against: requests to a leaving instance while the store is away.

    Answers overtake each other; routers restart and freeze. A request that was
    placed before the announcement arrived may still reach the instance.
    """
    every_s = max(0.05, count / 600)
    for seed in range(3 if count < 300 else 2):
        instances = [
            SimulatedInstance("a", "10.0.0.1", leaves_at=3.0),
            SimulatedInstance("b", "10.0.0.2"),
            SimulatedInstance("c", "10.0.0.3", leaves_at=6.0),
        ]
        fleet = Fleet(count, instances, seed, every_s)
        # A restarted router has to get the announcement again.
        names = fleet.rng.choices(list(fleet.routers), k=6 if seed else 0)
        for number, name in enumerate(names):
            call = (fleet.restart, fleet.freeze)[number % 2]
            args = (name, 1.5)[: 1 + number % 2]
            fleet.after(fleet.rng.uniform(1.0, 12.0), call, *args)
        fleet.run(14.0)
        assert fleet.latest_after_leaving() <= 0.0
        assert fleet.count_arrivals("a", 0.0, 3.0) > 0
        assert fleet.count_arrivals("b", 10.0, 14.0) > 0
        if every_s == 0.05 and not names:
            assert fleet.count_arrivals("a", 9.0, 14.0) == 0


def test_where_all_leave_requests_are_refused_at_once():
    instances = [SimulatedInstance("a", "10.0.0.1", leaves_at=2.0)]
    fleet = Fleet(1, instances)
    fleet.run(8.0)
    assert fleet.count_arrivals("a", 4.0, 8.0) == 0
    assert len([at for at, _ in fleet.refused if at > 4.0]) >= 0.9 * 4.0 / 0.05
