"""Detection of unknown header and field names in received messages."""

import threading
from collections.abc import Iterable
from typing import Final

from lacewingdock.helpers.log import get_logger

# Distinct names that are counted, which bounds memory if a sender keeps sending
# new ones.
MAX_NAMES: Final = 64
# Characters of a name that are counted and logged; the rest is cut off.
MAX_NAME_CHARS: Final = 64
# Name under which all further names are counted.
OTHERS: Final = "others"

log = get_logger("unknown_names")


class UnknownNames:
    """Counts names that this process does not read; thread-safe.

    Otherwise a header, field or value that the platform newly introduces for
    its upstreams, its store or its operators would go unnoticed.

    Attributes:
        where: Kind of message that the names occur in, for the log.
    """

    __slots__ = ("_counts", "_lock", "where")

    def __init__(self, where: str) -> None:
        """Start with no names counted."""
        self.where = where
        self._counts: dict[str, int] = {}
        self._lock = threading.Lock()

    def count_names(self, source: str, names: Iterable[str]) -> None:
        """Count names, and log each name the first time.

        Args:
            source: Sender of the message.
            names: The unknown names in it.
        """
        for name in names:
            if self._is_new(name[:MAX_NAME_CHARS]):
                log.warning(
                    "unknown name",
                    where=self.where,
                    name=name[:MAX_NAME_CHARS],
                    source=source,
                )

    def counts(self) -> dict[str, int]:
        """Return the number of uses of each name."""
        with self._lock:
            return dict(self._counts)

    def _is_new(self, name: str) -> bool:
        with self._lock:
            is_new = name not in self._counts and len(self._counts) < MAX_NAMES
            key = name if is_new or name in self._counts else OTHERS
            self._counts[key] = self._counts.get(key, 0) + 1
        return is_new
