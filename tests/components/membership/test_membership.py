"""Tests for which links an entry keeps."""

import threading

import pytest

from lacewingdock.components import membership
from lacewingdock.components.membership import LISTS_PER_S, Membership
from lacewingdock.world.objects import Instance
from tests.fakes import FakeClock, FakeLink, FakeNode, FakeStore


def sidecar(name, **fields):
    return Instance(
        name=name,
        role="sidecar",
        failure_domain=fields.pop("domain", "hall-a"),
        address=fields.pop("address", "127.0.0.1:1"),
        pool="engines",
        **fields,
    )


def entry(name, domain="hall-a"):
    return Instance(
        name=name, role="entry", failure_domain=domain, address="127.0.0.1:2"
    )


@pytest.fixture
def node():
    return FakeNode("entry-0", "entry", "hall-a", FakeStore())


def member_of(node, subset=24):
    return Membership(node.daemon, node.peers, node.config, subset)


def names(members):
    return sorted(members.upstreams)


def test_list_that_lost_its_entries_cuts_nothing_that_answers(node):
    """Symptom: all requests are refused though every upstream serves.

    The platform answers with a list from before its instances registered.
    Cause: what the list didn't show was forgotten, links and all.
    """
    members = member_of(node)
    members.take([sidecar("worker-0"), sidecar("worker-1")])
    linked = members.upstreams["worker-0"]
    linked.set_link(FakeLink(node.daemon.me))
    members.take([])
    assert names(members) == ["worker-0"]
    linked.link.closed = True
    members.take([entry("entry-0")])
    assert names(members) == []


def test_upstream_with_work_is_kept_until_it_has_none(node):
    members = member_of(node)
    members.take([sidecar("worker-0")])
    members.upstreams["worker-0"].in_flight.add(1)
    members.take([entry("entry-0")])
    assert names(members) == ["worker-0"]
    members.upstreams["worker-0"].in_flight.add(-1)
    members.take([entry("entry-0"), entry("entry-1")])
    assert names(members) == []


def test_instance_at_another_address_gets_a_new_link(node):
    members = member_of(node)
    members.take([sidecar("worker-0")])
    before = members.upstreams["worker-0"]
    members.take([sidecar("worker-0", address="127.0.0.1:9")])
    assert members.upstreams["worker-0"] is not before
    assert not before.keep_linked


def test_link_that_a_call_needs_is_dialed_at_once(node, monkeypatch):
    """Symptom: a ticket of a sidecar that is up again gets `not_home`.

    Events: a sidecar is down for a while, so that the pauses between dials
    have grown; it comes back; a call for a ticket of its comes before the
    next dial. Cause: the next dial may be later than a call waits.
    """
    monkeypatch.setattr(membership, "REDIAL_MIN_S", 1e4)
    monkeypatch.setattr(membership, "REDIAL_MAX_S", 1e4)
    dials = threading.Semaphore(0)

    def refuse(address):
        dials.release()
        raise ConnectionRefusedError(address)

    node.peers.dial_and_read = refuse
    members = member_of(node)
    members.take([sidecar("worker-0")])
    (function, args) = node.daemon.spawned[-1]
    dialing = threading.Thread(target=function, args=args)
    dialing.start()
    assert dials.acquire(timeout=10)
    try:
        members.hasten("worker-0")
        assert dials.acquire(timeout=10), "not dialed again"
    finally:
        members.unload()
        dialing.join(10)
    assert not dialing.is_alive()


def test_outage_keeps_the_upstreams_and_backs_off(node):
    members = member_of(node)
    members.take([sidecar("worker-0")])
    node.daemon.store.instances = lambda: node.daemon.store.get("x", "y")
    node.daemon.store.down = True
    pauses = [members.step() for _ in range(8)]
    assert names(members) == ["worker-0"]
    assert pauses[0] < pauses[-1] <= membership.LIST_MAX_S


@pytest.mark.parametrize(("count", "seconds"), [(4, 2.0), (1200, 24.0)])
def test_reads_of_the_list_do_not_grow_with_the_fleet(node, count, seconds):
    members = member_of(node)
    members.take([entry(f"entry-{i}") for i in range(count)])
    assert members.list_interval() == seconds
    assert count / members.list_interval() <= LISTS_PER_S


def test_choice_is_not_made_anew_for_every_change(node, monkeypatch):
    """Symptom: entries of a large fleet spend a core on choosing.

    Each restart of any instance changes the list. Losing many of the chosen
    at once, as with a failure domain, is acted on without delay.
    """
    clock = FakeClock()
    clock.thread_time = lambda: clock.now
    monkeypatch.setattr(membership, "time", clock)
    made = []

    def choose(me, entries, instances, size):
        made.append(len(instances))
        clock.now += 1.0
        return instances[:size]

    monkeypatch.setattr(membership, "choose_subset", choose)
    members = member_of(node, 10)
    fleet = [sidecar(f"worker-{i}") for i in range(20)]
    members.take(fleet)
    members.take(fleet[:19])
    assert made == [20]
    clock.now += 1.0 / membership.CHOOSE_SHARE
    members.take(fleet[:19])
    assert made == [20, 19]
    members.take(fleet[:5])
    assert made == [20, 19, 5]
