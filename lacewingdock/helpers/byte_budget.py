"""A limit on the bytes that many tasks hold together."""

import threading


class ByteBudget:
    """Counts held bytes up to a limit; safe to use from any task.

    Attributes:
        limit: Most bytes that may be held.
        held: Bytes that are held.
    """

    __slots__ = ("_changed", "held", "limit")

    def __init__(self, limit: int) -> None:
        """Start with nothing held."""
        self.limit = limit
        self.held = 0
        self._changed = threading.Condition()

    def take(self, count: int) -> bool:
        """Hold more bytes; return False, and hold none, over the limit."""
        return self.take_within(count, 0.0)

    def take_within(self, count: int, wait_s: float) -> bool:
        """Hold more bytes as soon as there is room.

        Args:
            count: Number of bytes.
            wait_s: Longest wait in seconds.

        Returns:
            Whether they are held; if not, none of them are.
        """
        with self._changed:
            if not self._changed.wait_for(
                lambda: self.held + count <= self.limit, wait_s
            ):
                return False
            self.held += count
            return True

    def give_back(self, count: int) -> None:
        """Hold fewer bytes."""
        with self._changed:
            self.held -= count
            self._changed.notify_all()
