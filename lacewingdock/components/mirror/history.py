"""History of a copy's changes, sent to other routers instead of the copy."""

import itertools
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from lacewingdock.platform.history import have_same_count
from lacewingdock.platform.objects import (
    ObjectChange,
    ObjectChanges,
    StoredObject,
)

# Batches of changes that are kept, one per answer of the store. Followers ask
# several times a second, and a batch collects the changes of 0.25 s.
MAX_BATCHES: Final = 64


@dataclass(slots=True, eq=False)
class _Batch:
    """Changes that arrived in one answer of the store.

    Attributes:
        first: Lower bound on the revision of the first change.
        last: Upper bound on the revision of the last change.
        changes: The changes, in order, without writes that a later batch
            supersedes.
    """

    first: int
    last: int
    changes: list[ObjectChange]


class ChangeHistory:
    """The most recent changes of a copy.

    It holds one version of each object: a router that needs an earlier change
    of an object needs the later one as well. Removals are all kept, since an
    object that was removed and created again is another one.

    Attributes:
        base: Revision after which the history contains every change.
    """

    __slots__ = ("_batches", "_latest", "base")

    def __init__(self, base: int = 0) -> None:
        """Build an empty history that starts at a copy's revision."""
        self.base = base
        self._batches: deque[_Batch] = deque()
        # The batch with the last write of each object, by name.
        self._latest: dict[str, _Batch] = {}

    @property
    def changed(self) -> int:
        """Revision of the newest change; `base` without changes."""
        return self._batches[-1].last if self._batches else self.base

    def add(self, after: int, found: ObjectChanges) -> None:
        """Append the changes that came after a revision."""
        if not found.changes:
            return
        revisions = [_revision(one, after) for one in found.changes]
        first = min(one or after + 1 for one in revisions)
        last = max(one or found.revision for one in revisions)
        self._append(first, last, found.changes)

    def add_list(self, after: int, found: ObjectChanges) -> None:
        """Append the differences between a copy and the list after it.

        Only a holder of exactly that copy can apply the differences. A copy of
        another revision, in between or from a history that the store lost, may
        hold an object that this router's copy never had.
        """
        if found.revision > after:
            self._append(after + 1, found.revision, found.changes)

    def _append(
        self, first: int, last: int, changes: Sequence[ObjectChange]
    ) -> None:
        batch = _Batch(first, last, _drop_superseded(changes))
        for change in batch.changes:
            self._drop_write(change.object.name)
        for change in batch.changes:
            if not change.removed:
                self._latest[change.object.name] = batch
        self._batches.append(batch)
        if len(self._batches) > MAX_BATCHES:
            self._drop_oldest()

    def _drop_write(self, name: str) -> None:
        """Drop the last write of an object, which a new change supersedes."""
        batch = self._latest.pop(name, None)
        if batch is not None:
            batch.changes = [
                one
                for one in batch.changes
                if one.removed or one.object.name != name
            ]

    def _drop_oldest(self) -> None:
        batch = self._batches.popleft()
        self.base = batch.last
        for change in batch.changes:
            if self._latest.get(change.object.name) is batch:
                del self._latest[change.object.name]

    def since(self, revision: int) -> list[ObjectChange] | None:
        """Return the changes after a revision; None where some are missing.

        Changes are also incomplete for a revision inside a batch: an object
        that was removed and written again would be removed after its write.
        """
        if revision < self.base:
            return None
        rest = [one for one in self._batches if one.last > revision]
        if rest and rest[0].first <= revision:
            return None
        return list(itertools.chain.from_iterable(one.changes for one in rest))


def _drop_superseded(changes: Sequence[ObjectChange]) -> list[ObjectChange]:
    """Return changes without the writes that later ones supersede."""
    last = {change.object.name: change for change in changes}
    return [
        one for one in changes if one.removed or one is last[one.object.name]
    ]


def _revision(change: ObjectChange, after: int) -> int:
    """Return the revision of a change; 0 if the change does not hold it.

    A removed object may have the revision of its last write instead.
    """
    revision = change.object.revision
    return revision if revision > after else 0


def differences(
    before: Mapping[str, StoredObject], found: Mapping[str, StoredObject]
) -> list[ObjectChange]:
    """Return the changes between a copy and a later list.

    Args:
        before: Objects of the copy by name.
        found: Objects of the list by name.

    Returns:
        The changes. An object that the list lacks is marked as unlisted, since
        it need not have been removed. An object with the same content and
        count as in an earlier era is no change.
    """
    changes = [
        ObjectChange(stored, removed=True, unlisted=True)
        for name, stored in before.items()
        if name not in found
    ]
    changes += [
        ObjectChange(stored, removed=False)
        for name, stored in found.items()
        if not _is_same(stored, before.get(name))
    ]
    return changes


def _is_same(stored: StoredObject, known: StoredObject | None) -> bool:
    if known is None or not have_same_count(stored.revision, known.revision):
        return False
    return stored.spec == known.spec and stored.status == known.status
