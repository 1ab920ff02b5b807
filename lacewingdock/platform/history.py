"""Support for places in the history of the platform's store.

The store counts its changes. When it comes back from an older copy of itself
it counts on from there, so that a count is given out again for another change;
the era that its answers name is one higher then. Outside of this folder a
*revision* is the era and the count in one number, which only ever grows: a
later era is beyond all of an earlier one.
"""

from typing import Annotated, Final

import msgspec

# Both fit the 63 bits of a signed number on every wire: a million returns, and
# 8.8 trillion changes each.
COUNT_BITS: Final = 43
MAX_COUNT: Final = 2**COUNT_BITS - 1
MAX_ERA: Final = 2**20 - 1

# A count as the store's answers bear it.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


def revision_of(era: int, count: int) -> int:
    """Return the revision of a change.

    Args:
        era: The era of the store's history.
        count: The store's own count in it; 0 says that there is none.
    """
    return era << COUNT_BITS | count if count else 0


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> COUNT_BITS


def count_of(revision: int) -> int:
    """Return the store's own count of a revision."""
    return revision & MAX_COUNT


def have_same_count(one: int, other: int) -> bool:
    """Whether two revisions are of the same count, in whatever eras.

    An object that stands at one in both has not been written in between.
    """
    return count_of(one) == count_of(other)


def format_revision(revision: int | None) -> str:
    """Return a revision as logs and reports show it: era and count."""
    if revision is None:
        return ""
    return f"{era_of(revision)}.{count_of(revision)}"
