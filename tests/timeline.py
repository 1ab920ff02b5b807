"""Calls in virtual time, one after the other."""

import heapq
import itertools
import random


class Timeline:
    """A clock, and the calls that are due.

    Attributes:
        time: Seconds since the start.
        draw: Source of all draws.
    """

    def __init__(self, seed):
        self.time = 0.0
        self.rng = random.Random(seed)
        self._numbers = itertools.count()
        self._queue = []

    def now(self):
        """Return the time, as `Clock`."""
        return self.time

    def after(self, seconds, call, *args):
        """Call something later."""
        at = self.time + seconds
        heapq.heappush(self._queue, (at, next(self._numbers), call, args))

    def steps(self, until):
        """Let time pass; yield after each call."""
        while self._queue and self._queue[0][0] <= until:
            self.time, _, call, args = heapq.heappop(self._queue)
            call(*args)
            yield

    def random_delay(self, longest_s):
        """Return how long a way takes."""
        return self.rng.uniform(0.001, longest_s)
