"""Support for time that a test can stand in for."""

import threading
import time
from typing import Final, Protocol


class Clock(Protocol):
    """Time as a task sees it."""

    def now(self) -> float:
        """Return the monotonic time, in seconds."""

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for an event; return whether it is set."""


class SteadyClock:
    """The process's own monotonic clock."""

    __slots__ = ()

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return time.monotonic()

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for an event; return whether it is set."""
        return event.wait(seconds)


STEADY: Final = SteadyClock()
