"""Support for leases of controllers, which any entry may hold."""

import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import prometheus_client

from lacewingdock.components.leases.candidates import rank_candidates
from lacewingdock.components.leases.const import (
    FAILED_PROBES,
    NAME,
    PATIENCE,
    PROBE_S,
    PROBE_TIMEOUT_S,
    READ_S,
    RENEW_S,
    STALE_S,
    WORK_S,
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
class Duty:
    """A lease that this entry may hold, and what its holder does.

    Attributes:
        lease: The lease.
        work: Called again and again by the holder with the fencing number.
            Each of its steps is a conditional update or carries the number.
        probes: Failed probes of the holder in a row.
        read_at: Monotonic time of the last read.
        ranked: The candidates as last ranked.
        ranked_from: The instance list and the holder that they were ranked
            from; ranking thousands each second would cost more than all
            else that a lease does.
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
    """The leases that this entry holds or would take over.

    Attributes:
        daemon: The daemon.
        peers: Links; their port is where candidates probe this holder.
        membership: Knows the live entries.
        duties: The duties by lease name.
    """

    __slots__ = ("daemon", "duties", "membership", "peers")

    def __init__(
        self, daemon: Daemon, peers: Peers, membership: Membership
    ) -> None:
        """Start without leases."""
        self.daemon = daemon
        self.peers = peers
        self.membership = membership
        self.duties: dict[str, Duty] = {}
        held = prometheus_client.Gauge(
            "lacewingdock_leases_held",
            "Leases that this daemon believes to hold",
            registry=daemon.metrics,
        )
        held.set_function(
            lambda: float(sum(d.lease.held for d in self.duties.values()))
        )

    def add(self, name: str, work: Callable[[int], None]) -> Lease:
        """Let this entry be a candidate for a lease; before `start`."""
        me = self.daemon.me
        record = LeaseRecord(
            holder=me.instance,
            incarnation=me.incarnation,
            address=f"{self.daemon.settings.host}:{self.peers.port}",
        )
        lease = Lease(name, self.daemon.store, record)
        self.duties[name] = Duty(lease, work)
        return lease

    def start(self) -> None:
        """Start one task for each lease."""
        for duty in self.duties.values():
            self.daemon.spawn(self._keep, duty)

    def _keep(self, duty: Duty) -> None:
        while not self.daemon.stopping.is_set():
            pause = WORK_S if duty.lease.held else PROBE_S
            if self.daemon.stopping.wait(
                pause * self.daemon.random.uniform(0.8, 1.2)
            ):
                return
            try:
                self._round(duty)
            except LacewingdockError as error:
                log.info("lease", lease=duty.lease.name, error=error.detail)
            except Exception:
                log.exception("lease work failed", lease=duty.lease.name)

    def _round(self, duty: Duty) -> None:
        """Do one round as holder or as candidate."""
        lease = duty.lease
        if self.daemon.leaving.is_set():
            if lease.held:
                self._leave(lease)
            return
        if lease.unsettled:
            lease.read()
        if lease.held:
            self._work(duty)
        else:
            self._seek(duty)

    def _work(self, duty: Duty) -> None:
        lease = duty.lease
        now = time.monotonic()
        if now - duty.read_at > READ_S:
            # A holder that was frozen finds out here that it was replaced,
            # also when it has no step to do that would fail.
            lease.read()
            duty.read_at = now
        if not lease.held:
            return
        if now - lease.seen_at > RENEW_S:
            lease.renew()
        try:
            duty.work(lease.fencing)
        except LacewingdockError as error:
            if error.kind is not ErrorKind.CONFLICT:
                raise
            # Another wrote what this step was based on: an operator, or a
            # new holder while this one was frozen. The lease tells which.
            lease.read()
            if not lease.held:
                log.warning(
                    "lease lost", lease=lease.name, holder=lease.record.holder
                )

    def _seek(self, duty: Duty) -> None:
        """Take the lease if its holder is gone and this entry is next."""
        lease = duty.lease
        rank = self._rank(duty)
        if rank is None:
            duty.probes = 0
            return
        now = time.monotonic()
        if now - duty.read_at > READ_S:
            lease.read()
            duty.read_at = now
        if self._alive(lease):
            duty.probes = 0
            return
        duty.probes += 1
        needed = FAILED_PROBES if lease.record.holder else 1
        if duty.probes >= needed + rank * PATIENCE:
            self._take(duty)

    def _rank(self, duty: Duty) -> int | None:
        """Place of this entry among the candidates; None if it is none."""
        me = self.daemon.me.instance
        instances = self.membership.instances
        holder = duty.lease.record.holder
        # A holder that was restarted under its name is a candidate again:
        # in a deployment of one entry nobody else could take over.
        holder = holder if holder != me else ""
        known, known_holder = duty.ranked_from
        if known is not instances or known_holder != holder:
            duty.ranked_from = (instances, holder)
            duty.ranked = rank_candidates(duty.lease.name, instances, holder)
        return duty.ranked.index(me) if me in duty.ranked else None

    def _alive(self, lease: Lease) -> bool:
        """Probe the holder by a handshake on its link port."""
        record = lease.record
        if not record.holder:
            return False
        if time.monotonic() - lease.seen_at > STALE_S:
            # It answers probes and has long not renewed: it can't reach the
            # platform, and nothing under this lease would move.
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

    def _take(self, duty: Duty) -> None:
        lease = duty.lease
        before = lease.revision
        lease.read()
        if lease.revision != before:
            # Someone else moved first; probe that one.
            duty.probes = 0
            return
        lease.take()
        duty.probes = 0
        log.info("lease taken", lease=lease.name, fencing=lease.fencing)

    def _leave(self, lease: Lease) -> None:
        with contextlib.suppress(LacewingdockError):
            lease.leave()
        lease.held = False

    def unload(self) -> None:
        """Leave every lease, so that others need not find out."""
        for duty in self.duties.values():
            if duty.lease.held:
                self._leave(duty.lease)


def setup(daemon: Daemon, peers: Peers, membership: Membership) -> Leases:
    """Set the leases up."""
    leases = Leases(daemon, peers, membership)
    daemon.add(NAME, leases)
    return leases
