"""A platform's store in virtual time, with troubles at set moments.

What happens to the store is set before it starts, so that each call's end
follows from its beginning. Calls are those of `ObjectApi`.
"""

import math
from dataclasses import dataclass, field

from lacewingdock.const import RAN_NO
from lacewingdock.platform.object_api import (
    CALL_TIMEOUT_S,
    HistoryGoneError,
    unavailable,
)
from lacewingdock.platform.objects import (
    Change,
    Changes,
    Snapshot,
    StoredObject,
)

# A call's way there and back.
TRIP_S = 0.006


@dataclass
class Outage:
    """A span in which the store does not answer.

    Attributes:
        start: When it starts.
        end: When it ends.
        silent: Whether calls hang; else they are turned away at once.
        for_all: Whether it answers nobody, not only not this router.
    """

    start: float
    end: float
    silent: bool = True
    for_all: bool = True


@dataclass
class Troubles:
    """What disturbs the store or the way to it.

    Attributes:
        outages: Spans in which it does not answer.
        silenced: Moments at which open connections go silent for good.
        cuts: Moments at which waiting watches are cut off, which is allowed
            at any time and disturbs nothing.
        forgotten: Moments at which the history is dropped; watches that wait
            then hear nothing more, and are told at their end.
        slow: Spans in which each answer takes longer, as (start, end,
            seconds).
    """

    outages: list[Outage] = field(default_factory=list)
    silenced: list[float] = field(default_factory=list)
    cuts: list[float] = field(default_factory=list)
    forgotten: list[float] = field(default_factory=list)
    slow: list[tuple[float, float, float]] = field(default_factory=list)

    def of_store(self):
        """Return the spans in which the store itself is disturbed."""
        return [
            *((one.start, one.end) for one in self.outages if one.for_all),
            *((at, at) for at in self.forgotten),
            *((start, end) for start, end, _ in self.slow),
        ]

    def of_router(self):
        """Return the spans in which the router is disturbed."""
        return [
            *((one.start, one.end) for one in self.outages if not one.for_all),
            *((at, at) for at in self.silenced),
        ]

    def outage_at(self, at):
        """Return the outage at a moment, if any."""
        for one in self.outages:
            if one.start <= at < one.end:
                return one
        return None

    def delay_at(self, at):
        """Return how long an answer takes at a moment."""
        return TRIP_S + sum(s for a, b, s in self.slow if a <= at < b)


@dataclass
class Written:
    """A change of the store: an object's new state, None where it goes."""

    at: float
    kind: str
    name: str
    spec: dict | None


class SimulatedStore:
    """The store as one router reaches it.

    Attributes:
        time: Its virtual time.
        troubles: What disturbs it.
        calls: Calls so far, as (time, purpose).
    """

    def __init__(self, time, written, troubles):
        self.time = time
        self.troubles = troubles
        self.calls = []
        self._log = []
        self._opened = {}
        known = {}
        ordered = sorted(written, key=lambda one: one.at)
        for revision, one in enumerate(ordered, start=2):
            removed = one.spec is None
            if removed and (one.kind, one.name) not in known:
                continue
            spec = known.get((one.kind, one.name)) if removed else one.spec
            known[one.kind, one.name] = spec
            if removed:
                del known[one.kind, one.name]
            change = Change(StoredObject(one.name, revision, spec), removed)
            self._log.append((one.at, revision, one.kind, change))

    def list_kind(
        self, kind, purpose, *, stale=False, timeout_s=CALL_TIMEOUT_S
    ):
        """Answer a list."""
        del stale
        self._reach(kind, purpose, timeout_s)
        self._answer(kind, timeout_s, self.time.now())
        return self.at(self.time.now(), kind)

    def watch_kind(
        self, kind, revision, wait_s, purpose, grace_s=2.0, *, stale=False
    ):
        """Answer a watch."""
        del stale
        began, timeout_s = self.time.now(), wait_s + grace_s
        self._reach(kind, purpose, timeout_s)
        news = [at for at, r, k, _ in self._log if k == kind and r > revision]
        ready = max(min(news, default=math.inf), began)
        gone = self._forgot(revision, began, ready)
        end = began + wait_s
        ready = end if gone else min(ready, end)
        self._cut(kind, began, ready)
        self._answer(kind, timeout_s, began, ready)
        if gone:
            raise HistoryGoneError
        now = max(ready, began)
        changes = [
            change
            for at, r, k, change in self._log
            if k == kind and r > revision and at <= now
        ]
        return Changes(max(self._revision(now), revision), changes)

    def drop_connection(self, kind):
        """Close a kind's connection."""
        self._opened.pop(kind, None)

    def at(self, at, kind):
        """Return a kind's objects at a moment."""
        found = Snapshot(self._revision(at))
        for when, _, of, change in self._log:
            if of != kind or when > at:
                continue
            if change.removed:
                found.objects.pop(change.object.name, None)
            else:
                found.objects[change.object.name] = change.object
        return found

    def _revision(self, at):
        return max((r for when, r, _, _ in self._log if when <= at), default=1)

    def _forgot(self, revision, began, ready):
        """Whether the history after a revision goes before there is news."""
        for at in self.troubles.forgotten:
            if began < at <= ready:
                return True
            if at <= began and revision < self._revision(at):
                return True
        return False

    def _reach(self, kind, purpose, timeout_s):
        """Open a connection where there is none, and send the call."""
        now = self.time.now()
        self.calls.append((now, purpose))
        outage = self.troubles.outage_at(now)
        if outage is not None:
            self._fail(kind, timeout_s if outage.silent else TRIP_S)
        opened = self._opened.setdefault(kind, now)
        if any(opened < at <= now for at in self.troubles.silenced):
            self._fail(kind, timeout_s)

    def _cut(self, kind, began, ready):
        """Fail a watch that is cut while it waits."""
        cuts = [at for at in self.troubles.cuts if began < at < ready]
        cuts += [
            one.start
            for one in self.troubles.outages
            if began < one.start < ready and not one.silent
        ]
        if cuts:
            self._fail(kind, min(cuts) - began)

    def _answer(self, kind, timeout_s, began, ready=None):
        """Let the answer come, unless its connection goes silent before."""
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
        raise unavailable("no answer", RAN_NO)
