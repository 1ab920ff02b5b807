"""Support for sending every copy of a request to the same upstream."""

import hashlib
import random
import threading
from collections import Counter
from collections.abc import Collection

from lacewingdock.components.quarantine.const import (
    MAX_EXCESS_LOAD,
    MAX_ISOLATION_SHARE,
    MAX_SUCCEEDED,
)
from lacewingdock.components.routing.choice import choose_upstream
from lacewingdock.const import RAN_NO
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.recent import remember
from lacewingdock.world.upstream import Upstream


def rank(fingerprint: str, candidates: list[Upstream]) -> list[Upstream]:
    """Order upstreams for a fingerprint, alike on every entry.

    Rendezvous hashing: an upstream that comes or goes moves only the
    fingerprints that it was first for.
    """
    return sorted(
        candidates,
        key=lambda u: hashlib.sha256(
            f"{fingerprint}\0{u.name}".encode()
        ).digest(),
    )


class Placement:
    """Chooses upstreams so that copies of one request meet.

    Before the first crash nobody knows that a request is bad. Copies sent at
    once through several entries would each take an upstream down if they
    were spread. Here they go to the same one, which can crash only once.

    Attributes:
        open: Attempts without an answer yet, by fingerprint and upstream.
        proven: Fingerprints that were answered whole lately; they need no
            such care and go where the load is least.
    """

    __slots__ = ("_lock", "pending", "succeeded")

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.pending: dict[str, Counter[str]] = {}
        self.succeeded: dict[str, None] = {}
        self._lock = threading.Lock()

    def choose(
        self,
        fingerprint: str,
        candidates: list[Upstream],
        tried: Collection[str],
        rng: random.Random,
    ) -> Upstream:
        """Choose the upstream for a request that is not suspect.

        Raises:
            LacewingdockError: NO_UPSTREAM, not run.
        """
        untried = [u for u in candidates if u.name not in tried]
        if not untried or fingerprint in self.succeeded:
            return choose_upstream(candidates, tried, rng)
        copies = self.pending.get(fingerprint)
        for upstream in untried if copies else ():
            if copies and copies[upstream.name] > 0:
                return upstream
        first = rank(fingerprint, untried)[0]
        mean = sum(u.load() for u in untried) / len(untried)
        if first.load() <= mean + MAX_EXCESS_LOAD:
            return first
        return choose_upstream(candidates, tried, rng)

    def attempt_started(self, fingerprint: str, upstream: str) -> None:
        """Count an attempt that goes out."""
        with self._lock:
            self.pending.setdefault(fingerprint, Counter())[upstream] += 1

    def attempt_ended(self, fingerprint: str, upstream: str) -> None:
        """Count an attempt that began to be answered or was refused."""
        with self._lock:
            copies = self.pending.get(fingerprint)
            if copies is None:
                return
            copies[upstream] -= 1
            if not +copies:
                del self.pending[fingerprint]

    def instances(self, fingerprint: str) -> set[str]:
        """Return where a request has attempts without an answer."""
        with self._lock:
            return set(+self.pending.get(fingerprint, Counter()))

    def record_success(self, fingerprint: str) -> None:
        """Take note of a whole answer."""
        with self._lock:
            remember(self.succeeded, fingerprint, None, MAX_SUCCEEDED)

    def clear_successes(self, fingerprints: Collection[str]) -> None:
        """Forget that requests were answered whole."""
        with self._lock:
            for fingerprint in fingerprints:
                self.succeeded.pop(fingerprint, None)


def choose_isolated(
    fingerprint: str,
    candidates: list[Upstream],
    tried: Collection[str],
    crashed: Collection[str],
) -> Upstream:
    """Choose where a suspect runs alone, alike on every entry.

    A suspect goes to one upstream however many copies there are and
    whichever entries they come through: that one runs them one at a time,
    so it is the only one that they can take down. Upstreams that crashed
    under it come last, since a broken one would convict the healthy.

    Args:
        fingerprint: The suspect.
        candidates: Upstreams that may take the request.
        tried: Names of those that refused it before, because they can't
            run it at all.
        crashed: Names of those that crashed while they ran it.

    Raises:
        LacewingdockError: NO_UPSTREAM, not run.
    """
    untried = [u for u in candidates if u.name not in tried]
    if not untried:
        raise LacewingdockError(
            ErrorKind.NO_UPSTREAM, "no upstream can run it alone now", RAN_NO
        )
    sound = [u for u in untried if u.name not in crashed] or untried
    hosts = rank("isolation", sound)
    hosts = hosts[: max(1, int(len(sound) * MAX_ISOLATION_SHARE))]
    return rank(fingerprint, hosts)[0]
