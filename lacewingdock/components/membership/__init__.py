"""Support for knowing which sidecars there are and keeping links to some."""

import hashlib
import time
from typing import Final

from lacewingdock.components.configuration import Configuration
from lacewingdock.components.peers import Peers
from lacewingdock.const import ROLE_ENTRY, ROLE_SIDECAR
from lacewingdock.core import Daemon
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Beat, Status
from lacewingdock.world.objects import Instance
from lacewingdock.world.upstream import Upstream

NAME: Final = "membership"
LIST_S: Final = 2.0
REDIAL_MIN_S: Final = 0.05
REDIAL_MAX_S: Final = 3.0

log = get_logger(NAME)


class Membership:
    """The upstreams that this entry keeps links to.

    Attributes:
        daemon: The daemon.
        peers: The links.
        configuration: Told of the entries of this failure domain.
        subset: Links kept for each pool.
        upstreams: Upstreams by the name of their sidecar's instance.
        entries: Number of live entries in the platform's list, at least 1.
    """

    __slots__ = (
        "configuration",
        "daemon",
        "entries",
        "peers",
        "subset",
        "upstreams",
    )

    def __init__(
        self,
        daemon: Daemon,
        peers: Peers,
        configuration: Configuration,
        subset: int,
    ) -> None:
        """Join the links."""
        self.daemon = daemon
        self.peers = peers
        self.configuration = configuration
        self.subset = subset
        self.upstreams: dict[str, Upstream] = {}
        self.entries = 1
        peers.on_open.append(self._on_open)
        peers.on_close.append(self._on_close)
        peers.handle(Status, self._on_news)
        peers.handle(Beat, self._on_news)

    def start(self) -> None:
        """Start reading the platform's list."""
        self.daemon.spawn(self._keep_up)

    def serving(self, target: str) -> list[Upstream]:
        """Return the upstreams that may take new work for a target."""
        return [u for u in tuple(self.upstreams.values()) if u.usable(target)]

    def home(self, partition: str) -> Upstream | None:
        """Find the sidecar that is home to a claim partition.

        Args:
            partition: "SERVICE/NUMBER".
        """
        best, best_term = None, -1
        for upstream in tuple(self.upstreams.values()):
            if upstream.link is None or upstream.link.closed:
                continue
            for held in upstream.status.homes:
                name, _, term = held.partition("@")
                if name == partition and int(term) > best_term:
                    best, best_term = upstream, int(term)
        return best

    def _keep_up(self) -> None:
        while not self.daemon.stopping.is_set():
            try:
                self._take(self.daemon.store.instances())
            except LacewingdockError as error:
                # The known upstreams go on serving through an outage.
                log.warning("instances not read", error=error.detail)
            self.daemon.stopping.wait(
                LIST_S * self.daemon.random.uniform(1, 1.5)
            )

    def _take(self, instances: list[Instance]) -> None:
        me = self.daemon.me
        self.configuration.entries = [
            i.name
            for i in instances
            if i.role == ROLE_ENTRY
            and i.failure_domain == me.failure_domain
            and i.state == "live"
        ]
        self.entries = max(1, sum(i.role == ROLE_ENTRY for i in instances))
        sidecars = [i for i in instances if i.role == ROLE_SIDECAR]
        chosen = choose_subset(me.instance, sidecars, self.subset)
        for instance in chosen:
            self._want(instance)
        names = {instance.name for instance in chosen}
        for name, upstream in tuple(self.upstreams.items()):
            # Only what has no work goes: the list lags and may be wrong.
            if name not in names and upstream.in_flight.value == 0:
                self._forget(upstream)

    def _want(self, instance: Instance) -> None:
        known = self.upstreams.get(instance.name)
        if known and known.instance.address == instance.address:
            known.instance = instance
            return
        if known:
            self._forget(known)
        upstream = self.upstreams[instance.name] = Upstream(instance)
        self.daemon.spawn(self._keep_link, upstream)

    def _forget(self, upstream: Upstream) -> None:
        upstream.wanted = False
        if self.upstreams.get(upstream.name) is upstream:
            del self.upstreams[upstream.name]
        if upstream.link is not None:
            upstream.link.close("not wanted")

    def _keep_link(self, upstream: Upstream) -> None:
        """Keep one link open: dial, read to its end, dial again."""
        pause = REDIAL_MIN_S
        while upstream.wanted and not self.daemon.stopping.is_set():
            start = time.monotonic()
            try:
                self.peers.hold(upstream.instance.address)
            except (OSError, LacewingdockError) as error:
                log.debug("not linked", peer=upstream.name, error=str(error))
            if time.monotonic() - start > REDIAL_MAX_S:
                pause = REDIAL_MIN_S
            self.daemon.stopping.wait(pause * self.daemon.random.random())
            pause = min(pause * 2, REDIAL_MAX_S)

    def _on_open(self, link: Link) -> None:
        upstream = self.upstreams.get(link.peer.instance)
        if upstream is not None:
            upstream.set_link(link)

    def _on_close(self, link: Link) -> None:
        upstream = self.upstreams.get(link.peer.instance)
        if upstream is not None and upstream.link is link:
            upstream.set_link(None)

    def _on_news(self, link: Link, message: Status | Beat) -> None:
        upstream = self.upstreams.get(link.peer.instance)
        if upstream is not None:
            upstream.take_news(message)

    def unload(self) -> None:
        """Let every link go."""
        for upstream in tuple(self.upstreams.values()):
            self._forget(upstream)


def choose_subset(
    me: str, instances: list[Instance], size: int
) -> list[Instance]:
    """Choose the sidecars to link to, the same ones every time.

    Each pool's instances are ranked by a hash of the pair (rendezvous
    hashing), so one instance that comes or goes changes at most one link.

    Args:
        me: Name of the choosing instance.
        instances: All sidecars.
        size: Links for each pool.
    """
    pools: dict[str, list[Instance]] = {}
    for instance in instances:
        pools.setdefault(instance.pool, []).append(instance)
    chosen: list[Instance] = []
    for pool in pools.values():
        pool.sort(
            key=lambda i: hashlib.sha256(f"{me}\0{i.name}".encode()).digest()
        )
        chosen += pool[:size]
    return chosen


def setup(
    daemon: Daemon, peers: Peers, configuration: Configuration, subset: int
) -> Membership:
    """Set the membership up."""
    membership = Membership(daemon, peers, configuration, subset)
    daemon.add(NAME, membership)
    return membership
