"""A simulated platform store in virtual time, with faults at given times.

All events of the store are given before it starts, so that the end of each call
follows from its beginning. The calls are those of `ObjectApi`.
"""

import math
import random
from dataclasses import dataclass, field, replace

from lacewingdock.const import RAN_NO
from lacewingdock.platform.eras import StoreEras
from lacewingdock.platform.history import count_of, era_of, revision_of
from lacewingdock.platform.object_api import (
    CALL_TIMEOUT_S,
    HistoryGoneError,
    unavailable_error,
)
from lacewingdock.platform.objects import (
    ObjectChange,
    ObjectChanges,
    Snapshot,
    StoredObject,
)

# Round trip time of a call, in seconds.
TRIP_S = 0.006
# Seconds after the store's return within which its writers repeat lost writes.
REWRITE_S = 1.9


@dataclass
class Outage:
    """A period in which the store does not answer.

    Attributes:
        start: Time at which it starts.
        end: Time at which it ends.
        silent: Whether calls hang; otherwise they are refused at once.
        for_all: Whether no router gets an answer; otherwise only this one gets
            none.
    """

    start: float
    end: float
    silent: bool = True
    for_all: bool = True


@dataclass
class Return(Outage):
    """An outage after which the store returns from a backup.

    Attributes:
        lost_s: Age of the backup in seconds at the start of the outage.
        dead: Names of the objects whose lost writes nobody repeats.
    """

    lost_s: float = 0.0
    dead: frozenset = frozenset()

    @property
    def copied_at(self):
        """Time of the backup."""
        return self.start - self.lost_s


@dataclass
class Troubles:
    """Faults of the store and of the connection to it.

    Attributes:
        outages: Periods in which the store does not answer.
        silenced: Times at which open connections go silent for good.
        cuts: Times at which waiting watches are cut off, which is allowed at
            any time and counts as no disturbance.
        forgotten: Times at which the history is dropped; watches that wait
            then receive no more changes, and an error at their end.
        slow: Periods in which each answer takes longer, as (start, end,
            additional seconds).
    """

    outages: list[Outage] = field(default_factory=list)
    silenced: list[float] = field(default_factory=list)
    cuts: list[float] = field(default_factory=list)
    forgotten: list[float] = field(default_factory=list)
    slow: list[tuple[float, float, float]] = field(default_factory=list)

    def of_store(self):
        """Return the periods in which the store itself is disturbed."""
        return [
            *((one.start, one.end) for one in self.outages if one.for_all),
            *((at, at) for at in self.forgotten),
            *((start, end) for start, end, _ in self.slow),
        ]

    def of_router(self):
        """Return the periods in which only this router is disturbed."""
        return [
            *((one.start, one.end) for one in self.outages if not one.for_all),
            *((at, at) for at in self.silenced),
        ]

    def outage_at(self, at):
        """Return the outage at a given time, if any."""
        for one in self.outages:
            if one.start <= at < one.end:
                return one
        return None

    def delay_at(self, at):
        """Return the seconds that an answer takes at a given time."""
        return TRIP_S + sum(s for a, b, s in self.slow if a <= at < b)


@dataclass
class Written:
    """A write to the store: an object's new spec, or None for a removal."""

    at: float
    kind: str
    name: str
    spec: dict | None


class SimulatedStore:
    """The store as it answers one router.

    Attributes:
        time: The virtual time.
        troubles: Faults of the store and of the connection to it.
        calls: Calls so far, as (time, purpose).
    """

    # No answer is long.
    transferred_at = -math.inf

    def __init__(self, time, written, troubles):
        self.time = time
        self.troubles = troubles
        self.calls = []
        self.eras = StoreEras(time)
        self._opened = {}
        returns = [one for one in troubles.outages if isinstance(one, Return)]
        self._histories = histories(written, returns)

    def list_kind(
        self, kind, purpose, *, stale=False, timeout_s=CALL_TIMEOUT_S, **_
    ):
        """Answer a list call."""
        del stale
        began = self.time.now()
        self._reach(kind, purpose, timeout_s)
        self._answer(kind, timeout_s, began)
        self._take_era(began, began)
        return self.at(self.time.now(), kind)

    def watch_kind(
        self, kind, revision, wait_s, purpose, grace_s=2.0, *, stale=False, **_
    ):
        """Answer a watch call."""
        if era_of(revision) != self.eras.era:
            raise HistoryGoneError
        asked_era = era_of(revision)
        began, timeout_s = self.time.now(), wait_s + grace_s
        self._reach(kind, purpose, timeout_s)
        history = self._history(began)
        # The store compares only the count, without the era.
        revision = revision_of(history.era, count_of(revision))
        log = [one for one in history.log if one[2] == kind]
        news = [at for at, r, *_ in log if r > revision]
        ready = max(min(news, default=math.inf), began)
        gone = self._forgot(revision, began, ready)
        gone |= revision > self._revision(began)
        end = began + wait_s
        ready = end if gone else min(ready, end)
        self._cut(kind, began, ready)
        self._answer(kind, timeout_s, began, ready)
        self._take_era(began, ready, stale=stale)
        if gone or history.era != asked_era:
            raise HistoryGoneError
        now = max(ready, began)
        changes = [
            change for at, r, _, change in log if r > revision and at <= now
        ]
        return ObjectChanges(max(self._revision(now), revision), changes)

    def drop_connection(self, kind):
        """Close the connection for a kind."""
        self._opened.pop(kind, None)

    def at(self, at, kind):
        """Return a kind's objects at a given time."""
        found = Snapshot(self._revision(at))
        for when, _, of, change in self._history(at).log:
            if of != kind or when > at:
                continue
            if change.removed:
                found.objects.pop(change.object.name, None)
            else:
                found.objects[change.object.name] = change.object
        return found

    def _history(self, at):
        """Return the history that the store has at a given time."""
        return [one for one in self._histories if one.start <= at][-1]

    def _take_era(self, began, at, *, stale=False):
        era = self._history(at).era
        self.eras.observe([str(era)], began, stale=stale)

    def _revision(self, at):
        history = self._history(at)
        found = [r for when, r, *_ in history.log if when <= at]
        return max(found, default=revision_of(history.era, 1))

    def _forgot(self, revision, began, ready):
        """Return whether the history is dropped before the next change."""
        for at in self.troubles.forgotten:
            if began < at <= ready:
                return True
            if at <= began and revision < self._revision(at):
                return True
        return False

    def _reach(self, kind, purpose, timeout_s):
        """Send a call, on a new connection if none is open."""
        now = self.time.now()
        self.calls.append((now, purpose))
        outage = self.troubles.outage_at(now)
        if outage is not None:
            self._fail(kind, timeout_s if outage.silent else TRIP_S)
        opened = self._opened.setdefault(kind, now)
        if any(opened < at <= now for at in self.troubles.silenced):
            self._fail(kind, timeout_s)

    def _cut(self, kind, began, ready):
        """Fail a watch that is cut off while it waits."""
        cuts = [at for at in self.troubles.cuts if began < at < ready]
        cuts += [
            one.start
            for one in self.troubles.outages
            if began < one.start < ready and not one.silent
        ]
        if cuts:
            self._fail(kind, min(cuts) - began)

    def _answer(self, kind, timeout_s, began, ready=None):
        """Deliver the answer, unless its connection goes silent before."""
        ready = began if ready is None else ready
        at = ready + self.troubles.delay_at(ready)
        lost = any(began < one <= at for one in self.troubles.silenced)
        lost |= any(began < one.start <= at for one in self.troubles.outages)
        if lost or at > began + timeout_s:
            self._fail(kind, timeout_s)
        self.time.sleep(at - began)

    def _fail(self, kind, after_s):
        self._opened.pop(kind, None)
        self.time.sleep(after_s)
        raise unavailable_error("no answer", RAN_NO)


@dataclass
class History:
    """Changes in one era of the store, from one return to the next.

    Attributes:
        start: Time at which the era begins.
        era: Number of the era.
        log: Changes as (time, revision, kind, change).
    """

    start: float
    era: int
    log: list

    def add(self, one):
        """Append a write, unless it removes an object that does not exist."""
        known = self.objects()
        removed = one.spec is None
        if removed and (one.kind, one.name) not in known:
            return
        last = self.log[-1][1] if self.log else revision_of(self.era, 1)
        spec = known.get((one.kind, one.name)) if removed else one.spec
        change = ObjectChange(StoredObject(one.name, last + 1, spec), removed)
        self.log.append((one.at, last + 1, one.kind, change))

    def objects(self):
        """Return the specs of the existing objects by kind and name."""
        found = {}
        for _, _, kind, change in self.log:
            key = kind, change.object.name
            if change.removed:
                found.pop(key)
            else:
                found[key] = change.object.spec
        return found


def histories(written, returns):
    """Return the store's histories, one for each era.

    Args:
        written: Writes as their writers intend them, without faults.
        returns: Outages after which the store returns from a backup.
    """
    found = [History(-math.inf, 1, [])]
    rest = sorted(written, key=lambda one: one.at)
    for one in sorted(returns, key=lambda one: one.end):
        history = found[-1]
        while rest and rest[0].at < one.start:
            history.add(rest.pop(0))
        # Writes during the outage are delayed until its end, in their order.
        back_at = one.end + 0.01
        waiting = [write for write in rest if write.at < back_at]
        delayed = [replace(write, at=back_at) for write in waiting]
        rest = delayed + rest[len(waiting) :]
        rest += written_again(history, one, rest)
        rest.sort(key=lambda write: write.at)
        found.append(copied(history, one))
    for write in rest:
        found[-1].add(write)
    return found


def copied(history, one):
    """Return the history of a store that returned from a backup."""
    era = history.era + 1
    log = [
        (
            at,
            revision_of(era, count_of(r)),
            kind,
            replace(
                change,
                object=replace(
                    change.object, revision=revision_of(era, count_of(r))
                ),
            ),
        )
        for at, r, kind, change in history.log
        if at <= one.copied_at
    ]
    return History(one.end, era, log)


def written_again(history, one, rest):
    """Return the writes that operators and instances repeat after a return.

    Each repeats its last write since the backup, unless a newer write of the
    same object comes first.
    """
    lost = {
        (kind, change.object.name): change
        for at, _, kind, change in history.log
        if at > one.copied_at
    }
    found = []
    for (kind, name), change in lost.items():
        draw = random.Random(f"{kind}/{name}/{one.end}")
        at = one.end + draw.uniform(0.05, REWRITE_S)
        is_newer = any(
            (write.kind, write.name) == (kind, name) and write.at <= at
            for write in rest
        )
        if not is_newer and name not in one.dead:
            spec = None if change.removed else change.object.spec
            found.append(Written(at, kind, name, spec))
    return found
