"""Support for taking over claim partitions that have no home."""

import hashlib
import time
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from lacewingdock.components.claims.const import (
    CANDIDATES,
    FAILED_PROBES,
    FAR_LOOKS_PER_S,
    LIST_S,
    LOOK_S,
    NAME,
    PATIENCE,
    PROBE_REFUSED,
    PROBE_REPLACED,
    PROBE_SILENT,
    PROBE_TIMEOUT_S,
    STATE_CLAIMED,
    STATE_DONE,
)
from lacewingdock.components.claims.partition import Partition
from lacewingdock.components.claims.record import Head, SegmentRef
from lacewingdock.components.claims.segments import read_segment
from lacewingdock.const import COLLECTION_CLAIMS, ROLE_SIDECAR
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.handshake import probe
from lacewingdock.platform.store import ObjectStore, Stored
from lacewingdock.world.objects import Service

if TYPE_CHECKING:
    from lacewingdock.components.claims import Claims

log = get_logger(NAME)


class Takeover:
    """Looks after the partitions of a service, also those of others.

    Every sidecar looking after every partition each second would cost two
    reads a second and a handshake with each home for each sidecar. So only a
    partition's home and its candidates, the first by rank, look that often;
    the others look at a rate that they share.

    Attributes:
        claims: The claims, whose partitions are taken and checked.
        probes: Looks that count against each partition's home, in a row.
        near: Partitions that this sidecar is a candidate for.
        live: Live sidecars of the service, as last listed.
        listed: Monotonic time of that list.
        far_at: Monotonic time of the next look at all partitions.
    """

    __slots__ = (
        "_ranked_from",
        "claims",
        "far_at",
        "listed",
        "live",
        "near",
        "probes",
    )

    def __init__(self, claims: "Claims") -> None:
        """Start without failed probes."""
        self.claims = claims
        self.probes: dict[int, int] = {}
        self.near: set[int] = set()
        self.live: list[str] = []
        self.listed = self.far_at = float("-inf")
        self._ranked_from: tuple[list[str], list[str]] | None = None

    def look_if_due(self) -> None:
        """Look at all partitions, or at this sidecar's own in between."""
        if time.monotonic() >= self.far_at:
            self.look()
        elif self.near or self.claims.partitions:
            self.look(is_far=False)

    def look(self, is_far: bool = True) -> None:
        """Take partitions that have no home or a dead one.

        Args:
            is_far: Whether to look at those, too, that this sidecar is
                neither home of nor a candidate for.
        """
        if self.claims.daemon.leaving.is_set():
            return
        service = self.claims.configured()
        if service is None:
            return
        begun = time.monotonic()
        if is_far:
            # Before the calls: in an outage they are not repeated sooner.
            self.far_at = begun + self._far_s()
        found = self.claims.daemon.store.list_all(
            COLLECTION_CLAIMS, "claims-look", f"{self.claims.service}/"
        )
        heads = {
            stored.name: (stored, msgspec.convert(stored.value, Head))
            for stored in found.objects
            if stored.value is not None
        }
        if not self._fix_count([h for _, h in heads.values()], service):
            return
        self._list_sidecars(LIST_S)
        # One probe a home, not one a partition: a frozen home costs each
        # probe its whole timeout, and takeovers would wait for all of them.
        probed: dict[str, int] = {}
        gone = []
        for number in range(self.claims.count):
            name = f"{self.claims.service}/{number}"
            stored, head = heads.get(name, (Stored(name, 0), None))
            gone.append(_gone(head))
            if head and head.incarnation == self.claims.daemon.me.incarnation:
                self._look_at_own(number, stored, head, begun)
                continue
            self._check_lost(number, stored)
            if is_far or number in self.near:
                self._look_at(number, stored, head, probed)
        self._choose_near(gone)

    def _far_s(self) -> float:
        """Return the seconds between two looks at all partitions.

        They vary, or the sidecars of a service that was started as a whole
        would all look in the same second.
        """
        interval = len(self.live) / FAR_LOOKS_PER_S
        if interval <= LOOK_S:
            return 0.0
        return interval * self.claims.daemon.random.uniform(0.8, 1.2)

    def _choose_near(self, gone: list[str]) -> None:
        """Find the partitions that this sidecar is a candidate for.

        Args:
            gone: For each partition, the home that it has or had.
        """
        # Ranking hundreds of sidecars each second would cost what it saves.
        if self._ranked_from == (self.live, gone):
            return
        self._ranked_from = (self.live, gone)
        self.near = {
            number
            for number, home in enumerate(gone)
            if self._rank(f"{self.claims.service}/{number}", home) < CANDIDATES
        }

    def _fix_count(self, heads: list[Head], service: Service) -> bool:
        """Find the number of partitions; return whether it is certain.

        Symptom otherwise: a slot is confirmed twice after the number was
        changed. Its key moves to another partition, whose home has never
        heard of it. So the heads have the word, not the configuration.
        """
        counts = {head.partitions for head in heads} or {service.partitions}
        self.claims.count = max(counts)
        if counts != {service.partitions}:
            log.error(
                "partitions of a service can't be changed",
                service=self.claims.service,
                configured=service.partitions,
                kept=sorted(counts),
            )
        return len(counts) == 1

    def _list_sidecars(self, max_age_s: float) -> None:
        """Read the list of sidecars unless it is young enough."""
        now = time.monotonic()
        if now - self.listed < max_age_s:
            return
        self.live = [
            i.name
            for i in self.claims.daemon.store.instances()
            if i.role == ROLE_SIDECAR
            and i.pool == self.claims.service
            and i.state == "live"
        ]
        self.listed = now

    def _look_at_own(
        self, number: int, stored: Stored, head: Head, begun: float
    ) -> None:
        """Check a partition whose head names this process.

        A take whose answer was lost leaves a head that names a home which
        does not know: it would serve nobody, and its probes would keep the
        others away for good. It is taken again.
        """
        held = self.claims.partitions.get(number)
        if held is None or held.lost:
            self.take(number, stored)
        elif held.head.term == head.term:
            held.verified = max(held.verified, begun)

    def _look_at(
        self,
        number: int,
        stored: Stored,
        head: Head | None,
        probed: dict[str, int],
    ) -> None:
        """Judge a partition that another has, or nobody."""
        if head and head.home:
            if head.incarnation not in probed:
                probed[head.incarnation] = self._probe(head)
            if not probed[head.incarnation]:
                self.probes.pop(number, None)
                return
        # Who else is gone decides whose turn it is.
        self._list_sidecars(LOOK_S / 2)
        weight = probed.get(head.incarnation, 1) if head else 1
        failed = self.probes[number] = self.probes.get(number, 0) + weight
        needed = self._rank(stored.name, _gone(head)) * PATIENCE
        if head and head.home:
            needed += FAILED_PROBES
        if failed > needed:
            self.take(number, stored)

    def _check_lost(self, number: int, stored: Stored) -> None:
        """Drop a partition that another has taken over.

        Without claims to commit, a home that was paused would not learn of
        the takeover, and entries would go on sending requests here.
        """
        held = self.claims.partitions.get(number)
        if held is not None and stored.revision > held.revision:
            held.lost = True
            self.claims.drop(held)

    def _rank(self, name: str, gone: str) -> int:
        """Place of this sidecar among those that may take a partition."""
        ranked = sorted(
            {*self.live, self.claims.daemon.me.instance} - {gone},
            key=lambda i: hashlib.sha256(f"{name}\0{i}".encode()).digest(),
        )
        me = self.claims.daemon.me.instance
        return ranked.index(me) if me in ranked else 0

    def _probe(self, head: Head) -> int:
        """Probe a home by a handshake on its link port.

        Returns:
            How many looks the probe counts for against it; 0 when it lives.
        """
        try:
            peer = probe(
                head.address,
                self.claims.daemon.me,
                self.claims.daemon.keys,
                PROBE_TIMEOUT_S,
            )
        except ConnectionRefusedError:
            return PROBE_REFUSED
        except (OSError, LacewingdockError):
            return PROBE_SILENT
        if peer.incarnation != head.incarnation:
            return PROBE_REPLACED
        return 0

    def take(self, number: int, stored: Stored) -> None:
        """Take a partition over from the head as read."""
        service = self.claims.configured()
        if service is None:
            return
        daemon = self.claims.daemon
        me = daemon.me
        address = f"{daemon.settings.host}:{self.claims.peers.port}"
        try:
            self.claims.partitions[number] = take_partition(
                self.claims.daemon.store,
                stored,
                Head(
                    me.instance,
                    me.incarnation,
                    address,
                    0,
                    partitions=self.claims.count,
                ),
                service.key_window_s,
            )
        except LacewingdockError as error:
            log.info("not taken", partition=stored.name, error=error.detail)
            return
        self.probes.pop(number, None)
        self.claims.on_change()


def _gone(head: Head | None) -> str:
    """Return who does not count among the takers: the home it has or had."""
    return (head.home or head.left) if head else ""


def take_partition(
    store: ObjectStore, stored: Stored, me: Head, window_s: float
) -> Partition:
    """Become the home of a partition.

    One conditional update seals the old home out: its next commit expects
    the revision that this one replaces. The older records are read before:
    a home in name that lacks them could serve nobody and keep others out.

    Args:
        store: The platform.
        stored: The head as read, named "SERVICE/NUMBER".
        me: Home, incarnation and address of this process.
        window_s: Seconds that a key is remembered.

    Raises:
        LacewingdockError: CONFLICT when another was first, or the old home
            was alive after all; PLATFORM_UNAVAILABLE.
    """
    old = msgspec.convert(stored.value, Head) if stored.value else None
    segments: list[SegmentRef] = old.segments if old else []
    older = [(ref.name, read_segment(store, ref.name)) for ref in segments]
    head = replace(
        me,
        term=old.term + 1 if old else 1,
        records=old.records if old else [],
        segments=segments,
    )
    written = store.put(
        COLLECTION_CLAIMS,
        stored.name,
        msgspec.to_builtins(head),
        stored.revision,
        "claims-take",
    )
    partition = Partition(store, written, head, window_s)
    for name, records in older:
        partition.index.add(name, records)
    log.info(
        "partition taken",
        partition=stored.name,
        term=head.term,
        keys=partition.index.count() + len(head.records),
        unresolved=sum(r.state == STATE_CLAIMED for r in head.records),
        done=sum(r.state == STATE_DONE for r in head.records),
    )
    return partition
