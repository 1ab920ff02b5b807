"""Support for running a request that may not be repeated at most once."""

import contextlib
import time
from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass

import prometheus_client

from lacewingdock.components.claims.const import (
    ADMIT_TIMEOUT_S,
    LEAVE_S,
    LOOK_S,
    MAX_RECORDED_BODY_BYTES,
    NAME,
    PAUSE_S,
    RETRY_S,
    STATE_DONE,
    TICK_S,
)
from lacewingdock.components.claims.partition import (
    Claim,
    Partition,
)
from lacewingdock.components.claims.record import (
    Record,
    body_digest,
    key_digest,
    partition_of,
)
from lacewingdock.components.claims.takeover import Takeover
from lacewingdock.components.claims.tickets import Tickets, parse_ticket
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.peers import Peers
from lacewingdock.const import (
    RAN_UNKNOWN,
)
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.messages import Finish
from lacewingdock.world.objects import Service
from lacewingdock.world.run import Run

log = get_logger(NAME)

__all__ = ["Claims", "Duplicate", "Recorded", "partition_of", "setup"]


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
        count: Number of partitions; fixed once a head is written.
        tickets: Runs of keys that only this process may run.
        takeover: Takes partitions that have no home.
        held: The claim of each admitted run, and its partition.
        ticked: Monotonic time of the last tick.
        resumed: Monotonic time when the last pause was noticed.
        on_change: Called when partitions were taken or lost.
    """

    __slots__ = (
        "configuration",
        "count",
        "daemon",
        "held",
        "on_change",
        "partitions",
        "peers",
        "resumed",
        "service",
        "takeover",
        "ticked",
        "tickets",
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
        self.count = 0
        self.tickets = Tickets(daemon.me.instance, daemon.me.incarnation)
        self.takeover = Takeover(self)
        self.held: dict[Run, tuple[Partition, Claim]] = {}
        self.ticked = time.monotonic()
        self.resumed = 0.0
        self.on_change: Callable[[], None] = lambda: None
        held = prometheus_client.Gauge(
            "lacewingdock_claim_partitions",
            "Claim partitions that have their home here",
            registry=daemon.metrics,
        )
        held.set_function(lambda: float(len(self.homes())))

    def start(self) -> None:
        """Start looking after the service's partitions."""
        self.daemon.every(TICK_S, self.tick)
        self.daemon.every(LOOK_S, self.takeover.look_if_due)
        self.daemon.every(RETRY_S, self.write_again)
        self.daemon.on_leave.append(self._leave_soon)

    def homes(self) -> list[str]:
        """Name the partitions held here, "SERVICE/NUMBER@TERM"."""
        return [
            f"{p.name}@{p.head.term}"
            for p in tuple(self.partitions.values())
            if not p.lost and not p.closing
        ]

    def admit(self, run: Run) -> Duplicate | Recorded | None:
        """Claim the right to run a request.

        Whatever comes of it, `finish` must be called once the run's answer
        has ended.

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
        ticket = parse_ticket(attempt.key)
        if ticket is not None:
            self._check_tickets(run)
            first = self.tickets.claim(ticket, run)
            return None if first is run else Duplicate(first)
        partition = self._partition(attempt.workspace, attempt.key)
        record = Record(
            key_digest(attempt.workspace, attempt.key), body_digest(attempt)
        )
        match partition.claim(record, run):
            case Run() as first:
                return Duplicate(first)
            case Record() as known:
                return _answer_from(known)
            case Claim() as claim:
                self.held[run] = partition, claim
                self._commit(partition, claim)
                return None

    def _check_tickets(self, run: Run) -> None:
        """Refuse a ticket where the contract does not know them."""
        attempt = run.attempt
        path = attempt.path.partition("?")[0]
        operation = self.configuration.world.operation(
            self.service, attempt.method, path
        )
        if operation.on_outage != "tickets":
            raise LacewingdockError(
                ErrorKind.BAD_REQUEST,
                f"{attempt.method} {path} takes no tickets",
            )

    def configured(self) -> Service | None:
        """Return the service as configured now."""
        return self.configuration.world.services.get(self.service)

    def _partition(self, workspace: str, key: str) -> Partition:
        if not self.count:
            raise LacewingdockError(ErrorKind.NOT_HOME, "not home yet")
        number = partition_of(workspace, key, self.count)
        partition = self.partitions.get(number)
        if partition is None or partition.lost:
            raise LacewingdockError(
                ErrorKind.NOT_HOME, f"not home to partition {number}"
            )
        return partition

    def _commit(self, partition: Partition, claim: Claim) -> None:
        self._write(partition)
        try:
            claim.kept.result(ADMIT_TIMEOUT_S)
        except FutureTimeout:
            # The write under way may still take effect; `finish` frees the
            # key, and the platform then learns that it did not run.
            raise LacewingdockError(
                ErrorKind.PLATFORM_UNAVAILABLE, "the claim was not kept in time"
            ) from None

    def _write(self, partition: Partition) -> None:
        """See that what is queued gets written."""
        if partition.start_writing():
            self.daemon.spawn(self._flush, partition)

    def _flush(self, partition: Partition) -> None:
        partition.flush()
        if partition.lost:
            self.drop(partition)

    def vouches(self, run: Run) -> bool:
        """Tell whether this home knows that a request has not run.

        "Not run" is said of the key, not of one attempt: its caller may have
        sent it before, through another entry, to whoever was home then. Only
        the partition's home knows, and only while it knows that it is home.
        """
        attempt = run.attempt
        ticket = parse_ticket(attempt.key)
        if ticket is not None:
            return self.tickets.is_new(ticket, run)
        try:
            partition = self._partition(attempt.workspace, attempt.key)
        except LacewingdockError:
            return False
        key = key_digest(attempt.workspace, attempt.key)
        return partition.is_new(key, run) and self._is_sure(partition)

    def _is_sure(self, partition: Partition) -> bool:
        """Tell whether no takeover can have passed this process by.

        Others take over only from a home that answers no probe for longer
        than PAUSE_S. A home that was paused that long, and thawed, believes
        to be home still: until the platform has said so after the pause, a
        key that is new here may have run at the next home.
        """
        self.tick()
        return partition.verified >= self.resumed

    def tick(self) -> None:
        """Notice that this process was paused."""
        now = time.monotonic()
        if now - self.ticked > PAUSE_S:
            self.resumed = now
        self.ticked = now

    def finish(self, run: Run) -> None:
        """Keep what came of an admitted run, after its answer has ended.

        The refusal comes before the key is free again: in the other order
        the next attempt could run while this one still says "not run".
        """
        self.tickets.finish(run)
        partition, claim = self.held.pop(run, (None, None))
        if partition is None or claim is None:
            return
        if run.executed:
            partition.note(claim, _outcome(run, claim.record))
        else:
            partition.release(claim)
        self._write(partition)

    def write_again(self) -> None:
        """Write what earlier writes left behind, and forget ended runs."""
        self.tickets.sweep()
        for partition in tuple(self.partitions.values()):
            partition.sweep()
            self._write(partition)

    def drop(self, partition: Partition) -> None:
        """Let a partition go that another has taken over."""
        log.warning("partition lost", partition=partition.name)
        for number, held in tuple(self.partitions.items()):
            if held is partition:
                del self.partitions[number]
        self.on_change()

    def _leave_soon(self) -> None:
        """Give each partition up as soon as its own runs have ended."""
        for partition in tuple(self.partitions.values()):
            partition.close()
            end = time.monotonic() + self.daemon.settings.grace_s
            self.daemon.spawn(self._leave, partition, end)

    def _leave(self, partition: Partition, end: float) -> None:
        """Wait for a partition's runs to end, then give it up.

        Leaving sooner would lose their outcomes: whoever asks again would be
        told "unknown" of a request that ran to its end.
        """
        while partition.active() and time.monotonic() < end:
            time.sleep(TICK_S / 10)
        with contextlib.suppress(LacewingdockError):
            partition.leave()

    def unload(self) -> None:
        """Leave every partition, so that others need not find out."""
        end = time.monotonic() + LEAVE_S
        for partition in tuple(self.partitions.values()):
            self._leave(partition, end)
        self.partitions.clear()


def _outcome(run: Run, claimed: Record) -> Record | None:
    """Build the record of a run that reached the upstream."""
    if not isinstance(run.outcome, Finish):
        return None
    finish = run.outcome
    with run.lock:
        chunks = list(run.chunks)
    body = b"".join(chunks)
    # Pieces of an ended answer may have been dropped to bound memory.
    is_whole = len(chunks) == finish.chunks
    is_small = len(body) <= MAX_RECORDED_BODY_BYTES
    return Record(
        claimed.key,
        claimed.body,
        STATE_DONE,
        status=finish.status,
        content_type=finish.content_type,
        answer=body if is_whole and is_small else None,
    )


def _answer_from(known: Record) -> Recorded:
    """Answer a repeated request from its record."""
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
