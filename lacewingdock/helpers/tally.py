"""Thread-safe counters."""

import threading


class Tally:
    """A counter that several threads increment and decrement.

    `x += 1` on an attribute is a read and a write, so an update can be lost if
    two threads do it at once. A lost decrement would make a link look busy
    forever.

    Attributes:
        value: Current count.
    """

    __slots__ = ("_lock", "value")

    def __init__(self) -> None:
        """Start at zero."""
        self.value = 0
        self._lock = threading.Lock()

    def add(self, amount: int) -> int:
        """Add an amount, which may be negative, and return the new count."""
        with self._lock:
            self.value += amount
            return self.value
