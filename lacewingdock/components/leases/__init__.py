"""Support for leader election of controllers by leases in the platform."""

import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import prometheus_client

from lacewingdock.components.leases.candidates import rank_candidates
from lacewingdock.components.leases.const import (
    FAILED_PROBES,
    NAME,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    PROBES_PER_RANK,
    READ_INTERVAL_S,
    RENEW_INTERVAL_S,
    RENEWAL_STALE_S,
    WORK_INTERVAL_S,
)
from lacewingdock.components.leases.lease import Lease, LeaseRecord
from lacewingdock.components.membership import Membership
from lacewingdock.components.peers import Peers
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.handshake import probe
from lacewingdock.world.objects import Instance

log = get_logger(NAME)

__all__ = ["Lease", "LeaseRecord", "Leases", "setup"]


@dataclass(slots=True)
class LeaseTask:
    """A lease that this entry may hold, and the work of its holder.

    Attributes:
        lease: The lease.
        work: Called periodically with the fencing number while this entry
            holds the lease. Each step of the work is a conditional update or
            carries the fencing number.
        probes: Consecutive failed probes of the holder.
        read_at: Monotonic time of the last read of the lease.
        ranked: Names of the candidates from the last ranking.
        ranked_from: The instance list and the holder behind `ranked`. The
            ranking is cached because ranking thousands of instances every
            second would cost more than all other work of a lease.
    """

    lease: Lease
    work: Callable[[int], None]
    probes: int = 0
    read_at: float = field(default=float("-inf"))
    ranked: list[str] = field(default_factory=list)
    ranked_from: tuple[list[Instance], str] = field(
        default_factory=lambda: ([], "")
    )


class Leases:
    """The leases that this entry holds or is a candidate for.

    Attributes:
        daemon: The daemon.
        peers: Links to peers; candidates probe a holder on its link port.
        membership: Source of the list of live entries.
        tasks: The lease tasks by lease name.
    """

    __slots__ = ("daemon", "membership", "peers", "tasks")

    def __init__(
        self, daemon: Daemon, peers: Peers, membership: Membership
    ) -> None:
        """Build an empty set of leases and register its metric."""
        self.daemon = daemon
        self.peers = peers
        self.membership = membership
        self.tasks: dict[str, LeaseTask] = {}
        held = prometheus_client.Gauge(
            "lacewingdock_leases_held",
            "Leases that this daemon believes to hold",
            registry=daemon.metrics,
        )
        held.set_function(
            lambda: float(sum(d.lease.held for d in self.tasks.values()))
        )

    def add(self, name: str, work: Callable[[int], None]) -> Lease:
        """Make this entry a candidate for a lease.

        Must be called before `start`.

        Args:
            name: Name of the lease.
            work: Called periodically with the fencing number while this
                entry holds the lease.
        """
        me = self.daemon.me
        record = LeaseRecord(
            holder=me.instance,
            incarnation=me.incarnation,
            address=f"{self.daemon.settings.host}:{self.peers.port}",
        )
        lease = Lease(name, self.daemon.store, record)
        self.tasks[name] = LeaseTask(lease, work)
        return lease

    def start(self) -> None:
        """Start a background task for each lease."""
        for task in self.tasks.values():
            self.daemon.spawn(self._run, task)

    def _run(self, task: LeaseTask) -> None:
        while not self.daemon.stopping.is_set():
            pause = WORK_INTERVAL_S if task.lease.held else PROBE_INTERVAL_S
            if self.daemon.stopping.wait(
                pause * self.daemon.random.uniform(0.8, 1.2)
            ):
                return
            try:
                self._run_once(task)
            except LacewingdockError as error:
                log.info("lease", lease=task.lease.name, error=error.detail)
            except Exception:
                log.exception("lease work failed", lease=task.lease.name)

    def _run_once(self, task: LeaseTask) -> None:
        """Run one iteration as the holder or as a candidate."""
        lease = task.lease
        if self.daemon.leaving.is_set():
            if lease.held:
                self._release(lease)
            return
        if lease.unsettled:
            lease.read()
        if lease.held:
            self._run_as_holder(task)
        else:
            self._run_as_candidate(task)

    def _run_as_holder(self, task: LeaseTask) -> None:
        lease = task.lease
        now = time.monotonic()
        if now - task.read_at > READ_INTERVAL_S:
            # A holder that was frozen detects here that it was replaced, even
            # if it has no conditional update pending that would fail.
            lease.read()
            task.read_at = now
        if not lease.held:
            return
        if now - lease.seen_at > RENEW_INTERVAL_S:
            lease.renew()
        try:
            task.work(lease.fencing)
        except LacewingdockError as error:
            if error.kind is not ErrorKind.CONFLICT:
                raise
            # Another writer changed the object that this step was based on:
            # an operator, or a new holder while this one was frozen. Reading
            # the lease shows which of the two.
            lease.read()
            if not lease.held:
                log.warning(
                    "lease lost", lease=lease.name, holder=lease.record.holder
                )

    def _run_as_candidate(self, task: LeaseTask) -> None:
        """Acquire the lease if its holder is down and this entry is next."""
        lease = task.lease
        rank = self._own_rank(task)
        if rank is None:
            task.probes = 0
            return
        now = time.monotonic()
        if now - task.read_at > READ_INTERVAL_S:
            lease.read()
            task.read_at = now
        if self._is_holder_alive(lease):
            task.probes = 0
            return
        task.probes += 1
        needed = FAILED_PROBES if lease.record.holder else 1
        if task.probes >= needed + rank * PROBES_PER_RANK:
            self._acquire(task)

    def _own_rank(self, task: LeaseTask) -> int | None:
        """Return this entry's rank; None if it is not a candidate."""
        me = self.daemon.me.instance
        instances = self.membership.instances
        holder = task.lease.record.holder
        # A holder that was restarted under the same name is a candidate
        # again: with a single entry nobody else could acquire the lease.
        holder = holder if holder != me else ""
        ranked_instances, ranked_holder = task.ranked_from
        if ranked_instances is not instances or ranked_holder != holder:
            task.ranked_from = (instances, holder)
            task.ranked = rank_candidates(task.lease.name, instances, holder)
        return task.ranked.index(me) if me in task.ranked else None

    def _is_holder_alive(self, lease: Lease) -> bool:
        """Probe the holder with a handshake on its link port."""
        record = lease.record
        if not record.holder:
            return False
        if time.monotonic() - lease.seen_at > RENEWAL_STALE_S:
            # The holder may still answer probes, but without a renewal for
            # this long it can't reach the platform, and no work under this
            # lease would make progress.
            return False
        try:
            peer = probe(
                record.address,
                self.daemon.me,
                self.daemon.keys,
                PROBE_TIMEOUT_S,
            )
        except (OSError, LacewingdockError):
            return False
        return peer.incarnation == record.incarnation

    def _acquire(self, task: LeaseTask) -> None:
        lease = task.lease
        before = lease.revision
        lease.read()
        if lease.revision != before:
            # The lease was acquired or renewed by another process meanwhile;
            # start over and probe that holder.
            task.probes = 0
            return
        lease.take()
        task.probes = 0
        log.info("lease acquired", lease=lease.name, fencing=lease.fencing)

    def _release(self, lease: Lease) -> None:
        with contextlib.suppress(LacewingdockError):
            lease.leave()
        lease.held = False

    def unload(self) -> None:
        """Release all held leases, so that candidates need no failed probes."""
        for task in self.tasks.values():
            if task.lease.held:
                self._release(task.lease)


def setup(daemon: Daemon, peers: Peers, membership: Membership) -> Leases:
    """Set up the leases and add them to the daemon."""
    leases = Leases(daemon, peers, membership)
    daemon.add(NAME, leases)
    return leases
