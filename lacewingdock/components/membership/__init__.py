"""Support for knowing which sidecars there are and keeping links to some."""

import threading
import time
from typing import Final

from lacewingdock.components.configuration import Configuration
from lacewingdock.components.membership.subset import choose_subset
from lacewingdock.components.peers import Peers
from lacewingdock.const import ROLE_ENTRY, ROLE_SIDECAR
from lacewingdock.core import Daemon
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.backoff import Backoff
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Beat, Status
from lacewingdock.world.objects import Instance
from lacewingdock.world.upstream import Upstream

NAME: Final = "membership"
LIST_S: Final = 2.0
LIST_MAX_S: Final = 15.0
# All entries together read the platform's list this often, so that the calls
# don't grow with the fleet. What fails meanwhile shows on its links.
LISTS_PER_S: Final = 50.0
# Part of a core that choosing anew may take; a pool of a thousand sidecars
# costs seconds, and at the target the list changes twice a minute.
CHOOSE_SHARE: Final = 0.005
# With fewer of the chosen left in the list, the choice is made at once.
FEW_LEFT: Final = 0.8
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
        chosen: Names of the sidecars that links are kept to.
        entries: Number of entries in the list.
        instances: The list as last read; it lags.
        backoff: Pauses while the platform does not answer.
    """

    __slots__ = (
        "_choose_at",
        "_chosen_from",
        "_guests",
        "_seen",
        "backoff",
        "chosen",
        "configuration",
        "daemon",
        "entries",
        "instances",
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
        self.chosen: set[str] = set()
        self.entries = 0
        self.instances: list[Instance] = []
        self.backoff = Backoff(LIST_S, LIST_MAX_S, daemon.random)
        self._choose_at = 0.0
        self._chosen_from = 0
        self._seen: list[Instance] = []
        self._guests = threading.Lock()
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

    def placeable(self, target: str) -> list[Upstream]:
        """Return the upstreams that serve a target, silent ones too."""
        return [u for u in tuple(self.upstreams.values()) if u.serves(target)]

    def is_gone(self, name: str, incarnation: str) -> bool:
        """Tell whether a process of a sidecar is known to have ended."""
        if all(instance.name != name for instance in self.instances):
            return True
        upstream = self.upstreams.get(name)
        if upstream is None:
            return False
        link = upstream.link
        if link is not None and not link.closed:
            return link.peer.incarnation != incarnation
        return upstream.refused

    def home(self, partition: str) -> Upstream | None:
        """Find the sidecar that is home to a claim partition.

        Args:
            partition: "SERVICE/NUMBER".
        """
        best, best_term = None, -1
        for upstream in tuple(self.upstreams.values()):
            if not upstream.linked:
                continue
            for held in upstream.status.homes:
                name, _, term = held.partition("@")
                if name == partition and int(term) > best_term:
                    best, best_term = upstream, int(term)
        return best

    def list_interval(self) -> float:
        """Return the mean seconds between reads of the instance list."""
        return max(LIST_S, self.entries / LISTS_PER_S)

    def reach(self, name: str) -> Upstream | None:
        """Find an upstream, also one that no link is kept to, and hold it.

        A caller may come back for its answer to an entry that keeps no link
        to the sidecar that has it.

        Returns:
            The upstream, counted as having one more answer in flight.
        """
        with self._guests:
            upstream = self.upstreams.get(name) or self._invite(name)
            if upstream is not None:
                upstream.in_flight.add(1)
            return upstream

    def _invite(self, name: str) -> Upstream | None:
        for instance in self.instances:
            if instance.name == name and instance.role == ROLE_SIDECAR:
                upstream = self.upstreams[name] = Upstream(instance)
                upstream.resume_only = True
                self.daemon.spawn(self._keep_link, upstream)
                return upstream
        return None

    def hasten(self, name: str) -> None:
        """Have a missing link dialed at once, for a call that needs it.

        Symptom otherwise: a ticket of a sidecar that is up again is refused
        as `not_home`. The pauses between dials have grown while it was down,
        and the next one may be longer than a call waits for its home.
        """
        upstream = self.upstreams.get(name)
        if upstream is not None and not upstream.linked:
            upstream.dial_now.set()

    def release(self, upstream: Upstream) -> None:
        """Let the link to a guest go once no answer needs it."""
        with self._guests:
            if upstream.resume_only and upstream.in_flight.value == 0:
                self._forget(upstream)

    def _keep_up(self) -> None:
        while not self.daemon.stopping.is_set():
            self.daemon.stopping.wait(self.step())

    def step(self) -> float:
        """Read the list once; return the seconds to pause."""
        try:
            self.take(self.daemon.store.instances())
        except LacewingdockError as error:
            # The known upstreams go on serving through an outage.
            log.warning("instances not read", error=error.detail)
            return self.backoff.failed()
        self.backoff.succeeded()
        return self.list_interval() * self.daemon.random.uniform(0.75, 1.25)

    def take(self, instances: list[Instance]) -> None:
        """Keep links to what a list shows; it lags and may be wrong."""
        if instances is self._seen:
            return
        self._seen = self.instances = instances
        me = self.daemon.me
        entries = [i for i in instances if i.role == ROLE_ENTRY]
        self.entries = len(entries)
        self.configuration.entries = [
            i.name
            for i in entries
            if i.failure_domain == me.failure_domain and i.state == "live"
        ]
        sidecars = [i for i in instances if i.role == ROLE_SIDECAR]
        listed = {i.name for i in sidecars}
        self._choose([i.name for i in entries], sidecars, listed)
        for instance in sidecars:
            if instance.name in self.chosen:
                self.want(instance)
        for name, upstream in tuple(self.upstreams.items()):
            if name not in self.chosen and self._expendable(upstream, listed):
                self._forget(upstream)

    def _choose(
        self, entries: list[str], sidecars: list[Instance], listed: set[str]
    ) -> None:
        """Choose anew if what there is changed, but not all the time."""
        found = hash(
            frozenset(entries)
            | frozenset((i.name, i.pool, i.failure_domain) for i in sidecars)
        )
        if found == self._chosen_from:
            return
        left = len(self.chosen & listed)
        enough = left >= FEW_LEFT * max(1, len(self.chosen))
        if enough and time.monotonic() < self._choose_at:
            # Seen again with the next list, though it be the same.
            self._seen = []
            return
        start = time.thread_time()
        subset = choose_subset(
            self.daemon.me.instance, entries, sidecars, self.subset
        )
        cost = time.thread_time() - start
        self._choose_at = time.monotonic() + cost / CHOOSE_SHARE
        self._chosen_from = found
        self.chosen = {instance.name for instance in subset}

    def _expendable(self, upstream: Upstream, listed: set[str]) -> bool:
        """Tell whether the link to an upstream not chosen may go.

        An upstream that is not even listed but answers on its link is kept:
        a list that lost entries, as after a fault of the platform, would
        otherwise cut an entry off from upstreams that serve.
        """
        if upstream.in_flight.value > 0:
            return False
        return upstream.name in listed or not upstream.linked

    def want(self, instance: Instance) -> None:
        """Keep a link to an instance, a new one if its address is new."""
        known = self.upstreams.get(instance.name)
        if known and known.instance.address == instance.address:
            known.instance = instance
            known.resume_only = False
            return
        if known:
            self._retire(known)
        upstream = self.upstreams[instance.name] = Upstream(instance)
        self.daemon.spawn(self._keep_link, upstream)

    def _retire(self, upstream: Upstream) -> None:
        """Let an upstream go that was replaced, once it has finished.

        It may have been stopped as planned and still answer requests while
        its replacement is listed already.
        """
        with self._guests:
            upstream.resume_only, upstream.keep_linked = True, False
            if upstream.in_flight.value == 0:
                self._forget(upstream)

    def _forget(self, upstream: Upstream) -> None:
        upstream.keep_linked = False
        upstream.dial_now.set()
        if self.upstreams.get(upstream.name) is upstream:
            del self.upstreams[upstream.name]
        if upstream.link is not None:
            upstream.link.close("not wanted")

    def _keep_link(self, upstream: Upstream) -> None:
        """Keep one link open: dial, read to its end, dial again."""
        pause = REDIAL_MIN_S
        while upstream.keep_linked and not self.daemon.stopping.is_set():
            start = time.monotonic()
            try:
                self.peers.dial_and_read(upstream.instance.address)
            except ConnectionRefusedError:
                upstream.refused = True
                log.debug("nothing listens", peer=upstream.name)
            except (OSError, LacewingdockError) as error:
                log.debug("not linked", peer=upstream.name, error=str(error))
            if time.monotonic() - start > REDIAL_MAX_S:
                pause = REDIAL_MIN_S
            if upstream.dial_now.wait(pause * self.daemon.random.random()):
                upstream.dial_now.clear()
                pause = REDIAL_MIN_S
            else:
                pause = min(pause * 2, REDIAL_MAX_S)

    def _on_open(self, link: Link) -> None:
        upstream = self.upstreams.get(link.peer.instance)
        if upstream is not None:
            upstream.refused = False
            upstream.set_link(link)

    def _on_close(self, link: Link) -> None:
        upstream = self.upstreams.get(link.peer.instance)
        if upstream is not None and upstream.link is link:
            upstream.set_link(None)

    def _on_news(self, link: Link, message: Status | Beat) -> None:
        upstream = self.upstreams.get(link.peer.instance)
        if upstream is not None:
            upstream.update_load(message)

    def unload(self) -> None:
        """Let every link go."""
        for upstream in tuple(self.upstreams.values()):
            self._forget(upstream)


def setup(
    daemon: Daemon, peers: Peers, configuration: Configuration, subset: int
) -> Membership:
    """Set the membership up."""
    membership = Membership(daemon, peers, configuration, subset)
    daemon.add(NAME, membership)
    return membership
