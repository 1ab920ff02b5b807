"""Support for sending all copies of a request to the same upstream."""

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
from lacewingdock.helpers.lru import insert_lru
from lacewingdock.world.upstream import Upstream


def rank_upstreams(
    fingerprint: str, candidates: list[Upstream]
) -> list[Upstream]:
    """Order upstreams for a fingerprint, in the same way on every entry.

    Rendezvous hashing: adding or removing an upstream moves only the
    fingerprints that rank it first.
    """
    return sorted(
        candidates,
        key=lambda u: hashlib.sha256(
            f"{fingerprint}\0{u.name}".encode()
        ).digest(),
    )


class Placement:
    """Chooses upstreams so that copies of a request share one upstream.

    Before the first crash nothing shows that a request is a poison request.
    If copies sent at once through several entries were balanced by load, each
    would crash another upstream. Sent to one upstream, they crash only that
    one.

    Attributes:
        pending: Attempts without an answer, by fingerprint and upstream.
        succeeded: Fingerprints that were recently answered completely; they
            need no affinity and are balanced by load.
    """

    __slots__ = ("_lock", "pending", "succeeded")

    def __init__(self) -> None:
        """Create a placement without attempts."""
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
        first = rank_upstreams(fingerprint, untried)[0]
        mean = sum(u.load() for u in untried) / len(untried)
        if first.load() <= mean + MAX_EXCESS_LOAD:
            return first
        return choose_upstream(candidates, tried, rng)

    def attempt_started(self, fingerprint: str, upstream: str) -> None:
        """Count an attempt that is sent to an upstream."""
        with self._lock:
            self.pending.setdefault(fingerprint, Counter())[upstream] += 1

    def attempt_ended(self, fingerprint: str, upstream: str) -> None:
        """Stop counting an attempt once its answer begins or it is refused."""
        with self._lock:
            copies = self.pending.get(fingerprint)
            if copies is None:
                return
            copies[upstream] -= 1
            if not +copies:
                del self.pending[fingerprint]

    def instances(self, fingerprint: str) -> set[str]:
        """Return the instances with unanswered attempts of a request."""
        with self._lock:
            return set(+self.pending.get(fingerprint, Counter()))

    def record_success(self, fingerprint: str) -> None:
        """Record that a request was answered completely."""
        with self._lock:
            insert_lru(self.succeeded, fingerprint, None, MAX_SUCCEEDED)

    def clear_successes(self, fingerprints: Collection[str]) -> None:
        """Discard the record that requests were answered completely."""
        with self._lock:
            for fingerprint in fingerprints:
                self.succeeded.pop(fingerprint, None)


def choose_isolated(
    fingerprint: str,
    candidates: list[Upstream],
    tried: Collection[str],
    crashed: Collection[str],
) -> Upstream:
    """Choose where a suspect runs alone, in the same way on every entry.

    All copies of a suspect go to one upstream, whichever entries they come
    through. It runs them one at a time, so they can crash no other upstream.
    Upstreams that crashed while they ran the suspect come last, because a
    broken upstream would get healthy requests quarantined.

    Args:
        fingerprint: The suspect.
        candidates: Upstreams that may run the request.
        tried: Names of upstreams that refused the request before, because
            they can't run it at all.
        crashed: Names of upstreams that crashed while they ran the request.

    Raises:
        LacewingdockError: NO_UPSTREAM, not run.
    """
    untried = [u for u in candidates if u.name not in tried]
    if not untried:
        raise LacewingdockError(
            ErrorKind.NO_UPSTREAM,
            "no upstream can run the suspect request alone now",
            RAN_NO,
        )
    sound = [u for u in untried if u.name not in crashed] or untried
    hosts = rank_upstreams("isolation", sound)
    hosts = hosts[: max(1, int(len(sound) * MAX_ISOLATION_SHARE))]
    return rank_upstreams(fingerprint, hosts)[0]
