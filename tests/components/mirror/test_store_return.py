"""Tests of a mirror whose store returns from a backup."""

import math
import random

import pytest

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.copies import Copy
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.mirror.history import ChangeHistory, differences
from lacewingdock.components.mirror.listener import PerObjectListener
from lacewingdock.platform.eras import StoreEras
from lacewingdock.platform.history import revision_of
from lacewingdock.platform.object_api import HistoryGoneError
from lacewingdock.platform.objects import (
    ObjectChange,
    ObjectChanges,
    Snapshot,
    StoredObject,
)


class Clock:
    """A clock that a test sets."""

    time = 10.0

    def now(self):
        return self.time

    def wait(self, event, seconds):
        self.time += seconds
        return event.is_set()


class Store:
    """A store with one list, and no history before its revision."""

    transferred_at = -math.inf

    def __init__(self, clock, snapshot):
        self.clock = clock
        self.snapshot = snapshot
        self.eras = StoreEras(clock)
        self.late = lambda: None

    def list_kind(self, *_, **__):
        self.clock.time += 0.01
        self.late()
        return self.snapshot

    def watch_kind(self, kind, revision, *_, **__):
        if revision != self.snapshot.revision:
            raise HistoryGoneError
        return ObjectChanges(revision)


def stored(name, era, count, spec=None):
    return StoredObject(name, revision_of(era, count), spec)


def snapshot(era, count, *objects):
    found = {one.name: one for one in objects}
    return Snapshot(revision_of(era, count), found)


def mirror_of(found):
    """Return a mirror with a copy, its store and the objects passed on."""
    clock, taken = Clock(), []
    store = Store(clock, found)
    mirror = Mirror(
        "k",
        store,
        StoreHealth(2.0, clock=clock),
        PerObjectListener(taken.append),
        lambda *_: Copy(sure=False),
        random.Random(1),
        lambda: 0.0,
        clock=clock,
    )
    mirror.round()
    return mirror, store, taken


def test_list_after_a_restore_is_applied_though_its_count_is_lower():
    """Guards against a mirror that ignores all lists after a restore.

    The mirror's revision is gone (410), and that of the list is lower: counts
    were compared without their era.
    """
    mirror, store, taken = mirror_of(snapshot(1, 24, stored("a", 1, 24, "x")))
    store.snapshot = snapshot(2, 21, stored("a", 2, 19, "y"))
    mirror.round()
    assert mirror.revision == revision_of(2, 21)
    assert [one.spec for one in taken] == ["x", "y"]


def test_list_is_ignored_after_an_update_of_a_later_era():
    mirror, store, _ = mirror_of(snapshot(1, 24, stored("a", 1, 24)))
    update = snapshot(2, 21, stored("a", 2, 19, "new"))
    copy = Copy(sure=True, snapshot=update, age_s=0.0)

    def overtake():
        mirror.apply_update(copy, 0, store.clock.now())

    store.late = overtake
    store.snapshot = snapshot(1, 25, stored("a", 1, 25, "old"))
    mirror.round()
    assert mirror.revision == revision_of(2, 21)
    assert mirror.objects["a"].spec == "new"


def test_revision_that_the_store_never_had_is_replaced_by_the_next_list():
    """Guards against one forged message that blocks all later lists.

    A list with a revision below the mirror's was ignored, even if the mirror's
    revision came from another router's report.
    """
    mirror, store, _ = mirror_of(snapshot(1, 24, stored("a", 1, 24)))
    assert mirror.confirm_unchanged(
        revision_of(1, 24), revision_of(1, 9999), 10.0
    )
    assert mirror.revision == revision_of(1, 9999)
    store.snapshot = snapshot(1, 25, stored("a", 1, 25, "new"))
    store.clock.time += 0.1
    mirror.round()
    assert mirror.objects["a"].spec == "new"


@pytest.mark.parametrize(
    ("changed", "complete", "has_all"),
    [
        ((1, 20), (1, 24), True),
        ((1, 20), (1, 30), True),
        ((1, 25), (1, 30), False),
        # A router that has been partitioned since before the return.
        ((0, 90), (0, 99), True),
        # A router that observed the return: this copy may hold lost objects.
        ((1, 20), (2, 21), False),
        ((2, 20), (2, 21), False),
    ],
)
def test_freshness_report_is_checked_against_the_era(
    changed, complete, has_all
):
    mirror, _, _ = mirror_of(snapshot(1, 24, stored("a", 1, 24)))
    before = mirror.as_of
    found = mirror.confirm_unchanged(
        revision_of(*changed), revision_of(*complete), before + 5
    )
    assert found is has_all
    # A report of an earlier era does not make the copy fresher.
    told = has_all and complete[0] == 1
    assert mirror.as_of == before + (5 if told else 0)


def test_followers_get_the_changes_of_a_list():
    """Guards against followers that all ask for complete lists at a return.

    Each list cleared the history from which followers get their changes.
    """
    kept, gone = stored("kept", 1, 3, "x"), stored("gone", 1, 24, "x")
    mirror, store, _ = mirror_of(snapshot(1, 24, kept, gone))
    back = stored("kept", 2, 3, "x"), stored("new", 2, 21, "y")
    store.snapshot = snapshot(2, 21, *back)
    mirror.round()
    copy = mirror.updates_after(revision_of(1, 24), sure=True)
    found = [(one.object.name, one.removed) for one in copy.changes.changes]
    assert found == [("gone", True), ("new", False)]
    assert copy.changes.changes[0].unlisted
    assert copy.changes.revision == revision_of(2, 21)
    # A copy with more of the lost history can't apply the differences.
    assert (
        mirror.updates_after(revision_of(1, 25), sure=True).snapshot is not None
    )


def test_history_continues_after_a_list_without_differences():
    history = ChangeHistory(revision_of(1, 24))
    history.add_list(revision_of(1, 24), ObjectChanges(revision_of(2, 24), []))
    assert history.since(revision_of(1, 24)) == []
    assert history.since(revision_of(1, 25)) is None
    assert history.changed == revision_of(2, 24)


@pytest.mark.parametrize(
    ("before", "after", "removed"),
    [
        (stored("a", 1, 3, "x"), stored("a", 2, 3, "x"), None),
        (stored("a", 1, 3, "x"), stored("a", 2, 3, "y"), False),
        (stored("a", 1, 3, "x"), stored("a", 2, 4, "x"), False),
        (None, stored("a", 2, 4, "x"), False),
        (stored("a", 1, 3, "x"), None, True),
    ],
)
def test_differences_of_a_list(before, after, removed):
    found = differences(
        {"a": before} if before else {}, {"a": after} if after else {}
    )
    expected = (
        [] if removed is None else [ObjectChange(after or before, removed)]
    )
    for one in expected:
        one.unlisted = removed
    assert found == expected
