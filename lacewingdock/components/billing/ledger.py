"""Support for bills that are pending at an entry until they are written."""

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
    """Bills that are waiting to be written to one log.

    Attributes:
        after: Slot of the log; no slot before it contains any of the bills.
        rows: The rows by attempt id.
        links: The link over which each bill came last, by attempt id. The
            acknowledgement is sent over this link.
    """

    after: int
    rows: dict[str, bytes] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)


def log_name(instance: str, incarnation: str, now: float) -> str:
    """Return the name of a process's log for the UTC day of `now`."""
    day = time.strftime("%Y%m%d", time.gmtime(now))
    return f"{day}.{instance}.{incarnation}"


class Ledger:
    """The logs that this entry writes: its own and those of other entries.

    Logs of other entries are written for bills that their entry may have
    left unwritten.

    Attributes:
        store: The platform's object store.
        instance: Name of this instance.
        incarnation: Identifies this start of the instance.
        clock: Returns wall-clock seconds; used only to name the day's log.
        own: Name of the log that is announced for new bills.
        logs: The logs that are being written, by name.
        pending: The bills that are waiting to be written, by log name.
        written: Number of rows that were confirmed in the ledger.
        declined: Number of bills declined because `MAX_PENDING` was reached.
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
        """Initialize with an empty log for the current day."""
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
        """Return the message that names the log and first slot of new bills."""
        own = self.logs.get(self.own)
        return BillsKept(self.own, own.slot if own else 0, [])

    def count(self) -> int:
        """Return the number of pending bills."""
        return sum(len(p.rows) for p in tuple(self.pending.values()))

    def receive(self, link: Link, message: Bills) -> None:
        """Add a sidecar's bills to the pending ones.

        A bill that is pending already is only updated. Above `MAX_PENDING`
        the whole message is declined: its bills aren't lost, as the sidecar
        still holds them, but there is only that one copy.

        Raises:
            LacewingdockError: BAD_LINK when a row is not a bill.
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
        """Return whether any pending bill came over a link."""
        with self._lock:
            return any(
                link is pending_link
                for pending in self.pending.values()
                for pending_link in pending.links.values()
            )

    def rotate(self) -> bool:
        """Switch to the current day's log; return whether it is a new one."""
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
        """Write the pending bills; return whether all are in the ledger."""
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
            log.warning(
                "cannot write log to ledger", log=name, error=error.detail
            )
            done = False
        self._acknowledge(name, [a for a in rows if a in target.slot_by_key])
        target.evict_old_keys()
        return done

    def _acknowledge(self, name: str, attempts: list[str]) -> None:
        """Drop bills that are in the ledger and acknowledge them."""
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
            ErrorKind.BAD_LINK, f"invalid row in a message of bills: {error}"
        ) from error
