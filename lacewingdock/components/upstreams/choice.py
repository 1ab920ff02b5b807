"""Support for choosing the upstream instance that a request goes to."""

import hashlib
import random
import time
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.upstreams.directory import (
    FAILURES_TO_PASS_OVER,
    Directory,
    Instance,
)

# A failure counts like this many requests more on the instance, so that one
# that fails part of its requests gets few while it is not passed over.
FAILURE_WEIGHT: Final = 4.0
# What another failure domain costs, as a part of the request: enough to decide
# between equals, too little to unbalance them.
DISTANCE_WEIGHT: Final = 0.5
# What it costs to read a shared part again, against work that is already on
# an instance: reading delays all that run there, at once.
AFFINITY_WEIGHT: Final = 2.0


@dataclass(slots=True, frozen=True)
class Work:
    """What a request takes of an instance, in one unit for all.

    Attributes:
        total: All of it.
        key: The part of its prompt that others share; empty for none.
        shared: What an instance saves that keeps that part.
    """

    total: float
    key: str = ""
    shared: float = 0.0


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
        work: Work,
        tried: Collection[str] = (),
    ) -> Instance | None:
        """Return an instance and count the request in, or None.

        Args:
            service: The service.
            allowed: Whether an instance may run the request.
            work: What the request takes.
            tried: Ids of instances that the request was at; one of them is
                taken only where there is no other.
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
            chosen = self._least(self._fit(fresh, now), now, work)
            chosen.running += 1
            chosen.work += work.total
            if chosen.recent_failures(now) >= FAILURES_TO_PASS_OVER:
                chosen.trial_at = now + 1.0
        return chosen

    def done(self, instance: Instance, work: Work) -> None:
        """Count a request out."""
        with self.directory.lock:
            instance.running -= 1
            instance.work -= work.total

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
        self, found: Sequence[Instance], now: float, work: Work
    ) -> Instance:
        home = _home(found, work.key) if work.key else None

        def cost(one: Instance) -> tuple[float, float]:
            total = self._load(one, now, work)
            if home is not None and one is not home:
                total += AFFINITY_WEIGHT * work.shared
            return total, self.random.random()

        return min(found, key=cost)

    def _load(self, one: Instance, now: float, work: Work) -> float:
        """Return the work on an instance, and what speaks against it."""
        load = one.work
        if one.entry.failure_domain != self.failure_domain:
            load += DISTANCE_WEIGHT * work.total
        failures = one.recent_failures(now)
        return load + FAILURE_WEIGHT * failures * max(work.total, one.work)


def _home(found: Sequence[Instance], key: str) -> Instance:
    """Return the instance that keeps a part of prompts.

    All routers agree on it without a word, and most parts keep theirs when
    instances come and go (rendezvous hashing).
    """

    def rank(one: Instance) -> bytes:
        text = f"{key}/{one.entry.id}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return max(found, key=rank)
