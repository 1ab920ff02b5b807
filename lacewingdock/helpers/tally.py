"""Support for counting from several tasks."""

import threading


class Tally:
    """A number that several tasks raise and lower.

    `x += 1` on an attribute is a read and a write; two tasks at once can lose
    one of them. A lost decrement would leave a link looking busy for good.

    Attributes:
        value: The number now.
    """

    __slots__ = ("_lock", "value")

    def __init__(self) -> None:
        """Start at zero."""
        self.value = 0
        self._lock = threading.Lock()

    def add(self, amount: int) -> int:
        """Change the number and return it."""
        with self._lock:
            self.value += amount
            return self.value
