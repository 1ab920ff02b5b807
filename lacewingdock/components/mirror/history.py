"""Support for handing on the changes of a copy instead of the whole copy."""

import itertools
from collections import deque
from dataclasses import dataclass
from typing import Final

from lacewingdock.platform.object_api import Change, Changes

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
    changes: list[Change]


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

    def add(self, after: int, found: Changes) -> None:
        """Add the changes that came after a revision."""
        if not found.changes:
            return
        revisions = [_revision(one, after) for one in found.changes]
        first = min(one or after + 1 for one in revisions)
        last = max(one or found.revision for one in revisions)
        self._batches.append(_Batch(first, last, found.changes))
        if len(self._batches) > KEPT:
            self.base = self._batches.popleft().last

    def since(self, revision: int) -> list[Change] | None:
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


def _revision(change: Change, after: int) -> int:
    """Return the revision of a change; 0 where it does not say it.

    A removed object may bear the revision of its last write.
    """
    revision = change.object.revision
    return revision if revision > after else 0
