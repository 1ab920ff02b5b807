"""Watch cache for kinds of objects in the platform's store.

A task per kind lists its objects once and then watches for changes. While the
platform's store does not answer this router, the mirror applies the newest
copy that other routers have: the store may still answer them.
"""

import math
import random
import threading
from collections.abc import Callable
from typing import Final

from lacewingdock.components.mirror.copies import Copy, CopyAge
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.mirror.history import ChangeHistory, differences
from lacewingdock.components.mirror.listener import Listener
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.backoff import Backoff
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.eras import EarlierEraError
from lacewingdock.platform.history import era_of, format_revision
from lacewingdock.platform.object_api import (
    CALL_TIMEOUT_S,
    TRANSFER_LIMIT_S,
    HistoryGoneError,
    LongAnswerError,
    ObjectApi,
)
from lacewingdock.platform.objects import ObjectChanges, Snapshot, StoredObject

# Seconds that the first byte of the answer to a watch may take beyond the time
# it waits.
WATCH_GRACE_S: Final = 0.6
# Timeout in seconds of the first byte of a call that does not wait for changes:
# three times the 0.36 s of a store that answers ninety times as slowly as
# usual. The return of a store is detected at most this much later.
POLL_TIMEOUT_S: Final = 1.0
# Longest answer of a watch as a multiple of the copy, and in bytes for a small
# copy. An answer holds each version of an object since the watched revision, so
# on a slow link the list of the last versions arrives sooner.
MAX_COPIES_PER_WATCH: Final = 1.5
MIN_WATCH_BYTES: Final = 64 * 1024
# Seconds for which bytes of a long transfer show that the store can be reached,
# though calls on the same link are not answered in time.
LINK_BUSY_S: Final = 0.5
# First and longest backoff after a failed call, in seconds. An outage ends for
# all routers at once; the jitter of the backoff keeps a fleet that retries
# within 0.2 s of it below the platform's read rate.
RETRY_S: Final = 0.1
RETRY_LIMIT_S: Final = 0.5

log = get_logger("mirror")


class Mirror:
    """A local copy of all objects of one kind.

    Attributes:
        kind: The kind.
        api: Client of the platform's store.
        health: Availability of the store as this router observes it.
        listener: Receives each change.
        pull: Returns the newest copy that other routers have beyond a
            revision.
        wait_s: Returns the seconds that a watch waits.
        pause_s: Returns the seconds between two watches. Longer for a kind
            that changes often and may be applied later, since each answer
            costs a call.
        objects: The objects by name.
        revision: Revision up to which the copy is complete; None at first.
        ready: Set once the mirror has a copy.
        fresh_for_s: Returns for how many seconds the reports of other routers
            keep the copy fresh enough; 0 if this mirror must call the store.
        defer_call_s: Returns the seconds for which this mirror leaves it to
            other calls to detect the store's return; 0 if this mirror must
            call.
        transfer_s: Returns the seconds that an answer may take from its first
            byte to its last.
        renew_s: Returns the age in seconds that the copy may reach during a
            waiting watch: other routers may depend on its freshness.
        on_change: Called after each change.
        history: The last changes.
        stale: Whether watches may read data that is seconds behind; such
            watches cost a tenth.
        clock: Source of time and of waits.
        as_of: Time on this router's clock for which the copy is confirmed to
            be complete.
        unseen_s: Upper bound in seconds on how long the last changes went
            unobserved; 0 after a waiting watch and after the first list.
        moved_at: Time at which `revision` last grew.
        following: Whether other routers have kept the copy fresh until now.
        called_at: Time at which the last call began.
        waiting: Whether that call waits for changes.
        broken: Whether that call failed.
        must_list: Whether the changes since the copy are too long to watch
            for, so that the next call lists.
    """

    __slots__ = (
        "_apply_lock",
        "_lock",
        "api",
        "as_of",
        "broken",
        "called_at",
        "clock",
        "defer_call_s",
        "following",
        "fresh_for_s",
        "health",
        "history",
        "kind",
        "listener",
        "moved_at",
        "must_list",
        "objects",
        "on_change",
        "pause",
        "pause_s",
        "pull",
        "ready",
        "renew_s",
        "revision",
        "stale",
        "transfer_s",
        "unseen_s",
        "wait_s",
        "waiting",
    )

    def __init__(
        self,
        kind: str,
        api: ObjectApi,
        health: StoreHealth,
        listener: Listener,
        pull: Callable[[str, int], Copy],
        source: random.Random,
        wait_s: Callable[[], float],
        pause_s: Callable[[], float] = lambda: 0.0,
        clock: Clock = STEADY,
    ) -> None:
        """Build an empty mirror of a kind; `run` keeps it up to date."""
        self.kind = kind
        self.api = api
        self.health = health
        self.listener = listener
        self.pull = pull
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.fresh_for_s: Callable[[], float] = lambda: 0.0
        self.defer_call_s: Callable[[], float] = lambda: 0.0
        self.renew_s: Callable[[], float] = lambda: math.inf
        self.transfer_s: Callable[[], float] = lambda: TRANSFER_LIMIT_S
        self.on_change: Callable[[], None] = lambda: None
        self.history = ChangeHistory()
        self.stale = False
        self.clock = clock
        self.as_of = -math.inf
        self.unseen_s = 0.0
        self.moved_at = -math.inf
        self.following = False
        self.called_at = 0.0
        self.waiting = False
        self.broken = False
        self.must_list = False
        self.objects: dict[str, StoredObject] = {}
        self.revision: int | None = None
        self.ready = threading.Event()
        self.pause = Backoff(RETRY_S, RETRY_LIMIT_S, source)
        self._lock = threading.Lock()
        # Serializes updates from this task and from other routers.
        self._apply_lock = threading.Lock()

    def run(self, stopping: threading.Event) -> None:
        """Update the copy until the daemon stops."""
        while not stopping.is_set():
            if pause_s := self.round():
                self.clock.wait(stopping, pause_s)

    def round(self) -> float:
        """Update the copy once; return the seconds until the next round."""
        try:
            return self._round()
        except Exception:
            # If the task died, this router would silently never apply a
            # change of the kind again.
            log.exception("round failed", kind=self.kind)
            return self.pause.failed()

    def snapshot(self) -> Snapshot | None:
        """Return the current copy; None before the first."""
        with self._lock:
            if self.revision is None:
                return None
            return Snapshot(self.revision, dict(self.objects))

    def updates_after(self, after: int, *, sure: bool) -> Copy:
        """Return the changes that a copy of a revision lacks.

        Returns the complete copy if the history does not reach back that far.

        Args:
            after: Revision of the other router's copy.
            sure: Whether this router's own calls reach the store.
        """
        with self._apply_lock:
            copy = Copy(sure)
            if self.revision is None:
                return copy
            copy.age_s = max(self.clock.now() - self.as_of, 0.0)
            changes = self.history.since(after)
            if changes is not None:
                revision = max(self.revision, after)
                copy.changes = ObjectChanges(revision, changes)
            else:
                copy.snapshot = Snapshot(self.revision, dict(self.objects))
            return copy

    def state(self) -> CopyAge | None:
        """Return revision and freshness of the copy; None if unconfirmed."""
        with self._apply_lock:
            if self.revision is None or self.as_of == -math.inf:
                return None
            return CopyAge(self.history.changed, self.revision, self.as_of)

    def confirm_unchanged(
        self, changed: int, revision: int, as_of: float
    ) -> bool:
        """Apply another router's report that nothing changed.

        Args:
            changed: Revision of the last change in its copy.
            revision: Revision up to which its copy is complete.
            as_of: Time on this router's clock for which that copy is complete.

        Returns:
            Whether this copy has every change of the other copy. Never so if
            the other copy is of a later era: the store came back from an older
            copy then, and this one may hold objects that were lost.
        """
        with self._apply_lock:
            if self.revision is None or changed > self.revision:
                return False
            known, received = era_of(self.revision), era_of(revision)
            if received != known:
                return received < known
            self._advance(revision)
            # This copy has every change of the other, so it is as fresh.
            self.as_of = max(self.as_of, as_of)
            return True

    def apply_update(self, copy: Copy, after: int, asked_at: float) -> None:
        """Apply the changes or the complete copy of another router.

        Args:
            copy: Its answer.
            after: Revision after which it was asked for changes.
            asked_at: Time at which it was asked.
        """
        if copy.age_s is None:
            return
        as_of = asked_at - copy.age_s
        received = copy.changes or copy.snapshot
        if received is not None:
            self.api.eras.observe_peer_era(era_of(received.revision))
        doubtful = self.health.doubtful or not copy.sure
        if copy.changes is not None:
            self._apply_changes(after, copy.changes, as_of, doubtful=doubtful)
        elif copy.snapshot is not None:
            self._apply_snapshot(copy.snapshot, as_of, sure=copy.sure)

    def _round(self) -> float:
        if rest_s := self.fresh_for_s():
            self._rely_on_routers()
            return rest_s
        if rest_s := self.defer_call_s():
            return rest_s
        try:
            self._call_store()
        except LacewingdockError as error:
            # The copy stays as it is; the next round retries.
            self._record_failure(error)
            return self.pause.failed()
        self.broken = False
        self.following = False
        self.pause.succeeded()
        return self.pause_s()

    def _rely_on_routers(self) -> None:
        """Rely on the freshness reports of other routers.

        Closes the connection to the store: an unused connection may go silent,
        and the first call after the reports become too old would hang on it.
        """
        if not self.following:
            self.api.drop_connection(self.kind)
        self.following = True

    def _record_failure(self, error: LacewingdockError) -> None:
        """Record a failed call; pull from other routers if the store is down.

        A failed watch is followed at once by a call that does not wait, on a
        new connection: that call distinguishes a silent connection from a
        store that does not answer, and shows whether the history still exists.
        A further watch from the old revision would hide changes for the time
        of two watches.
        """
        log.info(
            "call failed",
            kind=self.kind,
            waited=self.waiting,
            taken_s=round(self.clock.now() - self.called_at, 3),
            error=str(error),
            next="list" if self.must_list else "watch",
        )
        self.broken = True
        if isinstance(error, EarlierEraError):
            # The store answers; the next call uses its current era.
            return
        if self.waiting:
            return
        if self.clock.now() - self.api.transferred_at > LINK_BUSY_S:
            self.health.failed(self.kind, str(error), self.called_at)
        self._pull_from_routers()

    def _call_store(self) -> None:
        """Watch for changes; list if there is no copy or its history is gone.

        Raises:
            LacewingdockError: The store gave no usable answer.
        """
        if self.revision is not None and not self.must_list:
            try:
                self._watch(self.revision)
            except HistoryGoneError:
                log.info(
                    "history gone",
                    kind=self.kind,
                    after=format_revision(self.revision),
                )
            except LongAnswerError as error:
                self.must_list = True
                log.info(
                    "changes too long",
                    kind=self.kind,
                    after=format_revision(self.revision),
                    bytes=error.expected,
                    copy_bytes=self._copy_bytes(),
                )
            else:
                return
        self._list()
        self.must_list = False

    def _watch(self, revision: int) -> None:
        wait_s = self._wait_s()
        self._begin_call(waiting=wait_s > 0.0)
        found = self.api.watch_kind(
            self.kind,
            revision,
            wait_s,
            f"watch-{self.kind}",
            grace_s=WATCH_GRACE_S if self.waiting else POLL_TIMEOUT_S,
            stale=self.stale,
            transfer_s=self.transfer_s(),
            max_bytes=max(
                MIN_WATCH_BYTES,
                int(MAX_COPIES_PER_WATCH * self._copy_bytes()),
            ),
        )
        self.health.answered(self.kind)
        doubtful = self.health.doubtful
        as_of = self.called_at
        if not found.changes and self.clock.now() >= as_of + wait_s:
            # The store answers without changes only at the end of the wait, so
            # the copy is complete up to that time.
            as_of += wait_s
        taken = self._apply_changes(revision, found, as_of, doubtful=doubtful)
        removed = any(change.removed for change in found.changes)
        if taken and doubtful and removed:
            self._pull_from_routers()

    def _wait_s(self) -> float:
        """Return the seconds that the next watch waits for changes.

        The first call after a failure does not wait, nor does the first call
        after the reports of other routers became too old.
        """
        if self.broken or self.following:
            return 0.0
        left_s = self.as_of + self.renew_s() - self.clock.now()
        return max(min(self.wait_s(), left_s), 0.0)

    def _copy_bytes(self) -> int:
        """Return the bytes of the copy, as the store encodes it."""
        with self._lock:
            return sum(one.size for one in self.objects.values())

    def _apply_changes(
        self, after: int, found: ObjectChanges, as_of: float, *, doubtful: bool
    ) -> bool:
        """Apply the changes that came after a revision.

        Returns:
            Whether they were applied. They are dropped if another task applied
            newer changes in the meantime, since an older state of an object
            would replace a newer one, and if the copy is older than `after`;
            the next call asks for the missing changes again.
        """
        with self._apply_lock:
            if self.revision is None or self.revision < after:
                return False
            if found.changes and self.revision != after:
                return False
            with self._lock:
                for change in found.changes:
                    if change.removed:
                        self.objects.pop(change.object.name, None)
                    else:
                        self.objects[change.object.name] = change.object
            self._advance(found.revision)
            self.history.add(after, found)
            self._record_unseen(waited=self.waiting)
            self.as_of = max(self.as_of, as_of)
            for change in found.changes:
                self.listener.change(change, doubtful=doubtful)
        if found.changes:
            self.on_change()
        return True

    def _advance(self, revision: int) -> None:
        """Advance the revision up to which the copy is complete."""
        with self._lock:
            if self.revision is None or revision > self.revision:
                self.revision = revision
                self.moved_at = self.clock.now()

    def _record_unseen(self, *, waited: bool) -> None:
        """Record how long ago the applied changes may have been written."""
        unseen_s = self.clock.now() - self.as_of
        is_known = unseen_s < math.inf and not waited
        self.unseen_s = unseen_s if is_known else 0.0

    def _list(self) -> None:
        self._begin_call(waiting=False)
        # A starting router is busy, and has no copy that would grow stale
        # during a longer wait.
        timeout_s = CALL_TIMEOUT_S if self.revision is None else POLL_TIMEOUT_S
        found = self.api.list_kind(
            self.kind,
            f"list-{self.kind}",
            timeout_s=timeout_s,
            transfer_s=self.transfer_s(),
        )
        self.health.answered(self.kind)
        missing = self.objects.keys() - found.objects.keys()
        self._apply_snapshot(found, self.called_at, began=self.called_at)
        if missing and self.health.doubtful:
            self._pull_from_routers()

    def _begin_call(self, *, waiting: bool) -> None:
        """Record the start of a call."""
        self.waiting = waiting
        self.called_at = self.clock.now()

    def _pull_from_routers(self) -> None:
        """Apply another router's copy, and record if the store answers it.

        Called while the store does not answer, and if an entry is missing
        soon after: a router that was partitioned from the others too could
        not ask them before.
        """
        asked_at = self.clock.now()
        copy = self.pull(self.kind, self.revision or 0)
        if copy.sure:
            self.health.served_others(asked_at - (copy.age_s or 0.0))
        found = copy.snapshot
        if found is None:
            return
        self.api.eras.observe_peer_era(era_of(found.revision))
        log.info(
            "copy applied from another router",
            kind=self.kind,
            revision=format_revision(found.revision),
            before=format_revision(self.revision),
        )
        self._apply_snapshot(found)

    def _apply_snapshot(
        self,
        found: Snapshot,
        as_of: float = -math.inf,
        *,
        sure: bool = True,
        began: float = -math.inf,
    ) -> None:
        """Replace the copy by a complete one, unless that one is older.

        Args:
            found: The complete copy.
            as_of: Time for which it is confirmed to be complete.
            sure: Whether its source treats missing entries as removed.
            began: Time at which the store was asked for it. The store's list
                is newer than anything received before that time, whatever its
                revision; otherwise a reported revision that the store never
                had would block its lists forever.
        """
        with self._apply_lock:
            known = self.revision
            is_older = known is not None and found.revision < known
            if is_older and began <= self.moved_at:
                log.info(
                    "older copy ignored",
                    kind=self.kind,
                    revision=format_revision(found.revision),
                    known=format_revision(known),
                )
                return
            before = self.objects
            with self._lock:
                self.objects = dict(found.objects)
                self.revision = found.revision
                self.moved_at = self.clock.now()
            if known is None or is_older:
                self.history = ChangeHistory(found.revision)
            else:
                changes = differences(before, found.objects)
                self.history.add_list(
                    known, ObjectChanges(found.revision, changes)
                )
            self._record_unseen(waited=False)
            self.as_of = max(self.as_of, as_of)
            doubtful = self.health.doubtful or not sure
            self.listener.replace(found, doubtful=doubtful)
        self.ready.set()
        self.on_change()
