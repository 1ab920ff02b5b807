"""Support for running a request that may not be repeated at most once."""

import contextlib
import hashlib
from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass
from typing import Final

import msgspec
import prometheus_client

from lacewingdock.components.claims.const import (
    ADMIT_TIMEOUT_S,
    FAILED_PROBES,
    LOOK_S,
    MAX_RECORDED_BODY_BYTES,
    NAME,
    PROBE_TIMEOUT_S,
    STATE_DONE,
    STATE_NOT_RUN,
)
from lacewingdock.components.claims.partition import Partition, take_partition
from lacewingdock.components.claims.record import (
    Head,
    Record,
    body_digest,
    key_digest,
    partition_of,
)
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.peers import Peers
from lacewingdock.const import (
    COLLECTION_CLAIMS,
    RAN_NO,
    RAN_UNKNOWN,
    ROLE_SIDECAR,
)
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.handshake import dial
from lacewingdock.links.messages import Finish
from lacewingdock.platform.store import Stored
from lacewingdock.world.run import Run

log = get_logger(NAME)

__all__ = ["Claims", "Duplicate", "Recorded", "partition_of", "setup"]

# Looks that an unowned partition is left to its preferred taker.
PATIENCE: Final = 3


@dataclass(slots=True)
class Duplicate:
    """The request repeats one that this process runs or ran."""

    first: Run


@dataclass(slots=True)
class Recorded:
    """The request repeats one whose outcome is in the platform."""

    finish: Finish
    body: bytes


class Claims:
    """The claim partitions of a service that have their home here.

    Attributes:
        daemon: The daemon.
        peers: Links; their port is where other sidecars probe this home.
        configuration: The configuration in force.
        service: Name of the service.
        partitions: The partitions by number.
        probes: Failed probes in a row by partition number.
        on_change: Called when partitions were taken or lost.
    """

    __slots__ = (
        "configuration",
        "daemon",
        "on_change",
        "partitions",
        "peers",
        "probes",
        "service",
    )

    def __init__(
        self,
        daemon: Daemon,
        peers: Peers,
        configuration: Configuration,
        service: str,
    ) -> None:
        """Start without partitions."""
        self.daemon = daemon
        self.peers = peers
        self.configuration = configuration
        self.service = service
        self.partitions: dict[int, Partition] = {}
        self.probes: dict[int, int] = {}
        self.on_change: Callable[[], None] = lambda: None
        held = prometheus_client.Gauge(
            "lacewingdock_claim_partitions",
            "Claim partitions that have their home here",
            registry=daemon.metrics,
        )
        held.set_function(lambda: float(len(self.homes())))

    def start(self) -> None:
        """Start looking after the service's partitions."""
        self.daemon.every(LOOK_S, self._look)

    def homes(self) -> list[str]:
        """Name the partitions held here, "SERVICE/NUMBER@TERM"."""
        return [
            f"{p.name}@{p.head.term}"
            for p in tuple(self.partitions.values())
            if not p.lost
        ]

    def admit(self, run: Run) -> Duplicate | Recorded | None:
        """Claim the right to run a request.

        Returns:
            None when this run has the claim, kept in the platform; else what
            the request repeats.

        Raises:
            LacewingdockError: The request does not run now; KEY_REUSED,
                OUTCOME_UNKNOWN, NOT_HOME or PLATFORM_UNAVAILABLE.
        """
        attempt = run.attempt
        if not attempt.key:
            raise LacewingdockError(
                ErrorKind.KEY_REQUIRED,
                f"{attempt.method} {attempt.path} may not be repeated",
            )
        partition = self._partition(attempt.workspace, attempt.key)
        record = Record(
            key_digest(attempt.workspace, attempt.key), body_digest(attempt)
        )
        match partition.claim(record, run):
            case Run() as first:
                return Duplicate(first)
            case Record() as known:
                return _answer_from(known, record)
            case None:
                self._commit(partition, record)
                return None

    def _partition(self, workspace: str, key: str) -> Partition:
        service = self.configuration.world.services.get(self.service)
        if service is None:
            raise LacewingdockError(
                ErrorKind.UNKNOWN_SERVICE, f"{self.service} is not configured"
            )
        number = partition_of(workspace, key, service.partitions)
        partition = self.partitions.get(number)
        if partition is None or partition.lost:
            raise LacewingdockError(
                ErrorKind.NOT_HOME, f"not home to partition {number}"
            )
        return partition

    def _commit(self, partition: Partition, record: Record) -> None:
        future, must_write = partition.commit(record)
        if must_write:
            self.daemon.spawn(self._write, partition)
        try:
            future.result(ADMIT_TIMEOUT_S)
        except FutureTimeout:
            # Whoever resolves the future later finds it cancelled or finds
            # nobody waiting; either way this request is not run.
            partition.release(record.key)
            raise LacewingdockError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                "the claim was not kept in time",
                RAN_NO,
            ) from None
        except LacewingdockError:
            partition.release(record.key)
            raise

    def _write(self, partition: Partition) -> None:
        partition.write_all()
        if partition.lost:
            self._drop(partition)

    def record(self, run: Run) -> None:
        """Keep the outcome of a claimed run, for callers that ask again."""
        attempt = run.attempt
        try:
            partition = self._partition(attempt.workspace, attempt.key)
        except LacewingdockError:
            return
        key = key_digest(attempt.workspace, attempt.key)
        record = Record(key, body_digest(attempt))
        match run.outcome:
            case Finish() as finish:
                body = b"".join(run.chunks)
                small = len(body) <= MAX_RECORDED_BODY_BYTES
                record.state = STATE_DONE
                record.status = finish.status
                record.content_type = finish.content_type
                record.answer = body if small else None
            case _ if not run.executed:
                record.state = STATE_NOT_RUN
                partition.release(key)
            case _:
                return
        if partition.note(record):
            self.daemon.spawn(self._write, partition)

    def _look(self) -> None:
        """Take partitions that have no home or a dead one."""
        if self.daemon.leaving.is_set():
            return
        service = self.configuration.world.services.get(self.service)
        if service is None:
            return
        heads = {
            stored.name: stored
            for stored in self.daemon.store.list_all(
                COLLECTION_CLAIMS, "claims-look", f"{self.service}/"
            ).objects
        }
        live = self._live_sidecars()
        for number in range(service.partitions):
            name = f"{self.service}/{number}"
            self._look_at(number, heads.get(name, Stored(name, 0)), live)

    def _live_sidecars(self) -> list[str]:
        return [
            i.name
            for i in self.daemon.store.instances()
            if i.role == ROLE_SIDECAR
            and i.pool == self.service
            and i.state == "live"
        ]

    def _look_at(self, number: int, stored: Stored, live: list[str]) -> None:
        head = msgspec.convert(stored.value, Head) if stored.value else None
        if head and head.incarnation == self.daemon.me.incarnation:
            return
        rank = self._rank(stored.name, live, head.home if head else "")
        if head and head.home and self._alive(head):
            self.probes.pop(number, None)
            return
        failed = self.probes[number] = self.probes.get(number, 0) + 1
        needed = rank * PATIENCE
        if head and head.home:
            needed += FAILED_PROBES
        if failed > needed:
            self._take(number, stored)

    def _rank(self, name: str, live: list[str], home: str) -> int:
        """Place of this sidecar among those that may take a partition."""
        ranked = sorted(
            {*live, self.daemon.me.instance} - {home},
            key=lambda i: hashlib.sha256(f"{name}\0{i}".encode()).digest(),
        )
        me = self.daemon.me.instance
        return ranked.index(me) if me in ranked else 0

    def _alive(self, head: Head) -> bool:
        """Probe a home by a handshake on its link port."""
        try:
            link = dial(
                head.address,
                self.daemon.me,
                self.daemon.keys,
                PROBE_TIMEOUT_S,
            )
        except (OSError, LacewingdockError):
            return False
        alive = link.peer.incarnation == head.incarnation
        link.dispose()
        return alive

    def _take(self, number: int, stored: Stored) -> None:
        me = self.daemon.me
        address = f"{self.daemon.settings.host}:{self.peers.port}"
        try:
            self.partitions[number] = take_partition(
                self.daemon.store,
                stored.name,
                stored,
                Head(me.instance, me.incarnation, address, 0),
            )
        except LacewingdockError as error:
            log.info("not taken", partition=stored.name, error=error.detail)
            return
        self.probes.pop(number, None)
        self.on_change()

    def _drop(self, partition: Partition) -> None:
        log.warning("partition lost", partition=partition.name)
        for number, held in tuple(self.partitions.items()):
            if held is partition:
                del self.partitions[number]
        self.on_change()

    def unload(self) -> None:
        """Leave every partition, so that others need not find out."""
        for partition in tuple(self.partitions.values()):
            with contextlib.suppress(LacewingdockError):
                partition.write_all()
                partition.leave()
        self.partitions.clear()


def _answer_from(known: Record, asked: Record) -> Recorded:
    """Answer a repeated request from its record."""
    if known.body != asked.body:
        raise LacewingdockError(
            ErrorKind.KEY_REUSED, "the key belongs to another request", RAN_NO
        )
    if known.state == STATE_DONE and known.answer is not None:
        finish = Finish("", 1, known.status, known.content_type)
        return Recorded(finish, known.answer)
    if known.state == STATE_DONE:
        raise LacewingdockError(
            ErrorKind.ANSWER_GONE, "it ran; its answer was too large to keep"
        )
    raise LacewingdockError(
        ErrorKind.OUTCOME_UNKNOWN,
        "its home died while it may have been running",
        RAN_UNKNOWN,
    )


def setup(
    daemon: Daemon, peers: Peers, configuration: Configuration, service: str
) -> Claims:
    """Set the claims up."""
    claims = Claims(daemon, peers, configuration, service)
    daemon.add(NAME, claims)
    return claims
