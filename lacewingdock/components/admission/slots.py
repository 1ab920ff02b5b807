"""Support for an upstream's slots, the most urgent waiting request first."""

import contextlib
import heapq
import itertools
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from lacewingdock.const import RAN_NO
from lacewingdock.exceptions import ErrorKind, LacewingdockError


@dataclass(slots=True, order=True)
class _Waiting:
    priority: int
    arrival: int
    granted: threading.Event = field(
        default_factory=threading.Event, compare=False
    )
    gone: bool = field(default=False, compare=False)


class Slots:
    """A fixed number of slots and a bounded queue for them.

    Attributes:
        capacity: Slots in all.
        queue_limit: Requests that may wait.
        running: Slots taken.
        queued: Requests that wait.
    """

    __slots__ = (
        "_arrivals",
        "_heap",
        "_lock",
        "capacity",
        "queue_limit",
        "queued",
        "running",
    )

    def __init__(self, capacity: int, queue_limit: int) -> None:
        """Start with all slots free."""
        self.capacity = capacity
        self.queue_limit = queue_limit
        self.running = 0
        self.queued = 0
        self._heap: list[_Waiting] = []
        self._arrivals = itertools.count()
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def hold(self, priority: int, deadline: float) -> Iterator[None]:
        """Hold a slot for the length of a `with` block.

        Args:
            priority: 0 is the most urgent; equal ones go in order.
            deadline: Monotonic time after which waiting is useless.

        Raises:
            LacewingdockError: OVERLOADED or DEADLINE, not run.
        """
        self._take(priority, deadline)
        try:
            yield
        finally:
            self._give_back()

    def _take(self, priority: int, deadline: float) -> None:
        with self._lock:
            if self.running < self.capacity:
                self.running += 1
                return
            if self.queued >= self.queue_limit:
                raise LacewingdockError(
                    ErrorKind.OVERLOADED, "the upstream's queue is full"
                )
            waiting = _Waiting(priority, next(self._arrivals))
            heapq.heappush(self._heap, waiting)
            self.queued += 1
        if waiting.granted.wait(max(0.0, deadline - time.monotonic())):
            return
        with self._lock:
            if waiting.granted.is_set():
                return
            waiting.gone = True
            self.queued -= 1
        raise LacewingdockError(
            ErrorKind.DEADLINE, "the deadline passed in the queue", RAN_NO
        )

    def _give_back(self) -> None:
        with self._lock:
            while self._heap:
                waiting = heapq.heappop(self._heap)
                if not waiting.gone:
                    self.queued -= 1
                    waiting.granted.set()
                    return
            self.running -= 1
