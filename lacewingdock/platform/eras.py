"""Support for the eras of the platform's store.

The store may come back from an older copy of itself. What it acknowledged
since is lost then, and its revisions go back and are given out again. Each of
its answers names the era of the history that it is from, which is one higher
after each such return.
"""

import threading
from collections.abc import Sequence
from typing import Final

from lacewingdock.helpers.log import get_logger

ERA_HEADER: Final = "store-era"
# Eras beyond this leave no room for the revision; see `history`.
MAX_ERA: Final = 2**20 - 1

log = get_logger("platform")


class StoreEras:
    """The era that the store's answers name; safe to use from any task.

    Attributes:
        era: The era; 0 where no answer named one.
        odd: Answers that named none after others did, or nothing readable.
    """

    __slots__ = ("_lock", "era", "odd")

    def __init__(self) -> None:
        """Start without a known era."""
        self.era = 0
        self.odd = 0
        self._lock = threading.Lock()

    def take(self, values: Sequence[str]) -> int:
        """Take what an answer says.

        Args:
            values: The values of its header, one each time that it has it.

        Returns:
            The era of its history.
        """
        named = read_era(values)
        with self._lock:
            before = self.era
            if named is None:
                self.odd += bool(values or before)
                return before
            self.era = named
        if named != before:
            log.info("store era", era=named, before=before)
        return named


def read_era(values: Sequence[str]) -> int | None:
    """Return the era that a header's values name; None where they do not."""
    if len(set(values)) != 1:
        return None
    text = values[0].strip()
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(MAX_ERA)):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None
