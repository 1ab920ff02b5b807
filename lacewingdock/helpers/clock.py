"""Support for clocks: one that a test can stand in for, one since boot."""

import threading
import time
from typing import Final, Protocol

MS_PER_S: Final = 1000


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


def since_boot() -> float:
    """Return seconds since the machine's boot, suspended ones too.

    The monotonic clock stands still while a machine is suspended: what waited
    in its sockets all the while would look as if it had just come.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def stamp_ms() -> int:
    """Return milliseconds since boot, to be compared with later stamps."""
    return int(since_boot() * MS_PER_S)
