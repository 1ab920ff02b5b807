"""Support for choosing the upstream instance that a request goes to."""

import random
import time
from collections.abc import Callable, Collection, Iterable
from typing import Final

from lacewingdock.components.upstreams.directory import (
    FAILURES_TO_PASS_OVER,
    Directory,
    Instance,
)

# A failure counts like this many requests more on the instance, so that one
# that fails part of its requests gets few while it is not passed over.
FAILURE_WEIGHT: Final = 4.0
# What another failure domain costs, in requests more on the instance: enough
# to decide between equals, too little to unbalance them.
DISTANCE_WEIGHT: Final = 0.5


class Chooser:
    """Chooses the instance with the least work that this router knows of.

    Attributes:
        directory: The instances.
        failure_domain: Where this router stands.
        random: Source of draws between equals.
    """

    __slots__ = ("directory", "failure_domain", "random")

    def __init__(
        self, directory: Directory, failure_domain: str, source: random.Random
    ) -> None:
        """Take the instances and the place of this router."""
        self.directory = directory
        self.failure_domain = failure_domain
        self.random = source

    def choose(
        self,
        service: str,
        allowed: Callable[[Instance], bool],
        tried: Collection[str] = (),
        cost: Callable[[Instance], float] = lambda _: 0.0,
    ) -> Instance | None:
        """Return an instance and count the request in, or None.

        Args:
            service: The service.
            allowed: Whether an instance may run the request.
            tried: Ids of instances that the request was at; one of them is
                taken only where there is no other.
            cost: What an instance costs the request besides, in requests.
        """
        now = time.monotonic()
        found = [
            one
            for one in self.directory.of_service(service)
            if one.open and allowed(one)
        ]
        fresh = [one for one in found if one.entry.id not in tried] or found
        if not fresh:
            return None
        # A trial in progress must not be joined by others.
        with self.directory.lock:
            chosen = self._least(self._fit(fresh, now), now, cost)
            chosen.running += 1
            if chosen.recent_failures(now) >= FAILURES_TO_PASS_OVER:
                chosen.trial_at = now + 1.0
        return chosen

    def done(self, instance: Instance) -> None:
        """Count a request out."""
        with self.directory.lock:
            instance.running -= 1

    def _fit(self, found: list[Instance], now: float) -> list[Instance]:
        """Leave out those that failed lately, unless all did."""
        fit = [
            one
            for one in found
            if one.recent_failures(now) < FAILURES_TO_PASS_OVER
            or (one.trial_at <= now and not one.running)
        ]
        return fit or found

    def _least(
        self,
        found: Iterable[Instance],
        now: float,
        cost: Callable[[Instance], float],
    ) -> Instance:
        return min(
            found,
            key=lambda one: (
                self._work(one, now) + cost(one),
                self.random.random(),
            ),
        )

    def _work(self, one: Instance, now: float) -> float:
        work = float(one.running)
        if one.entry.failure_domain != self.failure_domain:
            work += DISTANCE_WEIGHT
        return work + FAILURE_WEIGHT * one.recent_failures(now)
