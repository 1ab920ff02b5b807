"""Support for bills that a sidecar holds until they are in the ledger."""

import hashlib
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from lacewingdock.components.billing.const import (
    MAX_BILLS_PER_MESSAGE,
    MAX_HELD,
    RESEND_TIMEOUT_S,
)
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Bills, BillsKept


@dataclass(slots=True)
class HeldBill:
    """A bill that is not confirmed to be in the ledger.

    Attributes:
        row: The bill's encoded row.
        log: Name of the only log that the bill may be written to; empty until
            the bill is assigned to an entry for the first time.
        after: Slot of the log; no slot before it contains the bill.
        link: The link that the bill was last assigned to; None when no entry
            is assigned.
        offered: Monotonic time in seconds of that assignment.
    """

    row: bytes
    log: str = ""
    after: int = 0
    link: Link | None = None
    offered: float = 0.0


@dataclass(slots=True)
class LogWriter:
    """An entry that has announced its log.

    Attributes:
        link: The link to the entry.
        log: Name of the log that the entry writes.
        slot: The log's first free slot in the entry's latest announcement.
    """

    link: Link
    log: str
    slot: int


@dataclass(slots=True)
class _Batch:
    """Bills of one log that are sent in one message.

    Attributes:
        after: Slot of the log; no slot before it contains any of the bills.
        attempts: Ids of the bills' attempts.
        rows: The bills' rows, in the same order.
    """

    after: int
    attempts: list[str] = field(default_factory=list)
    rows: list[bytes] = field(default_factory=list)


class Outbox:
    """Bills of this sidecar's runs, and the entries that hold copies.

    A bill is bound to a log when it is first assigned to an entry, and is
    never written to another log. All entries that receive the bill later
    therefore compete for the same slots, and only one of them adds it
    (`AppendLog`).

    Attributes:
        instance: Name of this instance.
        failure_domain: Failure domain of this instance.
        clock: Returns monotonic seconds.
        held: The bills by attempt id.
        log_writers: The entries that announced their log, by link.
        kept: Number of held bills that were confirmed in the ledger.
    """

    __slots__ = (
        "_lock",
        "clock",
        "failure_domain",
        "held",
        "instance",
        "kept",
        "log_writers",
    )

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialize without bills or entries."""
        self.instance = instance
        self.failure_domain = failure_domain
        self.clock = clock
        self.held: dict[str, HeldBill] = {}
        self.log_writers: dict[Link, LogWriter] = {}
        self.kept = 0
        self._lock = threading.Lock()

    def has_room(self) -> bool:
        """Return whether the bill of another run fits below `MAX_HELD`."""
        return len(self.held) < MAX_HELD

    def record(self, attempt: str, row: bytes) -> None:
        """Add a bill and send it to an entry at once.

        Called before the end of the answer is sent: once the caller has its
        complete answer, a copy of the bill is on its way to an entry, so that
        the bill outlives this process.
        """
        with self._lock:
            self.held[attempt] = HeldBill(row)
            batches = self._assign_batches([attempt])
        self._send(batches, urgent=False)

    def on_kept(self, link: Link, message: BillsKept) -> None:
        """Record an entry's log and drop the bills it has acknowledged."""
        with self._lock:
            self.log_writers[link] = LogWriter(link, message.log, message.slot)
            for attempt in message.attempts:
                self.kept += self.held.pop(attempt, None) is not None

    def on_close(self, link: Link) -> None:
        """Send the bills of a disconnected entry to another one at once.

        Until then this process may hold the only copy. If the disconnected
        entry is alive, both entries compete for the log's next slot, which
        costs one read.
        """
        with self._lock:
            self.log_writers.pop(link, None)
            unassigned = [a for a, h in self.held.items() if h.link is link]
            for attempt in unassigned:
                self.held[attempt].link = None
            batches = self._assign_batches(unassigned)
        self._send(batches, urgent=False)

    def sweep(self, urgent: bool = False) -> None:
        """Send bills that have no entry or are overdue for acknowledgement.

        Args:
            urgent: Whether this sidecar is about to stop: all held bills are
                sent again, and the entries write them at once.
        """
        now = self.clock()
        with self._lock:
            due = [
                a for a, h in self.held.items() if urgent or self._due(h, now)
            ]
            batches = self._assign_batches(due)
        self._send(batches, urgent)

    def _due(self, held: HeldBill, now: float) -> bool:
        return held.link is None or now - held.offered > RESEND_TIMEOUT_S

    def _assign_batches(
        self, attempts: Iterable[str]
    ) -> dict[tuple[Link, str], list[_Batch]]:
        """Assign each bill to an entry and group the bills into messages.

        Bills stay unassigned while no entry has announced its log.
        """
        now = self.clock()
        batches: dict[tuple[Link, str], list[_Batch]] = {}
        for attempt in attempts:
            held = self.held[attempt]
            writer = self._choose_writer(held)
            if writer is None:
                continue
            if not held.log:
                held.log, held.after = writer.log, writer.slot
            held.link, held.offered = writer.link, now
            group = batches.setdefault((writer.link, held.log), [])
            if not group or len(group[-1].rows) >= MAX_BILLS_PER_MESSAGE:
                group.append(_Batch(held.after))
            batch = group[-1]
            batch.after = min(batch.after, held.after)
            batch.attempts.append(attempt)
            batch.rows.append(held.row)
        return batches

    def _choose_writer(self, held: HeldBill) -> LogWriter | None:
        """Choose the entry that a bill is sent to.

        The writer of the bill's log is chosen if it is linked. Otherwise, as
        for a new bill, an entry of another failure domain is preferred, so
        that the loss of one domain doesn't destroy both copies. Among those,
        rendezvous hashing keeps a sidecar's choice stable, so that few
        sidecars depend on one log.
        """
        log_writers = list(self.log_writers.values())
        for writer in log_writers:
            if held.log and writer.log == held.log:
                return writer
        return max(log_writers, key=self._preference, default=None)

    def _preference(self, writer: LogWriter) -> tuple[bool, bytes]:
        peer = writer.link.peer
        text = f"{self.instance}\0{peer.instance}"
        elsewhere = peer.failure_domain != self.failure_domain
        return elsewhere, hashlib.sha256(text.encode()).digest()

    def _send(
        self, batches: dict[tuple[Link, str], list[_Batch]], urgent: bool
    ) -> None:
        for (link, log), group in batches.items():
            for batch in group:
                message = Bills(log, batch.after, urgent, batch.rows)
                if not link.send(message):
                    self._unassign(link, batch.attempts)

    def _unassign(self, link: Link, attempts: list[str]) -> None:
        """Leave unsent bills to the next sweep.

        Retrying here would delay the answers behind an unresponsive entry.
        """
        with self._lock:
            for attempt in attempts:
                held = self.held.get(attempt)
                if held is not None and held.link is link:
                    held.link = None
