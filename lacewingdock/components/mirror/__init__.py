"""Support for mirroring kinds of the platform's objects.

Each kind has a task that lists it once and then watches it. While the
platform's store does not answer this instance, the newest copy among other
routers is taken instead: the store may serve them and turn this one away.
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
    HistoryGoneError,
    ObjectApi,
)
from lacewingdock.platform.objects import ObjectChanges, Snapshot, StoredObject

# What a watch's answer may take after its wait.
WATCH_GRACE_S: Final = 0.6
# What a call may take that does not wait for news: three times the 0.36 s of a
# store that answers ninety times as slowly as usual. A store that comes back
# is seen this much later at most.
LOOK_S: Final = 1.0
# The first pause after a failed call, and the longest. An outage ends for all
# at once; a fleet that calls again within a fifth of a second of it stays
# under the platform's rate of reads by the spread of the pauses.
RETRY_S: Final = 0.1
RETRY_LIMIT_S: Final = 0.5

log = get_logger("mirror")


class Mirror:
    """A copy of one kind of objects.

    Attributes:
        kind: The kind.
        api: The platform's store.
        health: What is known of the store.
        listener: Told of each change.
        pull: Returns the newest copy that other routers have beyond a
            revision.
        wait_s: Returns the seconds that a watch waits.
        pause_s: Returns the seconds between two watches, for a kind that
            changes often and may be seen later: each answer is a call.
        objects: The objects by name.
        revision: Revision up to which the copy is complete; None at first.
        ready: Set once there is a copy.
        kept_s: Returns for how many seconds other routers keep the copy young
            enough; 0 where this one must ask the store.
        spared_s: Returns for how many seconds another call finds out whether
            the store answers again; 0 where this one does.
        renew_s: Returns how old the copy may grow, in seconds, by a watch that
            waits: others may hang on it.
        on_news: Called after each change.
        history: The last changes.
        stale: Whether watches may be seconds behind; they cost a tenth.
        clock: The time it goes by.
        as_of: Moment of this router's clock for which the copy is known to be
            complete.
        unseen_s: Seconds for which the last changes may have gone unseen, where
            no watch waited for them; 0 where one did, or at a start.
        moved_at: When `revision` last grew.
        following: Whether other routers kept the copy young until now.
        called_at: When the last call began.
        waiting: Whether that call waits for news.
        broken: Whether it failed.
    """

    __slots__ = (
        "_lock",
        "_taking",
        "api",
        "as_of",
        "broken",
        "called_at",
        "clock",
        "following",
        "health",
        "history",
        "kept_s",
        "kind",
        "listener",
        "moved_at",
        "objects",
        "on_news",
        "pause",
        "pause_s",
        "pull",
        "ready",
        "renew_s",
        "revision",
        "spared_s",
        "stale",
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
        """Take what it mirrors; `run` does it."""
        self.kind = kind
        self.api = api
        self.health = health
        self.listener = listener
        self.pull = pull
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.kept_s: Callable[[], float] = lambda: 0.0
        self.spared_s: Callable[[], float] = lambda: 0.0
        self.renew_s: Callable[[], float] = lambda: math.inf
        self.on_news: Callable[[], None] = lambda: None
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
        self.objects: dict[str, StoredObject] = {}
        self.revision: int | None = None
        self.ready = threading.Event()
        self.pause = Backoff(RETRY_S, RETRY_LIMIT_S, source)
        self._lock = threading.Lock()
        # Held while changes are taken in, by this task or another's word.
        self._taking = threading.Lock()

    def run(self, stopping: threading.Event) -> None:
        """Mirror until the daemon stops."""
        while not stopping.is_set():
            if pause_s := self.round():
                self.clock.wait(stopping, pause_s)

    def round(self) -> float:
        """Ask the store once; return the seconds until the next time."""
        try:
            return self._round()
        except Exception:
            # A task that died unseen would leave this router deaf to the
            # kind for good.
            log.exception("round failed", kind=self.kind)
            return self.pause.failed()

    def snapshot(self) -> Snapshot | None:
        """Return the copy as it is."""
        with self._lock:
            if self.revision is None:
                return None
            return Snapshot(self.revision, dict(self.objects))

    def news(self, after: int, *, sure: bool) -> Copy:
        """Return what a router that has the copy of a revision lacks.

        Args:
            after: The revision.
            sure: Whether this router's own calls reach the store.
        """
        with self._taking:
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
        """Return how complete the copy is, and since when."""
        with self._taking:
            if self.revision is None or self.as_of == -math.inf:
                return None
            return CopyAge(self.history.changed, self.revision, self.as_of)

    def vouch(self, changed: int, revision: int, as_of: float) -> bool:
        """Take another router's word that nothing changed.

        Args:
            changed: Revision of the last change that it knows.
            revision: Revision up to which its copy is complete.
            as_of: Moment of this router's clock for which it is.

        Returns:
            Whether this copy has all that it has. In a later era it has what
            this one lacks: that part of the history was lost.
        """
        with self._taking:
            if self.revision is None or changed > self.revision:
                return False
            known, told = era_of(self.revision), era_of(revision)
            if told != known:
                return told < known
            self._move(revision)
            # Whatever the other copy has, this one has too.
            self.as_of = max(self.as_of, as_of)
            return True

    def take_news(self, copy: Copy, after: int, asked_at: float) -> None:
        """Take another router's news.

        Args:
            copy: Its answer.
            after: The revision that it was asked for.
            asked_at: When it was asked.
        """
        if copy.age_s is None:
            return
        as_of = asked_at - copy.age_s
        told = copy.changes or copy.snapshot
        if told is not None:
            self.api.eras.observe_peer_era(era_of(told.revision))
        doubtful = self.health.doubtful or not copy.sure
        if copy.changes is not None:
            self._take_changes(after, copy.changes, as_of, doubtful=doubtful)
        elif copy.snapshot is not None:
            self._take(copy.snapshot, as_of, sure=copy.sure)

    def _round(self) -> float:
        if rest_s := self.kept_s():
            self._follow()
            return rest_s
        if rest_s := self.spared_s():
            return rest_s
        try:
            self._ask_store()
        except LacewingdockError as error:
            # What was known stays; the next round asks again.
            self._failed(error)
            return self.pause.failed()
        self.broken = False
        self.following = False
        self.pause.succeeded()
        return self.pause_s()

    def _follow(self) -> None:
        """Leave the copy to others' word.

        The connection goes: it may go silent while nobody uses it, and the
        call that asks since their word is too old would hang on it.
        """
        if not self.following:
            self.api.drop_connection(self.kind)
        self.following = True

    def _failed(self, error: LacewingdockError) -> None:
        """Count a failed call.

        A failed watch is followed by a call that does not wait, at once and
        on a new connection: it tells a connection that went silent from a
        store that does not answer, and whether the history is still there.
        Watching on from the old revision instead hides changes for two watches.
        """
        log.info(
            "call failed",
            kind=self.kind,
            waited=self.waiting,
            taken_s=round(self.clock.now() - self.called_at, 3),
            error=str(error),
        )
        self.broken = True
        if isinstance(error, EarlierEraError):
            # The store answers; the next call is of its present era.
            return
        if not self.waiting:
            self.health.failed(self.kind, str(error), self.called_at)
            self._ask_routers()

    def _ask_store(self) -> None:
        """Make one call; two where the history is gone.

        Raises:
            LacewingdockError: The store gave no usable answer.
        """
        if self.revision is not None:
            try:
                self._watch(self.revision)
            except HistoryGoneError:
                log.info(
                    "history gone",
                    kind=self.kind,
                    after=format_revision(self.revision),
                )
            else:
                return
        self._list()

    def _watch(self, revision: int) -> None:
        wait_s = self._wait_s()
        self._begin(waiting=wait_s > 0.0)
        found = self.api.watch_kind(
            self.kind,
            revision,
            wait_s,
            f"watch-{self.kind}",
            grace_s=self._grace_s(wait_s),
            stale=self.stale,
        )
        self.health.answered(self.kind)
        doubtful = self.health.doubtful
        as_of = self.called_at
        if not found.changes and self.clock.now() >= as_of + wait_s:
            # The store waited that long before it said that nothing changed.
            as_of += wait_s
        taken = self._take_changes(revision, found, as_of, doubtful=doubtful)
        removed = any(change.removed for change in found.changes)
        if taken and doubtful and removed:
            self._ask_routers()

    def _wait_s(self) -> float:
        """Return how long the next watch waits for news.

        What others no longer keep young is looked at without waiting.
        """
        if self.broken or self.following:
            return 0.0
        left_s = self.as_of + self.renew_s() - self.clock.now()
        return max(min(self.wait_s(), left_s), 0.0)

    def _grace_s(self, wait_s: float) -> float:
        """Return what the answer of a watch may take after its wait.

        A watch that waits less since others hang on it has the time of a
        whole one: a configuration of many routes takes a second on the way.
        """
        if not self.waiting:
            return LOOK_S
        return WATCH_GRACE_S + max(self.wait_s() - wait_s, 0.0)

    def _take_changes(
        self, after: int, found: ObjectChanges, as_of: float, *, doubtful: bool
    ) -> bool:
        """Take changes in that came after a revision.

        Returns:
            Whether they were taken. Where another task took newer ones in the
            meantime they are left: taken again, an older state of an object
            would come after a newer one. Who has less asks again.
        """
        with self._taking:
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
            self._move(found.revision)
            self.history.add(after, found)
            self._note_unseen(waited=self.waiting)
            self.as_of = max(self.as_of, as_of)
            for change in found.changes:
                self.listener.change(change, doubtful=doubtful)
        if found.changes:
            self.on_news()
        return True

    def _move(self, revision: int) -> None:
        """Note up to which revision the copy is complete."""
        with self._lock:
            if self.revision is None or revision > self.revision:
                self.revision = revision
                self.moved_at = self.clock.now()

    def _note_unseen(self, *, waited: bool) -> None:
        """Note how long ago what is taken now may have been written."""
        unseen_s = self.clock.now() - self.as_of
        is_known = unseen_s < math.inf and not waited
        self.unseen_s = unseen_s if is_known else 0.0

    def _list(self) -> None:
        self._begin(waiting=False)
        # A router that starts is busy with itself, and has nothing to lose by
        # waiting for its first copy.
        timeout_s = CALL_TIMEOUT_S if self.revision is None else LOOK_S
        found = self.api.list_kind(
            self.kind, f"list-{self.kind}", timeout_s=timeout_s
        )
        self.health.answered(self.kind)
        missing = self.objects.keys() - found.objects.keys()
        self._take(found, self.called_at, began=self.called_at)
        if missing and self.health.doubtful:
            self._ask_routers()

    def _begin(self, *, waiting: bool) -> None:
        """Note that a call begins."""
        self.waiting = waiting
        self.called_at = self.clock.now()

    def _ask_routers(self) -> None:
        """Take another router's copy, and whether the store answers it.

        Asked while the store does not answer, and where an entry is missing
        soon after: a router that was cut off from all could not ask before.
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
            "taken from a router",
            kind=self.kind,
            revision=format_revision(found.revision),
            before=format_revision(self.revision),
        )
        self._take(found)

    def _take(
        self,
        found: Snapshot,
        as_of: float = -math.inf,
        *,
        sure: bool = True,
        began: float = -math.inf,
    ) -> None:
        """Take a whole copy in, unless a newer one is known.

        Args:
            found: The copy.
            as_of: Moment for which it is known to be complete.
            sure: Whether who has it does not doubt what is missing.
            began: When the store was asked for it. What it says then is newer
                than all that was known before, whatever its revision: else a
                revision that it never had would keep its lists out for good.
        """
        with self._taking:
            known = self.revision
            is_older = known is not None and found.revision < known
            if is_older and began <= self.moved_at:
                log.info(
                    "older copy passed over",
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
            self._note_unseen(waited=False)
            self.as_of = max(self.as_of, as_of)
            doubtful = self.health.doubtful or not sure
            self.listener.replace(found, doubtful=doubtful)
        self.ready.set()
        self.on_news()
