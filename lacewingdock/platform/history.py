"""Revisions: positions in the history of the platform's store.

The store counts its changes. After a restore from an older copy it continues
from the copy's count, so that it reuses counts for other changes; the era in
its answers is then one higher. Outside of this folder a *revision* combines
the era and the count in one number that only grows: each revision of a later
era is greater than all revisions of an earlier era.
"""

from typing import Annotated, Final

import msgspec

# Era and count together take the 63 bits that a signed integer has in every
# encoding: a million restores, with 8.8 trillion changes each.
COUNT_BITS: Final = 43
MAX_COUNT: Final = 2**COUNT_BITS - 1
MAX_ERA: Final = 2**20 - 1

# Resource version in the store's answers: its count of changes, without era.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


def revision_of(era: int, count: int) -> int:
    """Combine an era and a count into a revision; 0 if the count is 0.

    Args:
        era: Era of the store's history.
        count: The store's count of changes in that era; 0 means no change.
    """
    return era << COUNT_BITS | count if count else 0


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> COUNT_BITS


def count_of(revision: int) -> int:
    """Return the store's count of changes at a revision, without the era."""
    return revision & MAX_COUNT


def have_same_count(first: int, second: int) -> bool:
    """Return whether two revisions have the same count, in whichever eras.

    An object with the same count in two eras was not written in between.
    """
    return count_of(first) == count_of(second)


def format_revision(revision: int | None) -> str:
    """Format a revision for logs and reports as "ERA.COUNT"; "" for None."""
    if revision is None:
        return ""
    return f"{era_of(revision)}.{count_of(revision)}"
