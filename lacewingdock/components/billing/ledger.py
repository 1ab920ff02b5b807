"""Support for the entry's side: bills pending until the ledger has them."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from lacewingdock.components.billing.const import MAX_PENDING
from lacewingdock.components.billing.record import decode_attempt_id
from lacewingdock.const import COLLECTION_LEDGER
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.append_log import AppendLog, SlotStore
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Bills, BillsKept

log = get_logger("billing")


@dataclass(slots=True)
class PendingBills:
    """Bills that wait to be written to one log.

    Attributes:
        after: None of them is in a slot before this one.
        rows: The rows by attempt id.
        links: Who offered each, to be told when it is kept.
    """

    after: int
    rows: dict[str, bytes] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)


def log_name(instance: str, incarnation: str, now: float) -> str:
    """Return the name of the log that a process writes on a day (UTC)."""
    day = time.strftime("%Y%m%d", time.gmtime(now))
    return f"{day}.{instance}.{incarnation}"


class Ledger:
    """The logs that this entry writes, its own and what others left.

    Attributes:
        store: The platform.
        instance: Name of this instance.
        incarnation: Which start of it.
        clock: Returns wall-clock seconds; only names the day's log.
        own: Name of the log that new bills are bound to.
        logs: Logs that are being written.
        pending: What waits, by log.
        written: Rows seen in the ledger, counted.
        declined: Offers not taken for want of room, counted.
    """

    __slots__ = (
        "_lock",
        "_writing",
        "clock",
        "declined",
        "incarnation",
        "instance",
        "logs",
        "own",
        "pending",
        "store",
        "written",
    )

    def __init__(
        self,
        store: SlotStore,
        instance: str,
        incarnation: str,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Start with an empty log of its own."""
        self.store = store
        self.instance = instance
        self.incarnation = incarnation
        self.clock = clock
        self.own = log_name(instance, incarnation, clock())
        self.logs: dict[str, AppendLog] = {self.own: self._open(self.own, 0)}
        self.pending: dict[str, PendingBills] = {}
        self.written = 0
        self.declined = 0
        self._lock = threading.Lock()
        self._writing = threading.Lock()

    def announcement(self) -> BillsKept:
        """Say which log new bills go to, and from which slot on."""
        own = self.logs.get(self.own)
        return BillsKept(self.own, own.slot if own else 0, [])

    def count(self) -> int:
        """Count the bills that wait."""
        return sum(len(p.rows) for p in tuple(self.pending.values()))

    def receive(self, link: Link, message: Bills) -> None:
        """Take bills in; what is here already is only noted again.

        Without room the offer is left: the sidecar still has the bill, so
        nothing is lost, but it is in one place.

        Raises:
            LacewingdockError: BAD_LINK when a row is no bill.
        """
        rows = _by_attempt(message.rows)
        with self._lock:
            if self.count() + len(rows) > MAX_PENDING:
                self.declined += len(rows)
                return
            pending = self.pending.setdefault(
                message.log, PendingBills(message.after)
            )
            pending.after = min(pending.after, message.after)
            for attempt, row in rows.items():
                pending.rows[attempt] = row
                pending.links[attempt] = link

    def has_bills_from(self, link: Link) -> bool:
        """Tell whether bills wait that came over a link."""
        with self._lock:
            return any(
                link is pending_link
                for pending in self.pending.values()
                for pending_link in pending.links.values()
            )

    def rotate(self) -> bool:
        """Begin the day's log; tells whether it is a new one."""
        name = log_name(self.instance, self.incarnation, self.clock())
        if name == self.own:
            return False
        with self._lock:
            self.logs[name] = self._open(name, 0)
            if self.own not in self.pending:
                del self.logs[self.own]
            self.own = name
        return True

    def flush(self) -> bool:
        """Write what waits; returns whether all of it is in the ledger."""
        with self._writing:
            done = True
            for name in tuple(self.pending):
                done = self._flush_log(name) and done
            return done

    def _flush_log(self, name: str) -> bool:
        with self._lock:
            pending = self.pending.get(name)
            rows = dict(pending.rows) if pending else {}
            after = pending.after if pending else 0
            target = self.logs.get(name)
            if target is None:
                target = self.logs[name] = self._open(name, after)
        try:
            target.append(rows, after)
            done = True
        except LacewingdockError as error:
            log.warning("ledger not written", log=name, error=error.detail)
            done = False
        self._acknowledge(name, [a for a in rows if a in target.seen])
        target.forget()
        return done

    def _acknowledge(self, name: str, attempts: list[str]) -> None:
        """Let go of bills that were seen in the ledger, and say so."""
        acknowledged: dict[Link, list[str]] = {}
        with self._lock:
            pending = self.pending[name]
            for attempt in attempts:
                pending.rows.pop(attempt, None)
                link = pending.links.pop(attempt, None)
                if link is not None:
                    acknowledged.setdefault(link, []).append(attempt)
            self.written += len(attempts)
            if not pending.rows:
                del self.pending[name]
                if name != self.own:
                    self.logs.pop(name, None)
        own = self.announcement()
        for link, kept in acknowledged.items():
            link.send(BillsKept(own.log, own.slot, kept))

    def _open(self, name: str, first: int) -> AppendLog:
        return AppendLog(
            self.store, COLLECTION_LEDGER, name, decode_attempt_id, first
        )


def _by_attempt(rows: list[bytes]) -> dict[str, bytes]:
    try:
        return {decode_attempt_id(row): row for row in rows}
    except msgspec.DecodeError as error:
        raise LacewingdockError(
            ErrorKind.BAD_LINK, f"a row is no bill: {error}"
        ) from error
