"""Support for one claim partition at its home."""

import threading
import time
from concurrent.futures import Future
from dataclasses import dataclass, replace

import msgspec

from lacewingdock.components.claims.const import (
    COMMIT_GAP_S,
    CONFLICT_TRIES,
    KEEP_RUN_S,
    MAX_BATCH,
    MAX_KEYS,
    MAX_OPEN_RECORDS,
    STATE_CLAIMED,
    STATE_NOT_RUN,
)
from lacewingdock.components.claims.record import Head, Record
from lacewingdock.components.claims.segments import (
    KeyIndex,
    read_segment,
    remove_segments,
    roll,
)
from lacewingdock.const import COLLECTION_CLAIMS, RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.store import ObjectStore, Stored
from lacewingdock.world.run import Run

log = get_logger("claims")


@dataclass(slots=True, eq=False)
class Claim:
    """A key that a run of this process has reserved.

    Attributes:
        run: The run.
        record: The claim's record.
        kept: Resolved once the record is kept; the run may start then.
        ended: Monotonic time when the run ended; None before.
    """

    run: Run
    record: Record
    kept: "Future[None]"
    ended: float | None = None


class Partition:
    """A partition whose home this process is, until a commit shows it isn't.

    Attributes:
        name: "SERVICE/NUMBER".
        store: The platform.
        head: The head as last written.
        revision: The head's revision in the platform.
        records: The head's records by key, and older ones read back.
        index: Keys of the records in segments.
        claims: The keys that runs of this process have reserved.
        window_s: Seconds that a key is remembered.
        verified: Monotonic time before which the platform last showed this
            process as home.
        lost: Whether another home took over, or this one left.
        closing: Whether new keys are turned away.
        failing: Whether the last write failed; claims are refused at once
            until one succeeds.
        unsettled: Whether a write's effect is not known.
    """

    __slots__ = (
        "_dirty",
        "_lock",
        "_retired",
        "_writer",
        "_writing",
        "_written",
        "claims",
        "closing",
        "failing",
        "head",
        "index",
        "lost",
        "name",
        "records",
        "revision",
        "store",
        "unsettled",
        "verified",
        "window_s",
    )

    def __init__(
        self, store: ObjectStore, stored: Stored, head: Head, window_s: float
    ) -> None:
        """Start from a head that this process has just written."""
        self.name = stored.name
        self.store = store
        self.head = head
        self.revision = stored.revision
        self.records = {record.key: record for record in head.records}
        self.index = KeyIndex()
        self.claims: dict[str, Claim] = {}
        self.window_s = window_s
        self.verified = time.monotonic()
        self.lost = False
        self.closing = False
        self.failing = False
        self.unsettled = False
        # The newest state of each key that the platform doesn't have yet.
        self._dirty: dict[str, Record] = {}
        self._retired: list[str] = []
        self._writing = False
        self._written = 0.0
        self._lock = threading.Lock()
        self._writer = threading.Lock()

    def claim(self, record: Record, run: Run) -> "Claim | Record | Run":
        """Look a key up and reserve it if it is new.

        Returns:
            The claim when the key is new; the caller must see that `flush`
            runs and wait for `kept`. Else the run of this process that has
            the key, or its record.

        Raises:
            LacewingdockError: KEY_REUSED; NOT_HOME; OVERLOADED when the
                window is full; PLATFORM_UNAVAILABLE.
        """
        while True:
            with self._lock:
                found = self._claim_locked(record, run)
            if not isinstance(found, str):
                return found
            self._fetch(found, record.key)

    def _claim_locked(
        self, record: Record, run: Run
    ) -> "Claim | Record | Run | str":
        """Do `claim`; a string names the segment to read first."""
        if self.closing or self.lost:
            raise LacewingdockError(
                ErrorKind.NOT_HOME, f"{self.name} is changing its home"
            )
        claim, known = self.claims.get(record.key), self._record(record.key)
        if isinstance(known, str):
            return known
        if known is not None and known.state == STATE_NOT_RUN:
            known = None
        first = claim.record if claim else known
        if first is not None and first.body != record.body:
            raise LacewingdockError(
                ErrorKind.KEY_REUSED, "the key belongs to another request"
            )
        if known is not None and known.answer is not None:
            return known
        if claim is not None:
            return claim.run
        if known is not None:
            return known
        return self._reserve(record, run)

    def _record(self, key: str) -> "Record | str | None":
        """Return a key's record, or the name of the segment that has it."""
        return self.records.get(key) or self.index.find(key)

    def _reserve(self, record: Record, run: Run) -> Claim:
        if self.failing:
            raise LacewingdockError(
                ErrorKind.PLATFORM_UNAVAILABLE, "claims can't be kept now"
            )
        if self.index.count() + len(self.records) >= MAX_KEYS:
            raise LacewingdockError(
                ErrorKind.OVERLOADED, f"{self.name} remembers too many keys"
            )
        claim = Claim(run, record, Future())
        self.claims[record.key] = claim
        self._dirty[record.key] = record
        return claim

    def _fetch(self, segment: str, key: str) -> None:
        """Read an old record back, for a caller that asks for it again."""
        try:
            records = read_segment(self.store, segment)
        except LacewingdockError as error:
            raise LacewingdockError(
                error.kind, error.detail, RAN_UNKNOWN
            ) from error
        found = next(record for record in records if record.key == key)
        with self._lock:
            if len(self.records) > 2 * (MAX_OPEN_RECORDS + MAX_BATCH):
                self._trim_locked()
            self.records.setdefault(key, found)

    def _trim_locked(self) -> None:
        """Forget records that can be read back from a segment."""
        needed = {record.key for record in self.head.records}
        needed |= self._dirty.keys() | self.claims.keys()
        self.records = {k: r for k, r in self.records.items() if k in needed}

    def is_new(self, key: str, run: Run) -> bool:
        """Tell whether a key never ran here, as far as this home knows."""
        with self._lock:
            claim = self.claims.get(key)
            if claim is not None:
                return claim.run is run and not run.executed
            known = self._record(key)
            return known is None or (
                isinstance(known, Record) and known.state == STATE_NOT_RUN
            )

    def release(self, claim: Claim) -> None:
        """Free a key whose run did not happen.

        Symptom otherwise: the platform holds a claim that nobody runs, and
        every later attempt is answered "unknown" for good. The claim may be
        queued (it is taken back), being written (`_keep` sees that nobody
        holds it) or written (a record that it did not run follows).
        """
        key = claim.record.key
        with self._lock:
            if self.claims.get(key) is not claim:
                return
            del self.claims[key]
            if self._dirty.get(key) is claim.record:
                del self._dirty[key]
                self._restore_locked(key)
            elif claim.kept.done() and claim.kept.exception() is None:
                self._note_locked(Record(key, claim.record.body, STATE_NOT_RUN))

    def _restore_locked(self, key: str) -> None:
        """Queue again what a claim that came to nothing had replaced."""
        known = self.records.get(key)
        if known is not None and known.state == STATE_NOT_RUN:
            self._dirty.setdefault(key, known)

    def note(self, claim: Claim, outcome: Record | None) -> None:
        """Keep the outcome of a run that happened; None if it is unknown.

        Only the claim that still holds the key speaks for it: a later run of
        the same key must not be overwritten.
        """
        with self._lock:
            claim.ended = time.monotonic()
            if self.claims.get(claim.record.key) is claim and outcome:
                self._note_locked(outcome)

    def _note_locked(self, record: Record) -> None:
        self.records[record.key] = record
        self._dirty[record.key] = record

    def sweep(self) -> None:
        """Let ended runs go whose answer the record or nobody needs."""
        now = time.monotonic()
        with self._lock:
            for key, claim in tuple(self.claims.items()):
                if claim.ended is None:
                    continue
                known = self.records.get(key)
                is_kept = known is not None and known.answer is not None
                if is_kept or now - claim.ended > KEEP_RUN_S:
                    del self.claims[key]

    def active(self) -> int:
        """Count the claims whose run has not ended."""
        with self._lock:
            return sum(c.ended is None for c in self.claims.values())

    def start_writing(self) -> bool:
        """Tell whether the caller must run `flush`: is there work unseen?"""
        with self._lock:
            if self._writing or self.lost:
                return False
            self._writing = bool(self._dirty or self.unsettled)
            return self._writing

    def flush(self) -> None:
        """Commit what is queued, batch by batch, until nothing is left.

        While one write is under way the next batch gathers; that bounds the
        writes a second whatever the rate of claims. Only one task writes at
        a time: two would each state the head without the other's claims.
        """
        with self._writer:
            try:
                while self._flush_once():
                    pass
            finally:
                with self._lock:
                    self._writing = False
            self._remove_retired()

    def _flush_once(self) -> bool:
        """Write one batch; returns whether there may be another."""
        pause = self._written + COMMIT_GAP_S - time.monotonic()
        if pause > 0:
            time.sleep(pause)
        with self._lock:
            keys = list(self._dirty)[:MAX_BATCH]
            batch = [self._dirty.pop(key) for key in keys]
            if not batch and not self.unsettled:
                self._writing = False
                return False
        try:
            self._write(batch)
        except LacewingdockError as error:
            self._fail(batch, error)
            return not self.lost and self._awaited()
        except Exception as error:
            log.exception("commit failed", partition=self.name)
            self._fail(
                batch, LacewingdockError(ErrorKind.INTERNAL, repr(error))
            )
            return False
        finally:
            self._written = time.monotonic()
        self._keep(batch)
        return True

    def _awaited(self) -> bool:
        """Tell whether a claim is queued that a caller waits for."""
        with self._lock:
            return any(
                record.state == STATE_CLAIMED for record in self._dirty.values()
            )

    def _keep(self, batch: list[Record]) -> None:
        """Let the runs of a batch start."""
        with self._lock:
            self.failing = False
            for record in batch:
                key, claim = record.key, self.claims.get(record.key)
                if record.state != STATE_CLAIMED:
                    continue
                if claim is not None and claim.record is record:
                    self.records[key] = record
                    claim.kept.set_result(None)
                elif claim is None and key not in self._dirty:
                    # Whoever waited gave up while this was written.
                    self._note_locked(Record(key, record.body, STATE_NOT_RUN))

    def _fail(self, batch: list[Record], error: LacewingdockError) -> None:
        """Refuse the claims of a batch; its outcomes are written later.

        A refused claim needs no record of its own: if it did reach the head,
        the next write that succeeds states the head without it.
        """
        with self._lock:
            self.failing = True
            outcomes: dict[str, Record] = {}
            for record in batch:
                claim = self.claims.get(record.key)
                if record.state != STATE_CLAIMED:
                    outcomes[record.key] = record
                elif claim is not None and claim.record is record:
                    claim.kept.set_exception(error)
            self._dirty = {**outcomes, **self._dirty}
            for record in batch:
                self._restore_locked(record.key)
            if self.lost:
                self._refuse_queued(error)

    def _refuse_queued(self, error: LacewingdockError) -> None:
        for record in self._dirty.values():
            claim = self.claims.get(record.key)
            if record.state == STATE_CLAIMED and claim is not None:
                claim.kept.set_exception(error)
        self._dirty = {}

    def _write(self, batch: list[Record]) -> None:
        for _ in range(CONFLICT_TRIES):
            if self.lost:
                raise LacewingdockError(
                    ErrorKind.NOT_HOME, f"{self.name} has another home"
                )
            if self.unsettled:
                self._settle()
            head = self._next_head(batch)
            begun = time.monotonic()
            try:
                stored = self._put(head, "claims")
            except LacewingdockError as error:
                self.unsettled = True
                if error.kind is ErrorKind.CONFLICT:
                    continue
                # The claim may be in the store, but only this process could
                # run it, and it does not.
                raise LacewingdockError(
                    ErrorKind.PLATFORM_UNAVAILABLE, "the claim can't be kept"
                ) from error
            self.verified = begun
            self._adopt(head, stored.revision)
            return
        raise LacewingdockError(
            ErrorKind.PLATFORM_UNAVAILABLE, "the claim can't be settled"
        )

    def _settle(self) -> None:
        """Read the head back after a write whose effect isn't known.

        Either it is still ours, with or without that write, and the next
        write states all that counts; or another took over. A write that is
        still under way expects a revision that the next write replaces.
        """
        begun = time.monotonic()
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
        self.verified = begun
        self.revision = found.revision

    def _next_head(self, batch: list[Record]) -> Head:
        """Build the next head, moving full records to a segment first."""
        head = self.head
        records = {record.key: record for record in head.records}
        if len(records) >= MAX_OPEN_RECORDS:
            head, records = self._roll(head), {}
        for record in batch:
            records[record.key] = record
        return replace(head, records=list(records.values()))

    def _roll(self, head: Head) -> Head:
        """Move the head's records to a segment, before it forgets them."""
        name = f"{self.name}/{head.term}-{self.revision}"
        oldest = time.time() - self.window_s
        rolled, moved = roll(self.store, name, head, oldest)
        with self._lock:
            self.index.add(name, moved)
        return rolled

    def _adopt(self, head: Head, revision: int) -> None:
        """Take a head that was written as the one in force."""
        names = {ref.name for ref in head.segments}
        with self._lock:
            old, self.head, self.revision = self.head, head, revision
            self.unsettled = False
            if head.segments is old.segments:
                return
            self.index.keep(names)
            self._trim_locked()
        self._retired += [r.name for r in old.segments if r.name not in names]

    def _remove_retired(self) -> None:
        """Remove the segments that no head names any more, if possible."""
        retired, self._retired = self._retired, []
        remove_segments(self.store, retired)

    def _put(self, head: Head, purpose: str) -> Stored:
        value, expect = msgspec.to_builtins(head), self.revision
        return self.store.put(
            COLLECTION_CLAIMS, self.name, value, expect, purpose
        )

    def close(self) -> None:
        """Turn new keys away, to `leave` once the runs have ended."""
        with self._lock:
            self.closing = True

    def leave(self) -> None:
        """Give the partition up in good order, for another to take at once.

        Raises:
            LacewingdockError: The platform did not take it; the others will
                find this home dead.
        """
        self.close()
        self.flush()
        with self._writer:
            if self.lost:
                return
            if self.unsettled:
                self._settle()
            me = self.head.home
            head = replace(
                self.head, home="", incarnation="", address="", left=me
            )
            self.lost = True
            self._put(head, "claims-leave")
