"""Support for remembering the version that a session is on."""

import math
import threading
import time
from collections.abc import Callable
from typing import Final

from lacewingdock.components.gossip import PinnedSession

# A request that is still running keeps its session; the bound of the pause
# counts from its end, which the last attempt's start is not.
MARGIN_S: Final = 3.0


class SessionPins:
    """The version of each session, as this router saw it.

    Attributes:
        session_s: Returns the longest pause between requests of a session,
            in seconds.
    """

    __slots__ = ("_lock", "_pins", "session_s")

    def __init__(self, session_s: Callable[[], float]) -> None:
        """Start without sessions."""
        self.session_s = session_s
        self._pins: dict[tuple[str, str], tuple[str, float]] = {}
        self._lock = threading.Lock()

    def keep(self, service: str, session: str, version: str) -> None:
        """Note that a request of a session ran on a version."""
        if session:
            with self._lock:
                self._pins[service, session] = (version, time.monotonic())

    def version(self, service: str, session: str) -> str | None:
        """Return the version that a session is on; None where it is free."""
        if not session:
            return None
        with self._lock:
            pin = self._pins.get((service, session))
        if pin is None or time.monotonic() - pin[1] > self.kept_s:
            return None
        return pin[0]

    def of_service(self, service: str) -> list[PinnedSession]:
        """Return the sessions of a service that are remembered.

        Ages are rounded up: rounded down, what two routers tell each other in
        turn would grow younger, and the session would stay for good.
        """
        now = time.monotonic()
        with self._lock:
            return [
                PinnedSession(name, session, version, math.ceil(now - at))
                for (name, session), (version, at) in self._pins.items()
                if name == service and now - at <= self.kept_s
            ]

    def hear(self, told: PinnedSession) -> None:
        """Take another router's word, unless what is known is newer."""
        key = (told.service, told.session)
        at = time.monotonic() - told.age_s
        with self._lock:
            known = self._pins.get(key)
            if known is None or known[1] < at:
                self._pins[key] = (told.version, at)

    @property
    def kept_s(self) -> float:
        """Seconds for which a session is remembered."""
        return self.session_s() + MARGIN_S

    def prune(self) -> None:
        """Forget the sessions that ended."""
        old = time.monotonic() - self.kept_s
        with self._lock:
            for key in [k for k, pin in self._pins.items() if pin[1] < old]:
                del self._pins[key]
