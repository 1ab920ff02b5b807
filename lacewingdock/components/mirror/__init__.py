"""Support for mirroring kinds of the platform's objects.

Each kind has a task that lists it once and then watches it. While the
platform's store does not answer this instance, the newest copy among other
routers is taken instead: the store may serve them and turn this one away.
"""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.mirror.listener import Listener
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.backoff import Backoff
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.object_api import (
    CALL_TIMEOUT_S,
    HistoryGoneError,
    ObjectApi,
    Snapshot,
    StoredObject,
)

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


@dataclass(slots=True)
class Copy:
    """What one router tells another of a kind of objects.

    Attributes:
        sure: Whether its own calls reach the store and show whole lists.
        snapshot: Its copy; None where it has none newer.
    """

    sure: bool
    snapshot: Snapshot | None = None


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
        stale: Whether watches may be seconds behind; they cost a tenth.
        clock: The time it goes by.
        confirmed_at: When the store last said what the copy is; None before.
        called_at: When the last call began.
        waiting: Whether that call waits for news.
        broken: Whether it failed.
    """

    __slots__ = (
        "_lock",
        "api",
        "broken",
        "called_at",
        "clock",
        "confirmed_at",
        "health",
        "kind",
        "listener",
        "objects",
        "pause",
        "pause_s",
        "pull",
        "ready",
        "revision",
        "stale",
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
        self.stale = False
        self.clock = clock
        self.confirmed_at: float | None = None
        self.called_at = 0.0
        self.waiting = False
        self.broken = False
        self.objects: dict[str, StoredObject] = {}
        self.revision: int | None = None
        self.ready = threading.Event()
        self.pause = Backoff(RETRY_S, RETRY_LIMIT_S, source)
        self._lock = threading.Lock()

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

    def _round(self) -> float:
        try:
            self._ask_store()
        except LacewingdockError as error:
            # What was known stays; the next round asks again.
            self._failed(error)
            return self.pause.failed()
        self.broken = False
        self.pause.succeeded()
        return self.pause_s()

    def _failed(self, error: LacewingdockError) -> None:
        """Count a failed call.

        A failed watch is followed by a call that does not wait, at once and
        on a new connection: it tells a connection that went silent from a
        store that does not answer, and whether the history is still there.
        Watching on from the old revision instead hid changes for two watches,
        4.9 s in all.
        """
        log.info(
            "call failed",
            kind=self.kind,
            waited=self.waiting,
            taken_s=round(self.clock.now() - self.called_at, 3),
            error=str(error),
        )
        self.broken = True
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
                log.info("history gone", kind=self.kind, after=self.revision)
            else:
                return
        self._list()

    def _watch(self, revision: int) -> None:
        wait_s = 0.0 if self.broken else self.wait_s()
        self._begin(waiting=wait_s > 0.0)
        found = self.api.watch_kind(
            self.kind,
            revision,
            wait_s,
            f"watch-{self.kind}",
            grace_s=WATCH_GRACE_S if self.waiting else LOOK_S,
            stale=self.stale,
        )
        self._answered()
        with self._lock:
            for change in found.changes:
                if change.removed:
                    self.objects.pop(change.object.name, None)
                else:
                    self.objects[change.object.name] = change.object
            self.revision = max(revision, found.revision)
        doubtful = self.health.doubtful
        for change in found.changes:
            self.listener.change(change, doubtful=doubtful)
        if doubtful and any(change.removed for change in found.changes):
            self._ask_routers()

    def _list(self) -> None:
        self._begin(waiting=False)
        # A router that starts is busy with itself, and has nothing to lose by
        # waiting for its first copy.
        timeout_s = CALL_TIMEOUT_S if self.revision is None else LOOK_S
        found = self.api.list_kind(
            self.kind, f"list-{self.kind}", timeout_s=timeout_s
        )
        self._answered()
        missing = self.objects.keys() - found.objects.keys()
        self._take(found)
        if missing and self.health.doubtful:
            self._ask_routers()

    def _begin(self, *, waiting: bool) -> None:
        """Note that a call begins."""
        self.waiting = waiting
        self.called_at = self.clock.now()

    def _answered(self) -> None:
        """Count an answer."""
        self.confirmed_at = self.clock.now()
        self.health.answered(self.kind)

    def _ask_routers(self) -> None:
        """Take another router's copy, and whether the store answers it.

        Asked while the store does not answer, and where an entry is missing
        soon after: a router that was cut off from all could not ask before.
        """
        copy = self.pull(self.kind, self.revision or 0)
        if copy.sure:
            self.health.served_others_at = self.clock.now()
        found = copy.snapshot
        if found is None:
            return
        log.info(
            "taken from a router",
            kind=self.kind,
            revision=found.revision,
            before=self.revision,
        )
        self._take(found)

    def _take(self, found: Snapshot) -> None:
        """Take a whole copy in, unless a newer one is known."""
        with self._lock:
            if self.revision is not None and found.revision < self.revision:
                return
            self.objects = dict(found.objects)
            self.revision = found.revision
        self.listener.replace(found, doubtful=self.health.doubtful)
        self.ready.set()
