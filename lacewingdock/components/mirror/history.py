"""History of a copy's changes, sent to other routers instead of the copy."""

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

# Batches of changes that are kept, one per answer of the store. Followers ask
# several times a second, and a batch collects the changes of 0.25 s.
MAX_BATCHES: Final = 64


@dataclass(slots=True, frozen=True)
class _Batch:
    """Changes that arrived in one answer of the store.

    Attributes:
        first: Lower bound on the revision of the first change.
        last: Upper bound on the revision of the last change.
        changes: The changes, in order.
    """

    first: int
    last: int
    changes: list[ObjectChange]


class ChangeHistory:
    """The most recent changes of a copy.

    Attributes:
        base: Revision after which the history contains every change.
    """

    __slots__ = ("_batches", "base")

    def __init__(self, base: int = 0) -> None:
        """Build an empty history that starts at a copy's revision."""
        self.base = base
        self._batches: deque[_Batch] = deque()

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
        self._append(_Batch(first, last, found.changes))

    def add_list(self, after: int, found: ObjectChanges) -> None:
        """Append the differences between a copy and the list after it.

        Only a holder of exactly that copy can apply the differences. A copy of
        another revision, in between or from a history that the store lost, may
        hold an object that this router's copy never had.
        """
        if found.revision > after:
            first = after + 1
            self._append(_Batch(first, found.revision, found.changes))

    def _append(self, batch: _Batch) -> None:
        self._batches.append(batch)
        if len(self._batches) > MAX_BATCHES:
            self.base = self._batches.popleft().last

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
