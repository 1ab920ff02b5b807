"""Support for lost attempts, whose outcome is unknown.

An attempt whose sidecar fell silent may have crashed its upstream, may still
do so, or may never have started. Until the sidecar reports the outcome, or is
known to be gone, the upstream counts towards the request's blast radius.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass

from lacewingdock.components.quarantine.const import MAX_LOST_ATTEMPTS


@dataclass(slots=True, frozen=True)
class LostAttempt:
    """An attempt whose outcome is unknown.

    Attributes:
        attempt: Id of the attempt.
        fingerprint: The request.
        instance: Name of the sidecar's instance.
        incarnation: Incarnation of the sidecar that got the attempt.
        since: Monotonic time at which the attempt was lost.
    """

    attempt: str
    fingerprint: str
    instance: str
    incarnation: str
    since: float


class LostAttempts:
    """The lost attempts of an entry, by attempt id, the oldest first."""

    __slots__ = ("_abandoned", "_by_fingerprint", "_lock", "_losses")

    def __init__(self) -> None:
        """Create an empty collection."""
        self._abandoned: set[str] = set()
        self._losses: OrderedDict[str, LostAttempt] = OrderedDict()
        self._by_fingerprint: dict[str, set[str]] = {}
        self._lock = threading.Lock()

    def add(self, loss: LostAttempt) -> None:
        """Add a lost attempt; beyond the limit the oldest is dropped."""
        with self._lock:
            self._losses.setdefault(loss.attempt, loss)
            attempts = self._by_fingerprint.setdefault(loss.fingerprint, set())
            attempts.add(loss.attempt)
            if len(self._losses) > MAX_LOST_ATTEMPTS:
                self._remove_locked(next(iter(self._losses)))

    def abandon(self, attempt: str) -> None:
        """Mark a lost attempt as abandoned: its entry stopped waiting."""
        with self._lock:
            if attempt in self._losses:
                self._abandoned.add(attempt)

    def remove(self, attempt: str) -> LostAttempt | None:
        """Remove and return a lost attempt; None if it is not tracked."""
        with self._lock:
            return self._remove_locked(attempt)

    def _remove_locked(self, attempt: str) -> LostAttempt | None:
        loss = self._losses.pop(attempt, None)
        self._abandoned.discard(attempt)
        if loss is not None:
            attempts = self._by_fingerprint[loss.fingerprint]
            attempts.discard(attempt)
            if not attempts:
                del self._by_fingerprint[loss.fingerprint]
        return loss

    def get(self, attempt: str) -> LostAttempt | None:
        """Return a lost attempt by its id; None if it is not tracked."""
        return self._losses.get(attempt)

    def abandoned(self) -> list[LostAttempt]:
        """Return the abandoned attempts, the oldest first."""
        with self._lock:
            return [
                loss
                for loss in self._losses.values()
                if loss.attempt in self._abandoned
            ]

    def for_fingerprint(self, fingerprint: str) -> list[LostAttempt]:
        """Return the lost attempts of a request."""
        with self._lock:
            attempts = self._by_fingerprint.get(fingerprint, ())
            return [self._losses[attempt] for attempt in sorted(attempts)]

    def instances(self, fingerprint: str) -> set[str]:
        """Return the instances that have lost attempts of a request."""
        return {loss.instance for loss in self.for_fingerprint(fingerprint)}
