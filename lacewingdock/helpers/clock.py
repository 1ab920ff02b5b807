"""Clocks: a replaceable monotonic clock, and the time since boot."""

import threading
import time
from typing import Final, Protocol

MS_PER_S: Final = 1000


class Clock(Protocol):
    """Interface of a monotonic clock, which tests replace by a fake."""

    def now(self) -> float:
        """Return the monotonic time, in seconds."""

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for an event; return whether it is set."""


class SteadyClock:
    """The monotonic clock of the operating system."""

    __slots__ = ()

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return time.monotonic()

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for an event; return whether it is set."""
        return event.wait(seconds)


STEADY: Final = SteadyClock()


def since_boot() -> float:
    """Return the seconds since the machine booted, including suspended time.

    The monotonic clock stops while a machine is suspended: by that clock, data
    that waited in a socket during the suspension would look new.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def stamp_ms() -> int:
    """Return a timestamp in milliseconds since boot, suspension included."""
    return int(since_boot() * MS_PER_S)
