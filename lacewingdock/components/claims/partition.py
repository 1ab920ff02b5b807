"""Support for one claim partition at its home."""

import threading
import time
from concurrent.futures import Future
from dataclasses import dataclass, replace
from typing import Any, Final

import msgspec

from lacewingdock.components.claims.const import (
    COMMIT_GAP_S,
    MAX_OPEN_RECORDS,
    STATE_CLAIMED,
    WINDOW_S,
)
from lacewingdock.components.claims.record import Head, Record
from lacewingdock.const import COLLECTION_CLAIMS, RAN_NO
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.store import ObjectStore, Stored
from lacewingdock.world.run import Run

log = get_logger("claims")

CONFLICT_TRIES: Final = 3


@dataclass(slots=True)
class Pending:
    """A record that waits for the next commit.

    Attributes:
        record: The record.
        done: Resolved once the record is kept; None when nobody waits.
    """

    record: Record
    done: "Future[None] | None"


class Partition:
    """A partition whose home this process is, until a commit shows it isn't.

    Attributes:
        name: "SERVICE/NUMBER".
        store: The platform.
        head: The head as last written.
        revision: The head's revision in the platform.
        records: Every record of the window by key.
        runs: Runs of this process by key.
        lost: Whether another home took over.
        unsettled: Whether a write's effect is not known.
    """

    __slots__ = (
        "_committing",
        "_lock",
        "_pending",
        "head",
        "lost",
        "name",
        "records",
        "revision",
        "runs",
        "store",
        "unsettled",
    )

    def __init__(
        self,
        name: str,
        store: ObjectStore,
        stored: Stored,
        head: Head,
        records: dict[str, Record],
    ) -> None:
        """Start from a head that this process has just written."""
        self.name = name
        self.store = store
        self.head = head
        self.revision = stored.revision
        self.records = records
        self.runs: dict[str, Run] = {}
        self.lost = False
        self.unsettled = False
        self._pending: list[Pending] = []
        self._committing = False
        self._lock = threading.Lock()

    def claim(self, record: Record, run: Run) -> "Record | Run | None":
        """Look a key up and reserve it in this process if it is new.

        Returns:
            None when the key is new, and the caller must `commit` it; the
            run of this process that has it; or its record.
        """
        with self._lock:
            first = self.runs.get(record.key)
            known = self.records.get(record.key)
            if known is not None and known.body != record.body:
                return known
            if first is not None:
                return first
            if known is not None and known.state != "not_run":
                return known
            self.runs[record.key] = run
            return None

    def release(self, key: str) -> None:
        """Give up a reservation whose commit failed: it did not run."""
        with self._lock:
            self.runs.pop(key, None)

    def commit(self, record: Record) -> "tuple[Future[None], bool]":
        """Queue a claim; it may run once the future is resolved.

        Returns:
            The future, and whether the caller must run `write_all`.
        """
        future: Future[None] = Future()
        with self._lock:
            self._pending.append(Pending(record, future))
            must_write, self._committing = not self._committing, True
        return future, must_write

    def note(self, record: Record) -> bool:
        """Queue an outcome; nobody waits for it.

        Returns:
            Whether the caller must run `write_all`.
        """
        with self._lock:
            self.records[record.key] = record
            self._pending.append(Pending(record, None))
            must_write, self._committing = not self._committing, True
        return must_write

    def write_all(self) -> None:
        """Commit what is queued, batch by batch, until nothing is left.

        While one write is under way the next batch gathers; that bounds the
        writes a second whatever the rate of claims.
        """
        while True:
            with self._lock:
                batch, self._pending = self._pending, []
                if not batch:
                    self._committing = False
                    return
            try:
                self._write([pending.record for pending in batch])
                outcome = None
            except LacewingdockError as error:
                outcome = error
            except Exception as error:
                log.exception("commit failed")
                outcome = LacewingdockError(
                    ErrorKind.INTERNAL, repr(error), RAN_NO
                )
            self._resolve(batch, outcome)
            time.sleep(COMMIT_GAP_S)

    def _resolve(
        self, batch: list[Pending], error: LacewingdockError | None
    ) -> None:
        for pending in batch:
            if error is None:
                with self._lock:
                    self.records[pending.record.key] = pending.record
                if pending.done is not None:
                    pending.done.set_result(None)
            elif pending.done is not None:
                pending.done.set_exception(error)

    def _write(self, batch: list[Record]) -> None:
        for _ in range(CONFLICT_TRIES):
            if self.lost:
                raise LacewingdockError(
                    ErrorKind.NOT_HOME, f"{self.name} has another home"
                )
            if self.unsettled:
                self._settle()
            head = self._with(batch)
            try:
                stored = self._put(self.name, head, self.revision)
            except LacewingdockError as error:
                self.unsettled = True
                if error.kind is ErrorKind.CONFLICT:
                    continue
                # The claim may be in the store, but only this process could
                # run it, and it does not.
                raise LacewingdockError(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "the claim can't be kept",
                    RAN_NO,
                ) from error
            self.head, self.revision = head, stored.revision
            return
        raise LacewingdockError(
            ErrorKind.PLATFORM_UNAVAILABLE,
            "the claim can't be settled",
            RAN_NO,
        )

    def _settle(self) -> None:
        """Read the head back after a write whose effect isn't known.

        Either it is still ours, with or without that write, and the next
        write states all that counts; or another took over.
        """
        found = self.store.get(COLLECTION_CLAIMS, self.name, "claims-settle")
        head = msgspec.convert(found.value, Head) if found.value else None
        if (
            head is None
            or head.incarnation != self.head.incarnation
            or head.term != self.head.term
        ):
            self.lost = True
            raise LacewingdockError(
                ErrorKind.NOT_HOME, f"{self.name} has another home"
            )
        self.revision = found.revision
        self.unsettled = False

    def _with(self, batch: list[Record]) -> Head:
        """Build the next head, moving full records to a segment first."""
        head = self.head
        records = {record.key: record for record in head.records}
        if len(records) >= MAX_OPEN_RECORDS:
            # The run's claim must stay findable: it goes to the segment
            # before the head forgets it.
            name = f"{self.name}/{head.term}-{self.revision}"
            self._keep_segment(name, list(records.values()))
            head = replace(head, segments=[*head.segments, name])
            records = {}
        for record in batch:
            records[record.key] = record
        return replace(head, records=list(records.values()))

    def _keep_segment(self, name: str, records: list[Record]) -> None:
        try:
            self._put(name, records, 0, "claim-segments")
        except LacewingdockError as error:
            if error.kind is not ErrorKind.CONFLICT:
                raise
            # An earlier try of this very segment took effect: its name holds
            # term and revision, so nobody else writes it.

    def _put(
        self,
        name: str,
        value: Any,
        expect: int,
        collection: str = COLLECTION_CLAIMS,
    ) -> Stored:
        return self.store.put(
            collection, name, msgspec.to_builtins(value), expect, "claims"
        )

    def leave(self) -> None:
        """Give the partition up in good order, for another to take at once.

        Raises:
            LacewingdockError: The platform did not take it; the others will
                find this home dead.
        """
        if self.unsettled:
            self._settle()
        head = replace(self.head, home="", incarnation="", address="")
        self.lost = True
        self._put(self.name, head, self.revision)


def take_partition(
    store: ObjectStore, name: str, stored: Stored, me: Head
) -> Partition:
    """Become the home of a partition.

    One conditional update seals the old home out: its next commit expects
    the revision that this one replaces.

    Args:
        store: The platform.
        name: "SERVICE/NUMBER".
        stored: The head as read.
        me: Home, incarnation and address of this process.

    Raises:
        LacewingdockError: CONFLICT when another was first, or the old home
            was alive after all; PLATFORM_UNAVAILABLE.
    """
    old = msgspec.convert(stored.value, Head) if stored.value else None
    head = replace(
        me,
        term=old.term + 1 if old else 1,
        records=old.records if old else [],
        segments=old.segments if old else [],
    )
    written = store.put(
        COLLECTION_CLAIMS,
        name,
        msgspec.to_builtins(head),
        stored.revision,
        "claims-take",
    )
    records: dict[str, Record] = {}
    for segment in head.segments:
        found = store.get("claim-segments", segment, "claims-take")
        for record in msgspec.convert(found.value or [], list[Record]):
            records[record.key] = record
    for record in head.records:
        records[record.key] = record
    oldest = time.time() - WINDOW_S
    kept = {k: r for k, r in records.items() if r.at >= oldest}
    log.info(
        "partition taken",
        partition=name,
        term=head.term,
        records=len(kept),
        unresolved=sum(r.state == STATE_CLAIMED for r in kept.values()),
    )
    return Partition(name, store, written, head, kept)
