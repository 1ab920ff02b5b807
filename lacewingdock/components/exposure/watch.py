"""Support for collecting one entry's evidence on incoming versions.

While a model has an incoming version, the entry counts requests and ratings of
it and of the old version, and publishes the sum of its bets in one object of
the store, named by the roll-out and by the incarnation of the entry.

- Lost answers and repeated writes do no harm: the object holds sums and has a
  single writer.
- An entry that restarts publishes under another name. Its earlier evidence
  stays, and nothing is counted twice.
"""

import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec

from lacewingdock.components.configuration import Configuration
from lacewingdock.components.exposure.batch import Batch
from lacewingdock.components.exposure.const import (
    FLEET_WRITES_PER_S,
    NAME,
    PUBLISH_S,
)
from lacewingdock.components.rollouts.const import STATE_RAISING
from lacewingdock.components.rollouts.record import decode_rollout
from lacewingdock.const import COLLECTION_EXPOSURE, COLLECTION_ROLLOUTS
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.store import ABSENT

log = get_logger(NAME)


class Watched:
    """An incoming version at this entry.

    Attributes:
        batch: The evidence.
        rollout: Id of its roll-out; empty until read.
        revision: Revision of the published object.
        published: Value of the published object.
    """

    __slots__ = ("batch", "published", "revision", "rollout")

    def __init__(self, entries: int) -> None:
        """Create it without evidence, at one of `entries` entries."""
        self.batch = Batch(entries)
        self.rollout = ""
        self.revision = ABSENT
        self.published: Any = None


class Watch:
    """Collects this entry's evidence on the incoming versions of all models.

    Attributes:
        daemon: The daemon.
        configuration: The configuration, with the incoming versions.
        entries: Returns the number of entries.
        watched: Evidence by model and incoming version.
        due: Monotonic time of the next publication.
    """

    __slots__ = (
        "_lock",
        "_round",
        "configuration",
        "daemon",
        "due",
        "entries",
        "watched",
    )

    def __init__(
        self,
        daemon: Daemon,
        configuration: Configuration,
        entries: Callable[[], int],
    ) -> None:
        """Create it without evidence; `start` begins to publish."""
        self.daemon = daemon
        self.configuration = configuration
        self.entries = entries
        self.watched: dict[tuple[str, str], Watched] = {}
        self.due = 0.0
        self._lock = threading.Lock()
        # Prevents two concurrent writes of one object.
        self._round = threading.Lock()

    def start(self) -> None:
        """Start publishing, also once more at a planned stop."""
        self.daemon.every(PUBLISH_S / 2, self._tick)
        self.daemon.on_leave.append(self.publish_all)

    def interval_s(self) -> float:
        """Return the interval between two publications of this entry."""
        writes = self.entries() * max(len(self.watched), 1)
        return max(PUBLISH_S, writes / FLEET_WRITES_PER_S)

    def _tick(self) -> None:
        now = time.monotonic()
        if now < self.due:
            return
        # Entries learn of a roll-out at the same time and must not write at
        # the same time.
        spread = self.interval_s() * (0.5 + self.daemon.random.random())
        first, self.due = self.due == 0.0, now + spread
        if not first:
            self.publish_all()

    def wants(self, version: str) -> bool:
        """Return whether ratings of a version's answers are needed."""
        return self._key(version) is not None

    def _key(self, version: str) -> tuple[str, str] | None:
        world = self.configuration.world
        known = world.versions.get(version)
        model = world.models.get(known.model) if known else None
        if known is None or model is None or not model.incoming:
            return None
        return known.model, model.incoming

    def add_request(self, version: str, is_error: bool) -> None:
        """Count an answer of a version."""
        key = self._key(version)
        if key is None:
            return
        with self._lock:
            self._batch(key).add_request(version == key[1], is_error)

    def add_rating(self, version: str, rating: float) -> None:
        """Add a rating of an answer of a version."""
        key = self._key(version)
        if key is None:
            return
        with self._lock:
            self._batch(key).add_rating(version == key[1], rating)

    def _batch(self, key: tuple[str, str]) -> Batch:
        if key not in self.watched:
            self.watched[key] = Watched(max(self.entries(), 1))
        return self.watched[key].batch

    def publish_all(self) -> None:
        """Publish the evidence on each incoming version."""
        incoming = {
            (name, model.incoming)
            for name, model in self.configuration.world.models.items()
            if model.incoming
        }
        with self._round:
            for key in tuple(self.watched):
                if key not in incoming:
                    self._forget(key)
                    continue
                try:
                    self._publish(key)
                except LacewingdockError as error:
                    # The next publication contains the same evidence.
                    log.warning("evidence not published", error=error.detail)

    def _forget(self, key: tuple[str, str]) -> None:
        with self._lock:
            self.watched.pop(key, None)

    def _publish(self, key: tuple[str, str]) -> None:
        """Bet on the new observations with the previous levels, and publish.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE, INTERNAL.
        """
        store: Any = self.daemon.store
        rollout = decode_rollout(store.get(COLLECTION_ROLLOUTS, key[0], NAME))
        known = self.watched[key]
        if (
            rollout is None
            or rollout.version != key[1]
            or rollout.state != STATE_RAISING
            # Evidence on one roll-out must not count for the next.
            or known.rollout not in ("", rollout.id)
        ):
            self._forget(key)
            return
        known.rollout = rollout.id
        with self._lock:
            known.batch.place_bets(rollout.levels)
            value = msgspec.to_builtins(known.batch.seen)
        if value != known.published:
            self._put(key, known, value)

    def _put(self, key: tuple[str, str], known: Watched, value: Any) -> None:
        store: Any = self.daemon.store
        name = f"{known.rollout}/{self.daemon.me.incarnation}"
        try:
            stored = store.put(
                COLLECTION_EXPOSURE, name, value, known.revision, NAME
            )
        except LacewingdockError as error:
            if error.kind is not ErrorKind.CONFLICT:
                raise
            # An earlier write of this entry took effect, and its answer was
            # lost. The next publication contains all of this one.
            found = store.get(COLLECTION_EXPOSURE, name, NAME)
            known.revision = found.revision
            if found.value is None:
                self._forget(key)
            return
        known.revision, known.published = stored.revision, value

    def unload(self) -> None:
        """Do nothing; only tasks of the daemon are in use."""


def setup(
    daemon: Daemon, configuration: Configuration, entries: Callable[[], int]
) -> Watch:
    """Set up the watch."""
    watch = Watch(daemon, configuration, entries)
    daemon.add(NAME, watch)
    return watch
