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
    HistoryGoneError,
    ObjectApi,
    Snapshot,
    StoredObject,
)

# A watch may be deaf: its connection went silent while new ones work, or the
# store dropped the history behind it and says so at the end only. An instance
# is held to the bounds once it was undisturbed for a while, so a deaf watch
# must end, and a list be read, within that while. The parts of it that a watch
# may take, and its answer after that.
WATCH_PART: Final = 0.7
WATCH_GRACE_S: Final = 0.6
# The first pause after a failed call, and the longest. An outage ends for all
# at once; a fleet that calls again within a fifth of a second of it stays
# under the platform's rate of reads by the spread of the pauses.
RETRY_S: Final = 0.1
RETRY_LIMIT_S: Final = 0.5
# A watch that ends this much late waited for a store that stood still.
LATE_S: Final = 0.4

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
    """

    __slots__ = (
        "_lock",
        "api",
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
        self.objects: dict[str, StoredObject] = {}
        self.revision: int | None = None
        self.ready = threading.Event()
        self.pause = Backoff(RETRY_S, RETRY_LIMIT_S, source)
        self._lock = threading.Lock()

    def run(self, stopping: threading.Event) -> None:
        """Mirror until the daemon stops."""
        while not stopping.is_set():
            began = self.clock.now()
            try:
                self._step()
            except LacewingdockError as error:
                # What was known stays; the next round asks again.
                self._failed(error, began)
                self._ask_routers()
                pause_s = self.pause.failed()
            except Exception:
                # A task that died unseen would leave this router deaf to the
                # kind for good.
                log.exception("round failed", kind=self.kind)
                pause_s = self.pause.failed()
            else:
                self.pause.succeeded()
                pause_s = self.pause_s()
            if pause_s:
                self.clock.wait(stopping, pause_s)

    def snapshot(self) -> Snapshot | None:
        """Return the copy as it is."""
        with self._lock:
            if self.revision is None:
                return None
            return Snapshot(self.revision, dict(self.objects))

    def _failed(self, error: LacewingdockError, began: float) -> None:
        """Count a failed call; each is told, also where others' are answered.

        Which kind's call failed, and when it began, tells a store that does
        not answer from a connection that went silent.
        """
        log.info(
            "call failed",
            kind=self.kind,
            taken_s=round(self.clock.now() - began, 3),
            error=str(error),
        )
        self.health.failed(self.kind, str(error))

    def _step(self) -> None:
        """Make one call.

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
        start, wait_s = self.clock.now(), self.wait_s()
        found = self.api.watch_kind(
            self.kind,
            revision,
            wait_s,
            f"watch-{self.kind}",
            grace_s=WATCH_GRACE_S,
            stale=self.stale,
        )
        if self.clock.now() - start > wait_s + LATE_S:
            self.health.failed(self.kind, "watch ended late")
        returned = self._answered()
        with self._lock:
            for change in found.changes:
                if change.removed:
                    self.objects.pop(change.object.name, None)
                else:
                    self.objects[change.object.name] = change.object
            self.revision = max(revision, found.revision)
        for change in found.changes:
            self.listener.change(change, doubtful=self.health.doubtful)
        if returned:
            self._ask_routers()

    def _list(self) -> None:
        found = self.api.list_kind(self.kind, f"list-{self.kind}")
        returned = self._answered()
        self._take(found)
        if returned:
            self._ask_routers()

    def _answered(self) -> bool:
        """Count an answer; return whether the store is back."""
        self.confirmed_at = self.clock.now()
        return self.health.answered(self.kind)

    def _ask_routers(self) -> None:
        """Take another router's copy, and whether the store answers it.

        Asked while the store does not answer, and once when it does again:
        a router that was cut off from all could not ask before.
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
