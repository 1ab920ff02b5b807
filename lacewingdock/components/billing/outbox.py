"""Support for the sidecar's side: bills held until the ledger has them."""

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
    """A bill that isn't known to be in the ledger.

    Attributes:
        row: The bill's row.
        log: The one log it may ever be written to; empty until it was first
            offered.
        after: It is in no slot of the log before this one.
        link: The link it was offered over last.
        offered: Monotonic time of that offer.
    """

    row: bytes
    log: str = ""
    after: int = 0
    link: Link | None = None
    offered: float = 0.0


@dataclass(slots=True)
class LogWriter:
    """An entry that takes bills.

    Attributes:
        link: The link to it.
        log: The log that it writes.
        slot: The log's first free slot when the entry last said so.
    """

    link: Link
    log: str
    slot: int


@dataclass(slots=True)
class _Batch:
    """Bills that go over one link together, by their log."""

    after: int
    attempts: list[str] = field(default_factory=list)
    rows: list[bytes] = field(default_factory=list)


class Outbox:
    """Bills of this sidecar's runs, and the entries that hold them too.

    A bill is bound to a log with its first offer and is never written to
    another. So whichever entries it is offered to later, they meet at the
    same slots, and only one of them puts it in (`AppendLog`).

    Attributes:
        instance: Name of this instance.
        failure_domain: Where it stands.
        clock: Returns monotonic seconds.
        held: The bills by attempt id.
        holders: Entries that said which log they write, by link.
        kept: Bills that the ledger was seen to have, counted.
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
        """Start with nothing held."""
        self.instance = instance
        self.failure_domain = failure_domain
        self.clock = clock
        self.held: dict[str, HeldBill] = {}
        self.log_writers: dict[Link, LogWriter] = {}
        self.kept = 0
        self._lock = threading.Lock()

    def has_room(self) -> bool:
        """Tell whether another run may start; its bill must find a place."""
        return len(self.held) < MAX_HELD

    def record(self, attempt: str, row: bytes) -> None:
        """Take a bill in and offer it at once.

        Called before the answer's end is sent: once a caller has its whole
        answer, its bill is on the way to a second place, and this process
        may die.
        """
        with self._lock:
            self.held[attempt] = HeldBill(row)
            batches = self._assign_batches([attempt])
        self._send(batches, urgent=False)

    def on_kept(self, link: Link, message: BillsKept) -> None:
        """Take an entry's word on its log and on what the ledger has."""
        with self._lock:
            self.log_writers[link] = LogWriter(link, message.log, message.slot)
            for attempt in message.attempts:
                self.kept += self.held.pop(attempt, None) is not None

    def on_close(self, link: Link) -> None:
        """Offer what a lost link's entry holds to another, at once.

        Until then this process is the only place that is known of. Should
        the entry live, the two meet at the log's next slot, which costs a
        read.
        """
        with self._lock:
            self.log_writers.pop(link, None)
            unassigned = [a for a, h in self.held.items() if h.link is link]
            for attempt in unassigned:
                self.held[attempt].link = None
            batches = self._assign_batches(unassigned)
        self._send(batches, urgent=False)

    def sweep(self, urgent: bool = False) -> None:
        """Offer what nobody holds, or nobody answered for.

        Args:
            urgent: Whether this sidecar is about to end: what waits is
                offered again and the entries write it now.
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
        """Choose a holder for each bill and note the offer."""
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
        """Choose who holds a bill.

        The writer of its log, if it is linked; a first offer goes to an
        entry of another failure domain, so that the loss of one doesn't take
        both places. Among those the choice is steady, so that few sidecars
        depend on one log.
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
        """Let the next sweep try again; a stuck entry must not hold answers."""
        with self._lock:
            for attempt in attempts:
                held = self.held.get(attempt)
                if held is not None and held.link is link:
                    held.link = None
