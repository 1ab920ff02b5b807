"""Tests of five daemons under any order of changes, cuts and restarts."""

import copy

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from lacewingdock.components import configuration
from lacewingdock.const import COLLECTION_CONFIG, ROLE_ENTRY, ROLE_SIDECAR
from tests.fakes import (
    FakeClock,
    FakeNode,
    FakeStore,
    connect,
    deliver_until_idle,
    disconnect,
    write,
)

OFFERED = {"model": "m", "state": "offered"}
WITHDRAWN = {"model": "m", "state": "withdrawn"}


class Fleet(RuleBasedStateMachine):
    """Two failure domains under any order of changes, cuts and restarts.

    Symptom that this looks for: a daemon puts an older state of an item in
    force than it had, or says that it is complete to a revision of which it
    misses a change.
    """

    KEYS = ("version/a", "version/b", "version/c")
    SIZE = 5

    def __init__(self):
        """Start the platform with one change and every daemon on it."""
        super().__init__()
        self.clock = FakeClock()
        self.module_time = configuration.time
        configuration.time = self.clock
        self.store = FakeStore()
        self.cut_off = set()
        self.nodes = []
        self.floor = {}
        self.before = self.store.current_listing(COLLECTION_CONFIG)

    @initialize()
    def start(self):
        """Start two entries, each linked to three sidecars."""
        write(self.store, "version/a", OFFERED)
        for index in range(self.SIZE):
            self.nodes.append(self.new(index))
        for entry in (0, 1):
            for sidecar in (2, 3, 4):
                connect(self.nodes[entry], self.nodes[sidecar])

    def new(self, index):
        """Start one daemon, or a new incarnation of it."""
        role = ROLE_ENTRY if index < 2 else ROLE_SIDECAR
        domain = f"hall-{index % 2}"
        node = FakeNode(f"node-{index}", role, domain, self.store)
        self.floor[index] = {}
        return node

    @rule(key=st.sampled_from(KEYS), value=st.sampled_from([0, 1, 2]))
    def change(self, key, value):
        """Let an operator offer, withdraw or delete a version."""
        down, self.store.down = self.store.down, False
        write(self.store, key, (None, OFFERED, WITHDRAWN)[value])
        self.store.down = down

    @rule(at=st.integers(0, 4))
    def step(self, at):
        """Let a daemon look at the platform, if it can."""
        down = self.store.down
        self.store.down = down or at in self.cut_off
        self.nodes[at].config.step()
        self.store.down = down
        self.clock.now += 0.3

    @rule(at=st.integers(0, 4), which=st.integers(0, 2))
    def deliver(self, at, which):
        """Deliver the oldest message of one link."""
        peers = self.nodes[at].peers
        links = sorted(peers.links, key=lambda link: link.peer.instance)
        if which < len(links):
            peers.deliver(links[which])

    @rule(at=st.integers(0, 4))
    def beat(self, at):
        """Let a daemon beat all its links."""
        self.nodes[at].beat()
        self.clock.now += 1

    @rule(entry=st.integers(0, 1), sidecar=st.integers(2, 4))
    def cut_or_join(self, entry, sidecar):
        """Close the link between two daemons, or open one."""
        one, two = self.nodes[entry], self.nodes[sidecar]
        if any(link.peer is two.daemon.me for link in one.peers.links):
            disconnect(one, two)
        else:
            connect(one, two)

    @rule(at=st.integers(0, 4))
    def restart(self, at):
        """Replace a daemon by one that knows nothing."""
        for other in self.nodes:
            disconnect(self.nodes[at], other)
        self.nodes[at] = self.new(at)
        for entry in (0, 1):
            for sidecar in (2, 3, 4):
                if at in (entry, sidecar):
                    connect(self.nodes[entry], self.nodes[sidecar])

    @rule()
    def outage_begins_or_ends(self):
        """Take the platform down or bring it back."""
        self.store.down = not self.store.down

    @rule(at=st.integers(0, 4))
    def cut_off_from_platform_or_back(self, at):
        """Cut one daemon off from the platform."""
        self.cut_off ^= {at}

    @rule()
    def remember_listing(self):
        """Keep a listing that will be old by and by."""
        self.before = copy.deepcopy(
            self.store.current_listing(COLLECTION_CONFIG)
        )

    @rule()
    def next_list_is_old(self):
        """Let the next list show that old listing."""
        self.store.old = copy.deepcopy(self.before)

    @invariant()
    def nothing_reverts(self):
        """Check that nothing went back."""
        for index, node in enumerate(self.nodes):
            table, floor = node.config.table, self.floor[index]
            assert table.upto >= floor.get("", 0)
            floor[""] = table.upto
            for key, item in table.items.items():
                assert item.revision >= floor.get(key, 0)
                floor[key] = item.revision

    @invariant()
    def what_is_claimed_is_there(self):
        """Check that a table misses nothing it claims."""
        for node in self.nodes:
            table = node.config.table
            latest = {}
            for at, (_, key, _) in enumerate(self.store.history, 1):
                if at <= table.upto:
                    latest[key] = at
            for key, revision in latest.items():
                assert table.items[key].revision >= revision

    def teardown(self):
        """End every failure: all have the same configuration soon."""
        try:
            self.heal()
        finally:
            configuration.time = self.module_time

    def heal(self):
        """Let everyone reach all and compare with the platform."""
        self.store.down, self.store.old = False, None
        self.cut_off.clear()
        for _ in range(4):
            self.clock.now += 10
            for node in self.nodes:
                node.config.step()
                node.beat()
            deliver_until_idle(self.nodes)
        linked = [n for n in self.nodes if n.peers.links or n is self.nodes[0]]
        want = self.store.current_listing(COLLECTION_CONFIG)
        states = {o.name: (o.value or {}).get("state") for o in want.objects}
        for node in linked:
            assert node.config.loaded.is_set()
            assert node.config.revision == want.revision
            world = node.config.world.versions
            assert {k: v.state for k, v in world.items()} == {
                name.partition("/")[2]: state
                for name, state in states.items()
                if state
            }


Fleet.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=80, stateful_step_count=50
)
TestFleet = Fleet.TestCase
