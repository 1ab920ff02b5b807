"""A limit on the bytes that many tasks hold together."""

import threading


class ByteBudget:
    """Counts held bytes up to a limit; safe to use from any task.

    Attributes:
        limit: Most bytes that may be held.
        held: Bytes that are held.
    """

    __slots__ = ("_lock", "held", "limit")

    def __init__(self, limit: int) -> None:
        """Start with nothing held."""
        self.limit = limit
        self.held = 0
        self._lock = threading.Lock()

    def take(self, count: int) -> bool:
        """Hold more bytes; return False, and hold none, over the limit."""
        with self._lock:
            if self.held + count > self.limit:
                return False
            self.held += count
            return True

    def give_back(self, count: int) -> None:
        """Hold fewer bytes."""
        with self._lock:
            self.held -= count
