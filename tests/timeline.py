"""Discrete-event queue: runs scheduled calls in virtual time."""

import heapq
import itertools
import random


class Timeline:
    """A virtual clock and a queue of scheduled calls.

    Attributes:
        time: Virtual seconds since the start.
        rng: Random generator of the simulation.
    """

    def __init__(self, seed):
        self.time = 0.0
        self.rng = random.Random(seed)
        self._numbers = itertools.count()
        self._queue = []

    def now(self):
        """Return the virtual time, as `Clock` does."""
        return self.time

    def after(self, seconds, call, *args):
        """Schedule a call after a delay."""
        at = self.time + seconds
        heapq.heappush(self._queue, (at, next(self._numbers), call, args))

    def steps(self, until):
        """Run the scheduled calls until a time; yield after each call."""
        while self._queue and self._queue[0][0] <= until:
            self.time, _, call, args = heapq.heappop(self._queue)
            call(*args)
            yield

    def random_delay(self, longest_s):
        """Return a random network delay in seconds, at least 1 ms."""
        return self.rng.uniform(0.001, longest_s)
