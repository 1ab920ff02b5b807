"""Support for the configuration in force: loaded, watched, passed on."""

import hashlib
import threading
import time
from collections.abc import Callable
from time import time as wall_clock
from typing import Final

import msgspec

from lacewingdock.components.configuration.items import ItemTable
from lacewingdock.components.peers import Peers
from lacewingdock.const import COLLECTION_CONFIG, ROLE_ENTRY
from lacewingdock.core import Daemon
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.backoff import Backoff
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Beat, Delta, Item, Pull
from lacewingdock.platform.store import Listing
from lacewingdock.world.world import World, build_world

NAME: Final = "configuration"
WATCHERS_PER_DOMAIN: Final = 2
RETRY_S: Final = 0.5
RETRY_MAX_S: Final = 15.0
# Daemons that start together, as after the loss of a failure domain, spread
# their first list over this time.
START_SPREAD_S: Final = 1.0
# A platform without any configuration is asked this often for the first.
EMPTY_S: Final = 1.0
# Entries that are not watchers look at the platform now and then, all those
# of a failure domain together this often, each of them at most every
# CHECK_MIN_S. See `Configuration.check_interval`.
CHECKS_PER_S: Final = 3.0
CHECK_MIN_S: Final = 4.0
# A sidecar that no entry is linked to looks this often.
LONELY_CHECK_S: Final = 8.0
# News goes at once to this many links; the others see from a beat that there
# is news and pull it.
FANOUT: Final = 4
# A pull that was not answered for this long may be made again, of another.
PULL_WAIT_S: Final = 0.5
# A pull of more revisions than this waits its turn.
SMALL_PULL: Final = 16
ANSWERS_AT_ONCE: Final = 2
# A pause that took this much longer than asked for means that the process
# slept, and what it knows may be old.
SLEPT_S: Final = 3.0
PAUSE_SLICE_S: Final = 1.0

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
        shown: The highest revision that each linked peer showed.
        backoff: Pauses while the platform does not answer.
        changed_at: Unix time at which the revision last grew.
        check_at: Monotonic time of the next look at the platform.
    """

    __slots__ = (
        "_answering",
        "_faults",
        "_listed",
        "_lock",
        "_pulled_at",
        "backoff",
        "changed_at",
        "check_at",
        "daemon",
        "entries",
        "loaded",
        "on_change",
        "peers",
        "shown",
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
        self.shown: dict[Link, int] = {}
        self.backoff = Backoff(RETRY_S, RETRY_MAX_S, daemon.random)
        self.changed_at = 0.0
        self._lock = threading.Lock()
        self.check_at = 0.0
        self._pulled_at = 0.0
        self._listed = False
        self._faults: set[str] = set()
        self._answering = threading.BoundedSemaphore(ANSWERS_AT_ONCE)
        peers.handle(Beat, self._on_beat)
        peers.handle(Delta, self._on_delta)
        peers.handle(Pull, self._on_pull)
        peers.on_open.append(self._on_open)
        peers.on_close.append(self._on_close)

    def start(self) -> None:
        """Start loading, then watching where this daemon is a watcher."""
        self.daemon.spawn(self._keep_up)

    @property
    def revision(self) -> int:
        """Revision up to which the configuration is complete and in force.

        It is 0 until `loaded`: peers that start in an outage count who shows
        them a revision, and what a starting one has only heard must not
        count as a second witness of what the first one said.
        """
        return self.table.upto if self.loaded.is_set() else 0

    def in_force(self, revision: int) -> bool:
        """Tell whether a revision is in force here, and the view shows it.

        The revision is raised a moment before the view is rebuilt, both under
        this lock; without it the old view could be judged by once more.
        """
        with self._lock:
            return self.revision >= revision

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

    def check_interval(self) -> float:
        """Return the seconds between looks of an entry that doesn't watch.

        Watchers can be dead, frozen or cut off from the platform while the
        others of their domain can reach it, and nobody sees it from their
        links. So no entry relies on them: each looks for itself, rarely
        enough that all of a domain together cost the platform CHECKS_PER_S.
        Whoever finds news first passes it on.
        """
        if self.daemon.me.role != ROLE_ENTRY:
            # All its entries are gone: they may come back as stale as it is.
            return LONELY_CHECK_S
        return max(CHECK_MIN_S, len(self.entries) / CHECKS_PER_S)

    def start_pause(self) -> float:
        """Return the seconds to wait before the first list."""
        return START_SPREAD_S * self.daemon.random.random()

    def _keep_up(self) -> None:
        self.pause_awake(self.start_pause())
        while not self.daemon.stopping.is_set():
            self.pause_awake(self.step())

    def pause_awake(self, seconds: float) -> None:
        """Wait; after a sleep of the process look at the platform at once.

        A process that was stopped, or whose machine was, wakes with the view
        it had. Its links were given up meanwhile and no beat tells it so.
        """
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            if self.daemon.stopping.wait(min(left, PAUSE_SLICE_S)):
                return
            if time.monotonic() > end + SLEPT_S:
                self.check_at = 0.0

    def step(self) -> float:
        """Keep up with the platform once; return the seconds to pause."""
        try:
            pause = self._read()
        except LacewingdockError as error:
            log.warning("platform not read", error=error.detail)
            pause = self.backoff.failed()
            self._load_from_peers()
            return pause
        self.backoff.succeeded()
        return pause

    def _read(self) -> float:
        since = self.table.upto
        if not self._listed:
            self._take(since, self._find(since, "config-list"))
            self._listed = self.loaded.is_set()
            if self._listed:
                return 0.0
            return EMPTY_S * self.daemon.random.uniform(0.5, 1.5)
        if self.daemon.me.role != ROLE_ENTRY and self.peers.links:
            # A sidecar lists once; from then on its entries keep it up.
            return CHECK_MIN_S
        if self.is_watcher():
            self._take(since, self._watch(since))
            return 0.0
        if time.monotonic() >= self.check_at:
            self._take(since, self._find(since, "config-check"))
            pause = self.check_interval() * self.daemon.random.uniform(0.5, 1.5)
            self.check_at = time.monotonic() + pause
        return CHECK_MIN_S / 2

    def _find(self, after: int, purpose: str) -> Listing:
        return self.daemon.store.list_all(
            COLLECTION_CONFIG, purpose, after=after
        )

    def _watch(self, after: int) -> Listing:
        return self.daemon.store.watch(COLLECTION_CONFIG, after, "config-watch")

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
        if self.table.upto > 0:
            self.loaded.set()

    def apply(self, delta: Delta, source: Link | None) -> None:
        """Join news into the table and pass on what was new."""
        with self._lock:
            before = self.table.upto
            if self.table.join(delta):
                self._rebuild()
            if self.table.upto > before:
                self.changed_at = wall_clock()
        if self.loaded.is_set() and self.table.upto > before:
            self._spread(before, source)

    def _rebuild(self) -> None:
        world, faults = build_world(self.table.live())
        for fault in faults:
            # Once each, not with every change that comes after.
            if fault not in self._faults:
                log.error("faulty item left out", fault=fault)
        self._faults = set(faults)
        self.world = world
        for callback in self.on_change:
            callback()

    def _spread(self, before: int, source: Link | None) -> None:
        """Push news to a few peers that have not shown it."""
        upto = self.table.upto
        links = [
            link
            for link in tuple(self.peers.links)
            if link is not source and self.shown.get(link, 0) < upto
        ]
        if len(links) > FANOUT:
            links = self.daemon.random.sample(links, FANOUT)
        for link in links:
            self._send(link, before)

    def _send(self, link: Link, since: int) -> None:
        for delta in self.table.since(since):
            if not link.send(delta):
                return

    def _show(self, link: Link, revision: int) -> None:
        """Note what a peer showed and pull what is missing here."""
        self.shown[link] = max(revision, self.shown.get(link, 0))
        if revision > self.table.upto:
            self._pull(link)
        else:
            self._load_from_peers()

    def _load_from_peers(self) -> None:
        """Serve during an outage once enough peers agree on what is in force.

        A single peer may have slept or be cut off, and what it takes for in
        force may permit a version that was withdrawn since. So the highest
        revision that `start_peers` peers showed must be here.
        """
        if self.loaded.is_set() or not self.backoff.failures:
            return
        shown = [r for r in tuple(self.shown.values()) if r > 0]
        if len(shown) < self.daemon.settings.start_peers:
            return
        if max(shown) <= self.table.upto:
            log.warning("loaded from peers", revision=self.table.upto)
            self.loaded.set()

    def _pull(self, link: Link) -> None:
        """Ask for news, of one peer at a time: all peers have the same."""
        now = time.monotonic()
        if now - self._pulled_at < PULL_WAIT_S:
            return
        self._pulled_at = now
        link.send(Pull(self.table.upto))

    def _on_open(self, link: Link) -> None:
        link.send(self.peers.beat())

    def _on_close(self, link: Link) -> None:
        self.shown.pop(link, None)

    def _on_beat(self, link: Link, message: Beat) -> None:
        self._show(link, message.revision)

    def _on_delta(self, link: Link, message: Delta) -> None:
        self.apply(message, link)
        whole = self.table.upto >= message.upto > message.since
        self._pulled_at = 0.0 if whole else time.monotonic()
        self._show(link, message.upto)

    def _on_pull(self, link: Link, message: Pull) -> None:
        if message.since >= self.revision:
            return
        if self.table.upto - message.since <= SMALL_PULL:
            self._send(link, message.since)
        else:
            self.daemon.spawn(self._answer, link, message.since)

    def _answer(self, link: Link, since: int) -> None:
        """Answer a pull of many changes.

        After a bulk change all peers that were passed over pull at once, and
        a table encoded for each of them at the same time would take more
        memory than the daemon has. So few are answered at a time, and not by
        the links' reading tasks, which carry answers to callers.
        """
        with self._answering:
            self._send(link, since)

    def unload(self) -> None:
        """Nothing is held beyond the daemon's tasks."""


def setup(daemon: Daemon, peers: Peers) -> Configuration:
    """Set the configuration up."""
    configuration = Configuration(daemon, peers)
    daemon.add(NAME, configuration)
    return configuration
