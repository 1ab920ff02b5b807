"""Support for noticing names that others use and that nothing here reads."""

import threading
from collections.abc import Iterable
from typing import Final

from lacewingdock.helpers.log import get_logger

# Names that are counted: whoever sends ever new ones must not fill the memory.
MAX_NAMES: Final = 64
# Longest name that is told.
MAX_NAME_CHARS: Final = 64
# What the names beyond those are counted as.
OTHERS: Final = "others"

log = get_logger("unknown_names")


class UnknownNames:
    """Counts names that nothing here reads; safe to use from any task.

    A platform that gives its upstreams, its store or its operators a new word
    would else go unnoticed.

    Attributes:
        where: Where they stand, for the log.
    """

    __slots__ = ("_counts", "_lock", "where")

    def __init__(self, where: str) -> None:
        """Start without any."""
        self.where = where
        self._counts: dict[str, int] = {}
        self._lock = threading.Lock()

    def count_names(self, source: str, names: Iterable[str]) -> None:
        """Count names; the log tells of each once.

        Args:
            source: Who used them.
            names: The names.
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
        """Return how often each name was used."""
        with self._lock:
            return dict(self._counts)

    def _is_new(self, name: str) -> bool:
        with self._lock:
            is_new = name not in self._counts and len(self._counts) < MAX_NAMES
            key = name if is_new or name in self._counts else OTHERS
            self._counts[key] = self._counts.get(key, 0) + 1
        return is_new
