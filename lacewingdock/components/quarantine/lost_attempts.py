"""Support for attempts of which nobody knows whether they crash an upstream.

An attempt whose sidecar fell silent may have crashed its upstream, may do so
yet, or may never have begun. Until the sidecar tells, or is known to be gone,
the request is counted as a danger to that upstream.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass

from lacewingdock.components.quarantine.const import MAX_LOST_ATTEMPTS


@dataclass(slots=True, frozen=True)
class LostAttempt:
    """One such attempt.

    Attributes:
        attempt: Id of the attempt.
        fingerprint: The request.
        instance: Name of the sidecar's instance.
        incarnation: Incarnation of the sidecar that it was sent to.
        since: Monotonic time at which it was lost.
    """

    attempt: str
    fingerprint: str
    instance: str
    incarnation: str
    since: float


class LostAttempts:
    """The lost attempts of an entry, by id, the oldest first."""

    __slots__ = ("_abandoned", "_by_fingerprint", "_lock", "_losses")

    def __init__(self) -> None:
        """Start without losses."""
        self._abandoned: set[str] = set()
        self._losses: OrderedDict[str, LostAttempt] = OrderedDict()
        self._by_fingerprint: dict[str, set[str]] = {}
        self._lock = threading.Lock()

    def add(self, loss: LostAttempt) -> None:
        """Take a loss in; beyond the limit the oldest is forgotten."""
        with self._lock:
            self._losses.setdefault(loss.attempt, loss)
            attempts = self._by_fingerprint.setdefault(loss.fingerprint, set())
            attempts.add(loss.attempt)
            if len(self._losses) > MAX_LOST_ATTEMPTS:
                self._remove_locked(next(iter(self._losses)))

    def abandon(self, attempt: str) -> None:
        """Take note that its entry has turned elsewhere."""
        with self._lock:
            if attempt in self._losses:
                self._abandoned.add(attempt)

    def remove(self, attempt: str) -> LostAttempt | None:
        """Take a loss out; return it if it was there."""
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
        """Find a loss."""
        return self._losses.get(attempt)

    def abandoned(self) -> list[LostAttempt]:
        """Return the losses that nobody waits for, the oldest first."""
        with self._lock:
            return [
                loss
                for loss in self._losses.values()
                if loss.attempt in self._abandoned
            ]

    def for_fingerprint(self, fingerprint: str) -> list[LostAttempt]:
        """Return the losses of a request."""
        with self._lock:
            attempts = self._by_fingerprint.get(fingerprint, ())
            return [self._losses[attempt] for attempt in sorted(attempts)]

    def instances(self, fingerprint: str) -> set[str]:
        """Return the instances at which a request is lost."""
        return {loss.instance for loss in self.for_fingerprint(fingerprint)}
