"""Request slots of an upstream, with a bounded priority queue."""

import contextlib
import heapq
import itertools
import random
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from lacewingdock.components.admission.wait_estimate import WaitEstimator
from lacewingdock.const import RAN_NO
from lacewingdock.exceptions import ErrorKind, LacewingdockError


@dataclass(slots=True, order=True)
class _Waiting:
    priority: int
    arrival: int
    wake: threading.Event = field(
        default_factory=threading.Event, compare=False
    )
    granted: bool = field(default=False, compare=False)
    removed: bool = field(default=False, compare=False)
    displaced: bool = field(default=False, compare=False)


class Slots:
    """A fixed number of slots and a bounded priority queue for them.

    A request may ask to run alone. It then waits until the upstream is idle,
    and no other request starts before it has ended.

    If the queue is full, a new request displaces the least urgent queued one
    that is less urgent than itself. A request that cannot start before its
    deadline is rejected on arrival, so that it takes no place in the queue
    from a request that can.

    Attributes:
        capacity: Total number of slots.
        queue_limit: Limit on queued requests.
        running: Number of slots in use.
        queued: Number of queued requests.
        alone: Whether the running request has the upstream to itself.
        pace: Estimates waiting times from the run times.
    """

    __slots__ = (
        "_arrivals",
        "_exclusive",
        "_heap",
        "_lock",
        "alone",
        "capacity",
        "pace",
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
        self.alone = False
        self.pace = WaitEstimator(capacity, random.Random())
        self._heap: list[_Waiting] = []
        self._exclusive: list[_Waiting] = []
        self._arrivals = itertools.count()
        self._lock = threading.Lock()

    @property
    def occupied(self) -> int:
        """Slots that are unavailable to new requests.

        All slots count while a request runs alone or waits to: reported as
        load, this directs other requests to other upstreams in the meantime.
        """
        if self.alone or self._exclusive:
            return self.capacity
        return self.running

    @contextlib.contextmanager
    def hold(
        self,
        priority: int,
        deadline: float,
        alone: bool = False,
        on_wait: Callable[[Callable[[], object]], None] | None = None,
    ) -> Iterator[None]:
        """Hold a slot for the length of a `with` block.

        Args:
            priority: 0 is the most urgent; requests of equal priority start in
                order of arrival.
            deadline: Monotonic time until which the request may wait.
            alone: Whether no other request may run at the same time.
            on_wait: Called with a function that ends the wait, so that a
                cancelled request does not keep its place in the queue.

        Raises:
            LacewingdockError: OVERLOADED or DEADLINE; the request did not run.
        """
        self._acquire(priority, deadline, alone, on_wait)
        start = time.monotonic()
        try:
            yield
        finally:
            self._release(time.monotonic() - start)

    def _acquire(
        self,
        priority: int,
        deadline: float,
        alone: bool,
        on_wait: Callable[[Callable[[], object]], None] | None,
    ) -> None:
        with self._lock:
            if not self._is_free(alone):
                self._check_queue_locked(priority, deadline)
            waiting = _Waiting(priority, next(self._arrivals))
            heapq.heappush(self._exclusive if alone else self._heap, waiting)
            self.queued += 1
            self._grant_locked()
        if on_wait is not None:
            on_wait(waiting.wake.set)
        waiting.wake.wait(max(0.0, deadline - time.monotonic()))
        with self._lock:
            if waiting.displaced:
                raise self._overloaded_locked(
                    "displaced from the queue by a more urgent request",
                    self._count_ahead_locked(priority),
                )
            if waiting.granted:
                return
            waiting.removed = True
            self.queued -= 1
            # Others may have waited only because this request had to run alone.
            self._grant_locked()
        raise LacewingdockError(
            ErrorKind.DEADLINE,
            "the deadline passed while the request was queued",
            RAN_NO,
        )

    def _check_queue_locked(self, priority: int, deadline: float) -> None:
        ahead = self._count_ahead_locked(priority)
        if time.monotonic() + self.pace.wait_s(ahead) > deadline:
            raise self._overloaded_locked(
                "no slot is expected to be free before the deadline", ahead
            )
        if self.queued < self.queue_limit:
            return
        waiting = [w for w in self._heap if not w.removed]
        last = max(waiting, default=None)
        if last is None or last.priority <= priority:
            raise self._overloaded_locked("the upstream's queue is full", ahead)
        last.removed = last.displaced = True
        self.queued -= 1
        last.wake.set()

    def _count_ahead_locked(self, priority: int) -> int:
        waiting = itertools.chain(self._heap, self._exclusive)
        return sum(not w.removed and w.priority <= priority for w in waiting)

    def _overloaded_locked(self, detail: str, ahead: int) -> LacewingdockError:
        return LacewingdockError(
            ErrorKind.OVERLOADED, detail, RAN_NO, self.pace.retry_after_s(ahead)
        )

    def _is_free(self, alone: bool) -> bool:
        if self.alone or self._exclusive:
            return False
        return self.running == 0 if alone else self.running < self.capacity

    def _release(self, held_s: float) -> None:
        with self._lock:
            self.pace.record(held_s)
            self.running -= 1
            self.alone = False
            self._grant_locked()

    def _grant_locked(self) -> None:
        """Start all requests that may start, those that run alone first.

        If other requests could start before them, a request that must run
        alone might wait forever.
        """
        _drop_removed(self._exclusive)
        _drop_removed(self._heap)
        if self.alone:
            return
        if self._exclusive:
            if self.running == 0:
                self.alone = True
                self._start_locked(self._exclusive)
            return
        while self._heap and self.running < self.capacity:
            self._start_locked(self._heap)
            _drop_removed(self._heap)

    def _start_locked(self, heap: list[_Waiting]) -> None:
        waiting = heapq.heappop(heap)
        self.queued -= 1
        self.running += 1
        waiting.granted = True
        waiting.wake.set()


def _drop_removed(heap: list[_Waiting]) -> None:
    while heap and heap[0].removed:
        heapq.heappop(heap)
