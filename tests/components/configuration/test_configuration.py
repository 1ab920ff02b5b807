"""Tests for keeping the configuration up, on fakes of platform and links."""

import heapq
from collections import Counter

import pytest

from lacewingdock.components import configuration
from lacewingdock.components.configuration import CHECK_MIN_S, FANOUT
from lacewingdock.const import ROLE_ENTRY, ROLE_SIDECAR
from lacewingdock.links.messages import Beat, Delta, Pull
from tests.fakes import (
    FakeClock,
    FakeNode,
    FakeStore,
    connect,
    deliver_until_idle,
    write,
)

OFFERED = {"model": "m", "state": "offered"}
WITHDRAWN = {"model": "m", "state": "withdrawn"}


@pytest.fixture
def clock(monkeypatch):
    clock = FakeClock()
    monkeypatch.setattr(configuration, "time", clock)
    return clock


def started(store, count, role=ROLE_SIDECAR, domain="hall-a"):
    nodes = [FakeNode(f"{role}-{i}", role, domain, store) for i in range(count)]
    for node in nodes:
        node.config.step()
    return nodes


@pytest.mark.parametrize(
    ("shown", "loaded"),
    [
        ([], False),
        ([3], False),
        ([3, 0], False),
        ([2, 3], True),
        ([3, 3, 1], True),
    ],
)
def test_start_in_an_outage_takes_the_highest_of_enough_peers(
    clock, shown, loaded
):
    """Symptom: a restarted sidecar runs a version that was withdrawn.

    The platform is down; the sidecar starts and its first link is to an entry
    that was frozen while the version was withdrawn. Cause: it served by the
    first view it saw.
    """
    store = FakeStore()
    peers = []
    for count, value in enumerate([OFFERED, OFFERED, WITHDRAWN], 1):
        write(store, "version/a", value)
        peers += [
            (count, node)
            for node in started(store, shown.count(count), ROLE_ENTRY)
        ]
    peers += [
        (0, FakeNode("idle", ROLE_ENTRY, "hall-b", store))
        for _ in range(shown.count(0))
    ]
    store.down = True
    late = FakeNode("late", ROLE_SIDECAR, "hall-a", store)
    late.config.step()
    for _, peer in sorted(peers, key=lambda pair: pair[0]):
        connect(late, peer)
        deliver_until_idle([late, peer])
        clock.now += 1
    for _, peer in peers:
        peer.beat()
    deliver_until_idle([late, *(peer for _, peer in peers)])
    assert late.config.loaded.is_set() == loaded
    if loaded:
        assert late.config.revision == max(shown)
        assert not late.config.world.offered("a")


def test_all_restarted_in_an_outage_serve_nothing_until_it_ends(clock):
    """Symptom: after a power cut all serve with an empty configuration.

    Platform down, every daemon new. Cause: what starting daemons show each
    other, nothing, was taken as agreement.
    """
    store = FakeStore()
    write(store, "version/a", WITHDRAWN)
    store.down = True
    entries = started(store, 2, ROLE_ENTRY)
    sidecars = started(store, 3)
    for entry in entries:
        for sidecar in sidecars:
            connect(entry, sidecar)
    nodes = entries + sidecars
    deliver_until_idle(nodes)
    assert not any(node.config.loaded.is_set() for node in nodes)
    store.down = False
    for node in nodes:
        node.config.step()
    assert all(node.config.revision == 1 for node in nodes)


def test_one_stale_peer_is_not_two_witnesses(clock):
    """Symptom: as above, though two peers had to agree.

    Two starting entries and a starting sidecar; one stale sidecar tells both
    entries, and the entries tell the sidecar. Cause: hearsay was counted.
    """
    store = FakeStore()
    write(store, "version/a", OFFERED)
    (stale,) = started(store, 1)
    write(store, "version/a", WITHDRAWN)
    store.down = True
    one, two = started(store, 2, ROLE_ENTRY)
    late = FakeNode("late", ROLE_SIDECAR, "hall-a", store)
    late.config.step()
    for entry in (one, two):
        connect(entry, stale)
        connect(entry, late)
    for _ in range(3):
        deliver_until_idle([stale, one, two, late])
        clock.now += 1
        for node in (stale, one, two, late):
            node.beat()
    assert not late.config.loaded.is_set()


def test_news_spreads_though_every_watcher_is_cut_off(clock):
    """Symptom: a withdrawal takes minutes in one failure domain.

    Both watchers of the domain are frozen, or cut off from the platform, and
    their links to the rest stay open. Cause: the rest relied on them.
    """
    store = FakeStore()
    write(store, "version/a", OFFERED)
    entries = started(store, 4, ROLE_ENTRY)
    names = [node.daemon.me.instance for node in entries]
    for node in entries:
        node.config.entries = names
    watchers = [node for node in entries if node.config.is_watcher()]
    others = [node for node in entries if node not in watchers]
    assert (len(watchers), len(others)) == (2, 2)
    write(store, "version/a", WITHDRAWN)
    end = clock.now + 3 * CHECK_MIN_S
    while clock.now < end:
        for node in others:
            clock.now += node.config.step()
    assert not any(node.config.world.offered("a") for node in others)
    # What the net under the watchers costs does not grow with the domain.
    others[0].config.entries = [f"entry-{i}" for i in range(600)]
    assert others[0].config.check_interval() == 200.0


def test_a_sidecar_without_entries_looks_for_itself(clock):
    """Symptom: a withdrawn version gets work when a domain thaws.

    All entries that link to a sidecar are frozen together; a version is
    withdrawn; the entries thaw. Cause: neither they nor the sidecar, the
    second gate, had heard of it.
    """
    store = FakeStore()
    write(store, "version/a", OFFERED)
    (sidecar,) = started(store, 1)
    write(store, "version/a", WITHDRAWN)
    sidecar.config.step()
    assert not sidecar.config.world.offered("a")
    assert sidecar.config.check_interval() < 19 / 1.5


def test_a_daemon_that_slept_looks_at_once(clock):
    """Symptom: an entry thawed after an hour routes by its old view.

    Its next look is due in a minute. Cause: the pause was measured by the
    clock that ran on while the process did not.
    """
    store = FakeStore()
    write(store, "version/a", OFFERED)
    entries = started(store, 3, ROLE_ENTRY)
    names = [node.daemon.me.instance for node in entries]
    for node in entries:
        node.config.entries = names
    (node,) = [n for n in entries if not n.config.is_watcher()]
    node.config.step()
    write(store, "version/a", WITHDRAWN)

    def sleep_long(seconds):
        clock.now += 3600
        return False

    node.config.daemon.stopping.wait = sleep_long
    # The hour is over by the clock, so make the next look far away.
    node.config.check_at = clock.now + 7200
    node.config.pause_awake(1.0)
    node.config.step()
    assert not node.config.world.offered("a")


def test_news_goes_to_few_links_and_is_pulled_by_the_rest(clock):
    store = FakeStore()
    write(store, "version/a", OFFERED)
    (entry,) = started(store, 1, ROLE_ENTRY)
    sidecars = started(store, 12)
    for sidecar in sidecars:
        connect(entry, sidecar)
    nodes = [entry, *sidecars]
    deliver_until_idle(nodes)
    write(store, "version/a", WITHDRAWN)
    entry.config.step()
    sent = [m for s in sidecars for link in s.peers.links for m in link.inbox]
    assert [type(m) for m in sent] == [Delta] * FANOUT
    deliver_until_idle(nodes)
    entry.beat()
    deliver_until_idle(nodes)
    assert not any(node.config.world.offered("a") for node in nodes)


def test_news_behind_many_beats_is_pulled_once(clock):
    """Symptom: a large change fills every link of a daemon that missed it.

    All its peers beat, and it asks each of them for the same delta.
    """
    store = FakeStore()
    write(store, "version/a", OFFERED)
    (late,) = started(store, 1)
    write(store, "version/a", WITHDRAWN)
    entries = started(store, 6, ROLE_ENTRY)
    for entry in entries:
        connect(entry, late)
    late.deliver_all()
    pulls = [
        message
        for entry in entries
        for link in entry.peers.links
        for message in link.inbox
        if isinstance(message, Pull)
    ]
    assert len(pulls) == 1
    deliver_until_idle([late, *entries])
    assert late.config.revision == 2


def test_frozen_peer_that_was_asked_does_not_hold_news_back(clock):
    """Symptom: a daemon stays behind for as long as one peer is frozen.

    It asked the frozen one and waits for its answer.
    """
    store = FakeStore()
    write(store, "version/a", OFFERED)
    (late,) = started(store, 1)
    write(store, "version/a", WITHDRAWN)
    frozen, healthy = started(store, 2, ROLE_ENTRY)
    connect(frozen, late)
    late.deliver_all()
    connect(healthy, late)
    deliver_until_idle([late, healthy])
    clock.now += 1
    healthy.beat()
    deliver_until_idle([late, healthy])
    assert late.config.revision == 2


def test_an_empty_platform_is_not_asked_without_a_pause(clock):
    """Symptom: a new deployment's daemons use the whole platform up.

    There is no configuration yet. Cause: the next list followed at once.
    """
    (node,) = started(FakeStore(), 1)
    assert node.config.step() > 0.2


def test_pulls_of_much_are_answered_few_at_a_time(clock):
    """Symptom: a bulk change takes an entry with many links past its memory.

    300 items change at once; 168 peers pull them in the same moment, and the
    reading task of each link encodes the whole delta.
    """
    store = FakeStore()
    write(store, "version/a", OFFERED)
    late = started(store, 6)
    for index in range(configuration.SMALL_PULL + 1):
        write(store, f"version/b{index}", OFFERED)
    (entry,) = started(store, 1, ROLE_ENTRY)
    for node in late:
        connect(entry, node)
        deliver_until_idle([entry, node])
    answers = entry.daemon.spawned
    assert len(answers) == len(late)
    assert entry.config._answering._initial_value < len(late)
    for function, arguments in answers:
        function(*arguments)
    deliver_until_idle([entry, *late])
    assert {node.config.revision for node in late} == {store.revision}


class BusyStore(FakeStore):
    """A platform that refuses more than so many calls a second."""

    def __init__(self, clock, limit):
        """Take the clock and the limit."""
        super().__init__()
        self.clock = clock
        self.limit = limit
        self.by_second = Counter()

    def list_all(self, *arguments, **options):
        """List, unless this second is full."""
        second = int(self.clock.now)
        self.by_second[second] += 1
        self.down = self.by_second[second] > self.limit
        return super().list_all(*arguments, **options)


def test_mass_start_drains_through_a_platform_that_refuses(clock):
    """Symptom: after a power cut no daemon gets its configuration for minutes.

    All start in the same second, more than the platform answers, and try
    again in step. Cause: equal pauses; the refused calls fill each second.
    """
    store = BusyStore(clock, 60)
    write(store, "version/a", OFFERED)
    nodes = [
        FakeNode(f"sidecar-{i}", ROLE_SIDECAR, "hall-a", store)
        for i in range(600)
    ]
    due = [
        (clock.now + node.config.start_pause(), index)
        for index, node in enumerate(nodes)
    ]
    heapq.heapify(due)
    start = clock.now
    while due:
        at, index = heapq.heappop(due)
        clock.now = max(clock.now, at)
        config = nodes[index].config
        pause = config.step()
        if not config.loaded.is_set():
            heapq.heappush(due, (clock.now + pause, index))
    # Ten seconds at the platform's full rate; twice that with the refusals.
    assert clock.now - start < 20
    assert sum(store.by_second.values()) < 6 * len(nodes)


def test_beats_show_only_what_is_in_force():
    node = FakeNode("entry-0", ROLE_ENTRY, "hall-a", FakeStore())
    node.config.table.join(Delta(0, 3, []))
    assert node.peers.beat() == Beat(revision=0)
