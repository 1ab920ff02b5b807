"""Support for keeping each session on its version."""

import math
import threading
import time
from collections.abc import Callable
from typing import Final

from lacewingdock.components.gossip import PinnedSession

# Seconds added to the longest pause of a session: the pause counts from a
# request's end, and a running request keeps its session, but the time recorded
# is that of an attempt.
MARGIN_S: Final = 3.0


class SessionPins:
    """The version of each session, from this router's attempts and from gossip.

    Attributes:
        session_s: Returns the longest pause between requests of a session,
            in seconds.
    """

    __slots__ = ("_lock", "_pins", "session_s")

    def __init__(self, session_s: Callable[[], float]) -> None:
        """Initialize without sessions.

        Args:
            session_s: Returns the longest pause between requests of a session,
                in seconds.
        """
        self.session_s = session_s
        self._pins: dict[tuple[str, str], tuple[str, float]] = {}
        self._lock = threading.Lock()

    def pin(self, service: str, session: str, version: str) -> None:
        """Record that a request of a session ran on a version."""
        if session:
            with self._lock:
                self._pins[service, session] = (version, time.monotonic())

    def version(self, service: str, session: str) -> str | None:
        """Return the version of a session; None if it has none."""
        if not session:
            return None
        with self._lock:
            pin = self._pins.get((service, session))
        if pin is None or time.monotonic() - pin[1] > self.retention_s:
            return None
        return pin[0]

    def of_service(self, service: str) -> list[PinnedSession]:
        """Return the sessions of a service that have not expired.

        Ages are rounded up. Rounded down, a session that two routers report to
        each other in turn would grow younger and never expire.
        """
        now = time.monotonic()
        with self._lock:
            return [
                PinnedSession(name, session, version, math.ceil(now - at))
                for (name, session), (version, at) in self._pins.items()
                if name == service and now - at <= self.retention_s
            ]

    def receive(self, reported: PinnedSession) -> None:
        """Apply another router's session unless this router's is newer."""
        key = (reported.service, reported.session)
        at = time.monotonic() - reported.age_s
        with self._lock:
            own = self._pins.get(key)
            if own is None or own[1] < at:
                self._pins[key] = (reported.version, at)

    @property
    def retention_s(self) -> float:
        """Seconds after its last request at which a session expires."""
        return self.session_s() + MARGIN_S

    def prune(self) -> None:
        """Drop the sessions that expired."""
        old = time.monotonic() - self.retention_s
        with self._lock:
            for key in [k for k, pin in self._pins.items() if pin[1] < old]:
                del self._pins[key]
