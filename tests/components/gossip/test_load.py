"""Tests of the load that all routers have at the instances."""

import random
from collections import Counter

import pytest

from lacewingdock.components.gossip import STALE_S, LoadRow, Message
from lacewingdock.components.gossip import load as module
from lacewingdock.components.gossip.load import (
    FleetLoad,
    Work,
    load_rows,
    record_contacts,
)
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.world.backend import UpstreamEntry


class Clock:
    """The steady clock, moved by the test."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(module.time, "monotonic", lambda: self.now)


@pytest.fixture
def clock(monkeypatch):
    return Clock(monkeypatch)


def directory(names="abcd"):
    found = Directory()
    for name in names:
        found.apply(UpstreamEntry(name, "svc", "h", 1, "d", "v1", 4))
    return found


def load_message(number, running, unread=0, start=1, router="r-1"):
    return Message(router, start, number, [LoadRow(7, running, unread)])


@pytest.mark.parametrize(
    ("messages", "work"),
    [
        ([], Work()),
        ([load_message(1, 2, 150)], Work(2, 1.5)),
        # Each message replaces the previous one of its router.
        ([load_message(1, 2, 150), load_message(2, 1, 50)], Work(1, 0.5)),
        ([load_message(1, 2), Message("r-1", 1, 2)], Work()),
        (
            [load_message(1, 2, 50), load_message(1, 3, 50, router="r-2")],
            Work(5, 1.0),
        ),
        # Datagrams arrive out of order, or twice.
        ([load_message(2, 1), load_message(1, 9)], Work(1)),
        ([load_message(1, 4), load_message(1, 4)], Work(4)),
        # The router restarted, and its numbers begin anew.
        ([load_message(90, 9), load_message(1, 1, start=2)], Work(1)),
        ([load_message(1, 1, start=2), load_message(91, 9)], Work(1)),
    ],
)
def test_loads_of_routers_are_summed(clock, messages, work):
    found = FleetLoad()
    for message in messages:
        found.update(message)
    assert found.at(7) == work


def test_load_that_is_not_repeated_expires(clock):
    """Guards against an instance that is avoided though it is idle.

    A router reports its load at the instance and is killed, and its last
    report was counted forever.
    """
    found = FleetLoad()
    found.update(load_message(1, 5))
    clock.now += STALE_S / 2
    found.update(load_message(1, 2, router="r-2"))
    clock.now += STALE_S / 2 + 0.01
    found.expire()
    assert found.at(7) == Work(2)
    # The clock that numbers the starts was set back: the new message counts
    # once the old one expired.
    found.update(load_message(1, 1, start=0))
    assert found.at(7) == Work(3)


def test_rows_hold_busy_instances_and_are_bounded():
    found = directory([f"i-{n}" for n in range(300)])
    for number, one in enumerate(found.instances.values()):
        one.running = 1 if number else 0
        one.unread = float(number)
    rows = load_rows(found)
    assert len(rows) == 96
    assert rows[0].unread == 29900
    assert all(row.running for row in rows)


class Fleet:
    """Routers that choose among the same instances."""

    def __init__(self, routers, instances, exchanges):
        self.exchanges = exchanges
        self.loads = [FleetLoad() for _ in range(routers)]
        self.directories = [
            directory([f"i-{n}" for n in range(instances)])
            for _ in range(routers)
        ]
        self.choosers = [
            Chooser(found, "d", random.Random(n))
            for n, found in enumerate(self.directories)
        ]
        for chooser, load in zip(self.choosers, self.loads, strict=True):
            chooser.others = load.at
        self.number = 0

    def exchange(self):
        """Send every router's loads to all others."""
        if not self.exchanges:
            return
        self.number += 1
        for sender, found in enumerate(self.directories):
            message = Message(f"r-{sender}", 1, self.number, load_rows(found))
            for other, load in enumerate(self.loads):
                if other != sender:
                    load.update(message)


@pytest.mark.parametrize(
    ("exchanges", "least", "most"), [(True, 3, 5), (False, 0, 9)]
)
def test_long_prompts_do_not_meet_at_one_instance(
    clock, exchanges, least, most
):
    """Guards against stalls at one instance while others are idle.

    26 routers before 24 instances place 96 long prompts at once, as in the
    larger deployment of the thesis repository. With two messages between each
    round of choices every instance gets its four prompts; without messages
    some get none and some twice as many.
    """
    fleet = Fleet(routers=26, instances=24, exchanges=exchanges)
    source = random.Random(5)
    met = Counter()
    for _ in range(96):
        chooser = source.choice(fleet.choosers)
        chosen = chooser.choose("svc", lambda _: True, 10.0)
        met[chosen.entry.id] += 1
        fleet.exchange()
    counts = [met[f"i-{n}"] for n in range(24)]
    assert least <= min(counts) <= max(counts) <= most
    if not exchanges:
        assert max(counts) - min(counts) > 3


@pytest.mark.parametrize("routers", [4, 68])
def test_sign_of_life_reaches_all_routers(clock, monkeypatch, routers):
    """Guards against routers giving up requests that only wait in a queue.

    An instance runs sixteen streams of as many routers, and has more requests
    in its queue. A router with only a queued request there receives nothing
    from the instance, gives the request up after its goal, and has its prompt
    read elsewhere, if it goes by the data that it received itself. It shows
    with 68 routers; with four each router has some of the streams.
    """
    draw = random.Random(1)
    fleet = [directory("a") for _ in range(routers)]
    for number in range(16):
        fleet[number % routers].instances["a"].running += 1
    silent_from = clock.now + 5.0
    for _ in range(60):
        clock.now += 0.5
        if clock.now < silent_from:
            for one in fleet:
                found = one.instances["a"]
                found.last_received_at = clock.now if found.running else 0.0
        for number, one in enumerate(fleet):
            message = Message(f"r-{number}", 1, 1, load_rows(one))
            for other in draw.sample(fleet, min(25, routers)):
                record_contacts(other, message)
        ages = [clock.now - one.instances["a"].alive_at for one in fleet]
        if clock.now < silent_from:
            assert max(ages) <= 0.5
        else:
            # No report makes a silent instance look alive.
            assert min(ages) >= clock.now - silent_from
