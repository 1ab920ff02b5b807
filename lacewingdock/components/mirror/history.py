"""Support for handing on the changes of a copy instead of the whole copy."""

import itertools
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from lacewingdock.platform.history import have_same_count
from lacewingdock.platform.objects import (
    ObjectChange,
    ObjectChanges,
    StoredObject,
)

# Answers of the store whose changes are kept: who asks for news asks several
# times a second, and changes are gathered for a quarter of one.
KEPT: Final = 64


@dataclass(slots=True, frozen=True)
class _Batch:
    """Changes that came together.

    Attributes:
        first: Revision of the first one at the earliest.
        last: Revision of the last one at the latest.
        changes: The changes.
    """

    first: int
    last: int
    changes: list[ObjectChange]


class ChangeHistory:
    """The last changes of a copy.

    Attributes:
        base: Revision from which no change is missing.
    """

    __slots__ = ("_batches", "base")

    def __init__(self, base: int = 0) -> None:
        """Start without changes, with a copy of a revision."""
        self.base = base
        self._batches: deque[_Batch] = deque()

    @property
    def changed(self) -> int:
        """Revision of the newest change; of the whole copy where none came."""
        return self._batches[-1].last if self._batches else self.base

    def add(self, after: int, found: ObjectChanges) -> None:
        """Add the changes that came after a revision."""
        if not found.changes:
            return
        revisions = [_revision(one, after) for one in found.changes]
        first = min(one or after + 1 for one in revisions)
        last = max(one or found.revision for one in revisions)
        self._append(_Batch(first, last, found.changes))

    def add_list(self, after: int, found: ObjectChanges) -> None:
        """Add how a whole list differs from a copy of a revision.

        Only who has that very copy can go on by the differences: between two
        revisions, or beyond the copy's in a history that the store lost, an
        object may have come that the copy never showed.
        """
        if found.revision > after:
            first = after + 1
            self._append(_Batch(first, found.revision, found.changes))

    def _append(self, batch: _Batch) -> None:
        self._batches.append(batch)
        if len(self._batches) > KEPT:
            self.base = self._batches.popleft().last

    def since(self, revision: int) -> list[ObjectChange] | None:
        """Return the changes after a revision; None where some are missing.

        A revision in the middle of changes that came together is no place to
        go on from: an object that was removed and written again would be
        removed after it was written.
        """
        if revision < self.base:
            return None
        rest = [one for one in self._batches if one.last > revision]
        if rest and rest[0].first <= revision:
            return None
        return list(itertools.chain.from_iterable(one.changes for one in rest))


def _revision(change: ObjectChange, after: int) -> int:
    """Return the revision of a change; 0 where it does not say it.

    A removed object may bear the revision of its last write.
    """
    revision = change.object.revision
    return revision if revision > after else 0


def differences(
    before: Mapping[str, StoredObject], found: Mapping[str, StoredObject]
) -> list[ObjectChange]:
    """Return how a list differs from the copy before it.

    Args:
        before: The copy's objects by name.
        found: The list's.

    Returns:
        The changes; one that is missing from the list need not have been
        removed. What stands as it was in an earlier era is no change.
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
