"""Tests of the change history that is sent to other routers."""

import weakref

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.mirror.history import MAX_BATCHES, ChangeHistory
from lacewingdock.platform.objects import (
    ObjectChange,
    ObjectChanges,
    StoredObject,
)


class Spec:
    """The content of an object."""


def change(name, revision, removed=False):
    return ObjectChange(StoredObject(name, revision), removed)


def history():
    """Return a history from revision 10 with batches up to revision 33."""
    found = ChangeHistory(10)
    found.add(10, ObjectChanges(13, [change("a", 12)]))
    found.add(13, ObjectChanges(20, []))
    found.add(20, ObjectChanges(25, [change("b", 22), change("a", 24)]))
    found.add(25, ObjectChanges(33, [change("c", 30, removed=True)]))
    return found


@pytest.mark.parametrize(
    ("after", "names"),
    [
        (9, None),
        # Of each object only the last version.
        (10, ["b", "a", "c"]),
        (12, ["b", "a", "c"]),
        (21, ["b", "a", "c"]),
        # Inside a batch of changes.
        (22, None),
        (23, None),
        (24, ["c"]),
        (29, ["c"]),
        (30, []),
        (99, []),
    ],
)
def test_changes_after_a_revision(after, names):
    found = history().since(after)
    if names is None:
        assert found is None
    else:
        assert [one.object.name for one in found] == names


def test_removed_object_may_have_the_revision_of_its_last_write():
    """Guards against a removed instance that followers keep forever.

    An entry that was last written at revision 5 is removed at 12. If the
    removed object's revision counted as that of the removal, a router with a
    copy of revision 11 would be sent 5 as the last change.
    """
    found = ChangeHistory(10)
    found.add(10, ObjectChanges(14, [change("a", 5, removed=True)]))
    assert found.changed == 14
    assert [one.removed for one in found.since(10)] == [True]
    assert found.since(11) is None
    assert found.since(14) == []


def test_old_changes_are_dropped():
    found = ChangeHistory(0)
    for revision in range(1, MAX_BATCHES + 3):
        found.add(
            revision - 1,
            ObjectChanges(revision, [change(f"n-{revision}", revision)]),
        )
    assert found.since(1) is None
    assert len(found.since(2)) == MAX_BATCHES
    assert found.changed == MAX_BATCHES + 2


def test_one_version_of_each_object_is_held():
    """Guards against: memory that grows with each version of a large object."""
    found, versions = ChangeHistory(0), []
    for revision in range(1, MAX_BATCHES):
        spec = Spec()
        versions.append(weakref.ref(spec))
        batch = [ObjectChange(StoredObject("a", revision, spec), False)]
        found.add(revision - 1, ObjectChanges(revision, batch))
        del spec, batch
    assert [one.object.revision for one in found.since(0)] == [MAX_BATCHES - 1]
    assert sum(one() is not None for one in versions) == 1


@given(
    sizes=st.lists(st.integers(1, 4), min_size=12, max_size=12),
    gaps=st.lists(st.integers(0, 3), min_size=12, max_size=12),
    removed=st.lists(st.booleans(), min_size=12, max_size=12),
    after=st.integers(0, 60),
)
@settings(derandomize=True, deadline=None)
def test_changes_complete_the_copy(sizes, gaps, removed, after):
    """A copy of any revision is complete after applying later changes."""
    found, revision, log = ChangeHistory(0), 0, []
    for size, gap, is_removed in zip(sizes, gaps, removed, strict=True):
        before = revision
        batch = []
        for number in range(size):
            revision += 1
            gone = is_removed and number == size - 1
            batch.append(change(f"n-{revision % 3}", revision, gone))
        log += batch
        revision += gap
        found.add(before, ObjectChanges(revision, batch))
    changes = found.since(after)
    if changes is None:
        return
    assert _applied(log) == _applied(
        [one for one in log if one.object.revision <= after] + changes
    )


def _applied(changes):
    objects = {}
    for one in changes:
        if one.removed:
            objects.pop(one.object.name, None)
        else:
            objects[one.object.name] = one.object.revision
    return objects
