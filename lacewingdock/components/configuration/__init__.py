"""Support for the configuration in force: loaded, watched, passed on."""

import hashlib
import threading
from collections.abc import Callable
from typing import Final

import msgspec

from lacewingdock.components.configuration.items import ItemTable
from lacewingdock.components.peers import Peers
from lacewingdock.const import COLLECTION_CONFIG, ROLE_ENTRY
from lacewingdock.core import Daemon
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Beat, Delta, Item, Pull
from lacewingdock.platform.store import Listing
from lacewingdock.world.world import World, build_world

NAME: Final = "configuration"
WATCHERS_PER_DOMAIN: Final = 2
RETRY_S: Final = 0.5
# A peer's push is what usually brings news; this bounds how long a watcher's
# death can go unseen by the others of its failure domain.
ELECTION_S: Final = 2.0

log = get_logger(NAME)


class Configuration:
    """The configuration of this daemon and its ways of keeping up.

    Attributes:
        daemon: The daemon.
        peers: Links that news comes and goes over.
        table: The items and how far they are complete.
        world: The view built from the items; replaced, never changed.
        loaded: Set once a complete configuration is in force.
        entries: Names of the live entries of this failure domain, for the
            choice of watchers; the membership keeps it up.
        on_change: Called after each change of `world`.
    """

    __slots__ = (
        "_lock",
        "daemon",
        "entries",
        "loaded",
        "on_change",
        "peers",
        "table",
        "world",
    )

    def __init__(self, daemon: Daemon, peers: Peers) -> None:
        """Join the links."""
        self.daemon = daemon
        self.peers = peers
        self.table = ItemTable()
        self.world = World()
        self.loaded = threading.Event()
        self.entries: list[str] = []
        self.on_change: list[Callable[[], None]] = []
        self._lock = threading.Lock()
        peers.handle(Beat, self._on_beat)
        peers.handle(Delta, self._on_delta)
        peers.handle(Pull, self._on_pull)
        peers.on_open.append(self._on_open)

    def start(self) -> None:
        """Start loading, then watching where this daemon is a watcher."""
        self.daemon.spawn(self._keep_up)

    @property
    def revision(self) -> int:
        """Revision up to which the configuration is complete."""
        return self.table.upto

    def is_watcher(self) -> bool:
        """Tell whether this daemon is among its domain's few watchers.

        A watch by each daemon would cost the platform one call a daemon at
        all times. Every entry ranks the same names alike, so the watchers
        need not agree on themselves; a few more for a moment do no harm.
        """
        me = self.daemon.me
        if me.role != ROLE_ENTRY:
            return False
        ranked = sorted(
            {*self.entries, me.instance},
            key=lambda name: hashlib.sha256(name.encode()).digest(),
        )
        return me.instance in ranked[:WATCHERS_PER_DOMAIN]

    def _keep_up(self) -> None:
        while not self.daemon.stopping.is_set():
            try:
                if not self.loaded.is_set():
                    self._take(0, self._list())
                elif self.is_watcher():
                    self._take(self.revision, self._watch())
                else:
                    self.daemon.stopping.wait(ELECTION_S)
            except LacewingdockError as error:
                log.warning("platform not read", error=error.detail)
                self.daemon.stopping.wait(
                    RETRY_S * (1 + self.daemon.random.random())
                )

    def _list(self) -> Listing:
        return self.daemon.store.list_all(COLLECTION_CONFIG, "config-list")

    def _watch(self) -> Listing:
        return self.daemon.store.watch(
            COLLECTION_CONFIG, self.revision, "config-watch"
        )

    def _take(self, since: int, listing: Listing) -> None:
        items = [
            Item(
                stored.name,
                stored.revision,
                b""
                if stored.value is None
                else msgspec.json.encode(stored.value),
            )
            for stored in listing.objects
        ]
        self.apply(Delta(since, listing.revision, items), None)

    def apply(self, delta: Delta, source: Link | None) -> None:
        """Join news into the table and pass on what was new."""
        with self._lock:
            before = self.table.upto
            changed = self.table.join(delta)
            if changed:
                self._rebuild()
            upto = self.table.upto
        if upto > 0:
            self.loaded.set()
        if upto > before:
            news = self.table.since(before)
            for link in tuple(self.peers.links):
                if link is not source:
                    link.send(news)

    def _rebuild(self) -> None:
        world, faults = build_world(self.table.live())
        for fault in faults:
            log.error("faulty item left out", fault=fault)
        self.world = world
        for callback in self.on_change:
            callback()

    def _on_open(self, link: Link) -> None:
        link.send(self.peers.beat())

    def _on_beat(self, link: Link, message: Beat) -> None:
        if message.revision > self.revision:
            link.send(Pull(self.revision))

    def _on_delta(self, link: Link, message: Delta) -> None:
        self.apply(message, link)
        if message.upto > self.revision:
            link.send(Pull(self.revision))

    def _on_pull(self, link: Link, message: Pull) -> None:
        if message.since < self.revision:
            link.send(self.table.since(message.since))

    def unload(self) -> None:
        """Nothing is held beyond the daemon's tasks."""


def setup(daemon: Daemon, peers: Peers) -> Configuration:
    """Set the configuration up."""
    configuration = Configuration(daemon, peers)
    daemon.add(NAME, configuration)
    return configuration
