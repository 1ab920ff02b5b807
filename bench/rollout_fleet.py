"""Support for roll-outs that a fleet of entries judges, without processes.

The same traffic as `bench.rollout_inputs`, with the arrival times that an
in-process judge does not need: requests a second in all, spread evenly over
the entries. Entries publish and the holder judges by the real code on a
platform in memory, whose calls take no time.
"""

import collections
import random
from types import SimpleNamespace
from typing import Any, Final

import msgspec

from bench.rollout_inputs import (
    DELAY,
    DEVIATION,
    MEAN,
    OLD_ERRORS,
    RATED,
    SHARE,
    WARM_UP,
    Candidate,
    Ended,
)
from lacewingdock.components.exposure.fleet import FleetJudge
from lacewingdock.components.exposure.watch import Watch
from lacewingdock.components.rollouts.record import Rollout, decode_rollout
from lacewingdock.components.rollouts.verdict import Return
from lacewingdock.const import COLLECTION_ROLLOUTS
from lacewingdock.platform.store import Listing, Stored
from lacewingdock.world.objects import Model, Version
from lacewingdock.world.world import World

REQUESTS_PER_S: Final = 25.0
HOLDER_S: Final = 1.0
MODEL: Final = "m"
OLD: Final = "v1"
NEW: Final = "v2"


class Memory:
    """The platform's objects in memory.

    Attributes:
        objects: Objects by collection and name.
        revision: The last revision given.
        writes: Writes so far.
    """

    __slots__ = ("objects", "revision", "writes")

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[tuple[str, str], Stored] = {}
        self.revision = self.writes = 0

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Read an object."""
        return self.objects.get((collection, name), Stored(name, 0))

    def list_all(
        self, collection: str, purpose: str, prefix: str = "", after: int = -1
    ) -> Listing:
        """Read what changed."""
        found = [
            stored
            for (kind, name), stored in self.objects.items()
            if kind == collection
            and name.startswith(prefix)
            and stored.revision > after
        ]
        return Listing(self.revision, found)

    def put(
        self, collection: str, name: str, value: Any, expect: int, purpose: str
    ) -> Stored:
        """Write an object; the writers here never conflict."""
        self.revision += 1
        self.writes += 1
        stored = Stored(name, self.revision, value)
        self.objects[collection, name] = stored
        return stored


class FleetRun:
    """One roll-out, watched by some entries and judged by a holder.

    Attributes:
        store: The platform.
        entries: The entries.
        due: When each publishes next, in seconds.
        judge: The holder.
        holder_due: When it judges next.
        source: Source of the publications' spread.
    """

    __slots__ = ("due", "entries", "holder_due", "judge", "source", "store")

    def __init__(self, count: int, seed: int) -> None:
        """Start with the roll-out at its first step."""
        self.store = Memory()
        self.source = random.Random(f"publish {seed}")
        world = World()
        world.versions = {v: Version(model=MODEL) for v in (OLD, NEW)}
        world.models = {MODEL: Model(shares={}, incoming=NEW)}
        rollout = Rollout(
            id="r", model=MODEL, version=NEW, old_shares={OLD: 1.0}
        )
        rollout.state = "raising"
        self._write(rollout)
        self.entries = []
        for index in range(count):
            daemon: Any = SimpleNamespace(
                store=self.store, me=SimpleNamespace(incarnation=f"e{index}")
            )
            config: Any = SimpleNamespace(world=world)
            self.entries.append(Watch(daemon, config, lambda: count))
        every = self.entries[0].interval_s()
        self.due = [self.source.uniform(0, every) for _ in self.entries]
        self.judge = FleetJudge(self.store, rated=True)
        self.holder_due = HOLDER_S

    def _write(self, rollout: Rollout) -> None:
        value = msgspec.to_builtins(rollout)
        self.store.put(COLLECTION_ROLLOUTS, MODEL, value, 0, "bench")

    def advance(self, now: float) -> bool:
        """Publish and judge what is due; tell whether it is called bad."""
        for index, entry in enumerate(self.entries):
            if self.due[index] <= now:
                entry.publish_all()
                every = entry.interval_s()
                self.due[index] = now + every * self.source.uniform(0.5, 1.5)
        if now < self.holder_due:
            return False
        self.holder_due = now + HOLDER_S
        found = self.store.get(COLLECTION_ROLLOUTS, MODEL, "bench")
        rollout = decode_rollout(found)
        assert rollout is not None
        if isinstance(self.judge.verdict(rollout), Return):
            return True
        levels = self.judge.levels(rollout)
        if levels != rollout.levels:
            rollout.levels = levels
            self._write(rollout)
        return False


def roll_out(
    candidate: Candidate, seed: int, count: int, limit: int = 6000
) -> Ended:
    """Let a fleet watch a version until it is stopped or the limit."""
    source = random.Random(seed)
    run = FleetRun(count, seed)
    late: collections.deque[tuple[int, int, str, float]] = collections.deque()
    answered = index = 0
    while answered < limit:
        index += 1
        while late and late[0][0] <= index:
            _, where, version, rating = late.popleft()
            run.entries[where].add_rating(version, rating)
        is_new = index > WARM_UP and source.random() < SHARE
        answered += is_new
        version = NEW if is_new else OLD
        chance = candidate.errors if is_new else OLD_ERRORS
        is_error = source.random() < chance
        where = index % count
        run.entries[where].add_request(version, is_error)
        if not is_error and source.random() < RATED:
            mean = MEAN - (candidate.drop if is_new else 0.0)
            rating = min(max(source.gauss(mean, DEVIATION), 0.0), 1.0)
            late.append((index + DELAY, where, version, rating))
        if run.advance(index / REQUESTS_PER_S):
            return Ended(answered, True)
    return Ended(answered, False)
