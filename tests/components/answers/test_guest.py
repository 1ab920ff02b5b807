"""Tests for fetching an answer from a sidecar outside the subset."""

import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from lacewingdock.components.membership import Membership
from lacewingdock.links.messages import Status
from lacewingdock.world.objects import Instance
from tests.memory_links import FakeDaemon, FakePeers, MemoryLink

NAMES = [f"worker-{number}" for number in range(6)]


@pytest.fixture
def membership():
    daemon = FakeDaemon("entry-0", "e")
    daemon.spawn = lambda *_: None
    daemon.random = random.Random(1)
    held = Membership(daemon, FakePeers(), SimpleNamespace(entries=[]), 2)
    held.instances = [
        Instance(
            name=name,
            role="sidecar",
            failure_domain="hall-a",
            address="127.0.0.1:1",
            pool="engines",
        )
        for name in NAMES
    ]
    return held


def test_guest_is_linked_used_for_its_answer_and_let_go(membership):
    """Symptom: a caller that comes back is told that its answer is gone.

    Sequence: its entry died; the next one keeps no link to the sidecar that
    has the answer. Cause: only sidecars of the subset were looked at.
    """
    guest = membership.reach(NAMES[0])
    assert guest.resume_only
    assert membership.reach(NAMES[0]) is guest
    link = MemoryLink(membership.daemon.me)
    guest.set_link(link)
    guest.update_load(Status(["drafter-1"], capacity=4))
    # New work keeps to the subset, which spreads it evenly.
    assert not guest.usable("drafter-1")
    link.close = lambda _reason: None
    for left in (1, 0):
        guest.in_flight.add(-1)
        membership.release(guest)
        assert (NAMES[0] in membership.upstreams) == bool(left)


def test_replaced_sidecar_finishes_what_it_has(membership):
    """Symptom: streams end with an error when an instance is replaced.

    Sequence: a sidecar is stopped as planned; its replacement of the same
    name is listed at another address while it still finishes. Cause: its link
    was closed for the new one's sake.
    """
    closed = []
    instance = membership.instances[0]
    membership.want(instance)
    old = membership.upstreams[instance.name]
    link = MemoryLink(membership.daemon.me)
    link.close = closed.append
    old.set_link(link)
    old.in_flight.add(1)
    membership.want(replace(instance, address="127.0.0.1:2"))
    assert membership.upstreams[instance.name] is not old
    assert not closed
    old.in_flight.add(-1)
    membership.release(old)
    assert closed


def test_unknown_sidecar_is_not_reached(membership):
    assert membership.reach("worker-9") is None
