"""A fleet of routers that relay changes of the store, in virtual time."""

import random
import threading
from dataclasses import dataclass, field

from lacewingdock.components.mirror.copies import Copy
from lacewingdock.components.relay import FreshnessQuery, decode, encode
from lacewingdock.components.relay.const import QUERY_INTERVAL_S
from lacewingdock.components.routers import (
    PULL_TIMEOUT_S,
    ROUTERS_PER_PULL,
    build_copy,
    merge_newest,
)
from lacewingdock.daemons.router_mirrors import (
    REPORTS_PAUSE_S,
    MirrorPacing,
    build_mirrors,
)
from lacewingdock.daemons.router_relay import build_relay
from tests.components.mirror.simulated_store import SimulatedStore, Troubles
from tests.daemons.observed_router import ObservedRouter
from tests.virtual_time import VirtualTime

# Seconds for a datagram's transit and the scheduling delay of a busy router.
DATAGRAM_DELAY_S = 0.01
# Seconds for a fetch between routers: connection, request and answer.
FETCH_DURATION_S = 0.03
SAMPLE_INTERVAL_S = 0.1


@dataclass
class NetTroubles:
    """Network faults between routers.

    Attributes:
        gone: Spans in which a router receives and sends nothing, by its name:
            it is frozen, dead or cut off from the others.
        parted: Pairs of routers that never reach each other.
        loss: Share of the datagrams that get lost, from 0 to 1.
    """

    gone: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    parted: set[frozenset[str]] = field(default_factory=set)
    loss: float = 0.0


class Fleet:
    """Routers that share one store.

    Attributes:
        time: The virtual time of all routers.
        routers: The routers by name.
        net: Network faults between routers.
        long_kinds: Kinds whose changes are too long to be relayed.
    """

    def __init__(self, count, written, troubles, bounds, own=None, net=None):
        """Build the routers, each with its own view of the store.

        Args:
            count: Number of routers.
            written: Objects written to the store.
            troubles: Faults of the store.
            bounds: Propagation bounds of the routers.
            own: Faults between single routers and the store, by name.
            net: Network faults between routers.
        """
        self.time = VirtualTime()
        self.net = net or NetTroubles()
        self.draw = random.Random(7)
        self.long_kinds = set()
        names = [f"r-{number}" for number in range(count)]
        self.routers = {}
        for name in names:
            mine = (own or {}).get(name)
            found = merge_troubles(troubles, mine) if mine else troubles
            self.routers[name] = FleetRouter(
                self, name, names, written, found, bounds
            )

    def run(self, until):
        """Run all routers until a moment of the virtual time."""
        for router in self.routers.values():
            router.start()
        self.time.run(until)

    def reaches(self, sender, receiver):
        """Return whether one router can reach another now."""
        now = self.time.now()
        if frozenset((sender, receiver)) in self.net.parted:
            return False
        return not any(
            start <= now < end
            for name in (sender, receiver)
            for start, end in self.net.gone.get(name, ())
        )

    def send(self, sender, receiver, data):
        """Deliver a datagram, unless it is lost."""
        if not self.reaches(sender, receiver):
            return
        if self.draw.random() >= self.net.loss:
            self.routers[receiver].receive(decode(data))

    def calls(self, since=0.0):
        """Return the purposes of the calls to the store since a moment."""
        return [
            purpose
            for router in self.routers.values()
            for at, purpose in router.store.calls
            if at >= since
        ]


class FleetRouter(ObservedRouter):
    """One router of a fleet, with its mirrors and its relay."""

    def __init__(self, fleet, name, names, written, troubles, bounds):
        super().__init__(fleet.time, bounds, SAMPLE_INTERVAL_S)
        self.fleet = fleet
        self.name = name
        self.troubles = troubles
        self.store = SimulatedStore(self.time, written, troubles)
        self.store.eras.on_restore.append(self.on_store_restored)
        self.entries = dict.fromkeys(names)
        self.draw = random.Random(name)
        self.mirrors = build_mirrors(
            self.listeners(),
            self.store,
            self.health,
            self._pull,
            self.draw,
            MirrorPacing(
                lambda: bounds, lambda: False, lambda: REPORTS_PAUSE_S
            ),
            self.time,
        )
        self.relay = build_relay(
            self.mirrors,
            self.health,
            self,
            lambda: bounds,
            self.draw,
            self.time,
        )
        for mirror in self.mirrors.values():
            mirror.on_change = self._announce

    def count(self):
        """Return how many routers there are, as `Routers` does."""
        return len(self.entries)

    def fetch(self, router, kind, revision):
        """Fetch changes, as `Routers.fetch` does."""
        if not self.fleet.reaches(self.name, router):
            self.time.sleep(PULL_TIMEOUT_S)
            return None
        self.time.sleep(FETCH_DURATION_S)
        other = self.fleet.routers[router]
        if kind in self.fleet.long_kinds:
            return Copy(not other.health.doubtful, too_long=True)
        return build_copy(
            other.mirrors[kind], other.health, revision, changes=True
        )

    def start(self):
        """Start the tasks of mirrors, relay and sampling."""
        stopping = threading.Event()
        for mirror in self.mirrors.values():
            self.time.start(mirror.run, stopping)
        self.time.start(self._relay)
        self.observe()

    def receive(self, message):
        """Handle a message, as `RelayPort` does."""
        if isinstance(message, FreshnessQuery):
            self.relay.follower.record_query()
            answer = self.relay.watcher.answer(message.router, message.number)
            self.fleet.send(self.name, message.router, encode(answer))
        else:
            self.relay.follower.receive_report(message)

    def _announce(self):
        data = encode(self.relay.watcher.updates())
        for router in self.relay.watcher.listeners():
            self.fleet.send(self.name, router, data)

    def _relay(self):
        due = self.time.now() + self.draw.uniform(0, QUERY_INTERVAL_S)
        while True:
            self.time.sleep(SAMPLE_INTERVAL_S)
            if self.relay.follower.updates.is_set():
                self.relay.follower.fetch_changes()
            if self.time.now() >= due:
                due = self.time.now() + QUERY_INTERVAL_S
                if found := self.relay.follower.query():
                    router, query = found
                    self.time.sleep(DATAGRAM_DELAY_S)
                    self.fleet.send(self.name, router, encode(query))

    def _pull(self, kind, revision):
        """Fetch the copies of two other routers, as `Routers.pull` does."""
        found = []
        others = sorted(self.entries.keys() - {self.name})
        for name in self.draw.sample(
            others, min(ROUTERS_PER_PULL, len(others))
        ):
            if not self.fleet.reaches(self.name, name):
                self.time.sleep(PULL_TIMEOUT_S)
                continue
            other = self.fleet.routers[name]
            found.append(
                build_copy(
                    other.mirrors[kind], other.health, revision, changes=False
                )
            )
        return merge_newest(found, revision)


def merge_troubles(one, other):
    """Return the faults of the store combined with those of one router."""
    return Troubles(
        one.outages + other.outages,
        one.silenced + other.silenced,
        one.cuts + other.cuts,
        one.forgotten + other.forgotten,
        one.slow + other.slow,
    )
