"""Deterministic scheduler of threads on a virtual clock.

Virtual time advances only while all tasks sleep. Each task is a thread, and
only one runs at a time, so that every run has the same interleaving and minutes
pass in milliseconds.
"""

import heapq
import itertools
import threading


class TimeExpired(BaseException):
    """Raised in each sleeping task to end it after the run."""


class VirtualTime:
    """A virtual clock and the tasks that it schedules.

    Attributes:
        time: Virtual seconds since the start.
    """

    def __init__(self):
        self.time = 0.0
        self._queue = []
        self._numbers = itertools.count()
        self._running = threading.Semaphore(0)
        self._local = threading.local()
        self._expired = False
        self._threads = []
        self._errors = []

    def now(self):
        """Return the virtual time, in seconds."""
        return self.time

    def wait(self, event, seconds):
        """Sleep; return whether the event is set afterwards."""
        self.sleep(seconds)
        return event.is_set()

    def sleep(self, seconds):
        """Suspend the calling task for a span of virtual time."""
        turn = self._local.turn
        self._schedule(self.time + seconds, turn)
        self._running.release()
        turn.acquire()
        if self._expired:
            raise TimeExpired

    def start(self, function, *args):
        """Add a task that starts at the current virtual time."""
        turn = threading.Semaphore(0)

        def run():
            self._local.turn = turn
            turn.acquire()
            try:
                if not self._expired:
                    function(*args)
            except TimeExpired:
                pass
            except Exception as error:
                self._errors.append(error)
            finally:
                self._running.release()

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        self._schedule(self.time, turn)
        thread.start()

    def run(self, until):
        """Run the tasks until a virtual time, then end all of them.

        Raises:
            Exception: The first exception that a task raised.
        """
        while self._queue and self._queue[0][0] <= until and not self._errors:
            self.time, _, turn = heapq.heappop(self._queue)
            self._run_task(turn)
        self._expired = True
        while self._queue:
            self._run_task(heapq.heappop(self._queue)[2])
        for thread in self._threads:
            thread.join()
        for error in self._errors:
            raise error

    def _schedule(self, at, turn):
        heapq.heappush(self._queue, (at, next(self._numbers), turn))

    def _run_task(self, turn):
        turn.release()
        self._running.acquire()
