"""Support for a router that watches the store for other routers."""

import math
import threading
from collections.abc import Mapping

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.relay import (
    FreshnessReport,
    KindState,
    kind_digest,
)
from lacewingdock.components.relay.const import LISTENER_TTL_S, MAX_AGE_MS
from lacewingdock.helpers.clock import STEADY, Clock


class Watcher:
    """Reports the age of this router's copies to its followers.

    Attributes:
        name: This router's name.
        mirrors: Its mirrors by kind.
        health: Whether the store answers this router's calls.
        clock: Source of the current time.
        last_query_at: Moment of each router's last query, by its name.
    """

    __slots__ = ("_lock", "clock", "health", "last_query_at", "mirrors", "name")

    def __init__(
        self,
        name: str,
        mirrors: Mapping[str, Mirror],
        health: StoreHealth,
        clock: Clock = STEADY,
    ) -> None:
        """Build a watcher without followers from the router's copies."""
        self.name = name
        self.mirrors = mirrors
        self.health = health
        self.clock = clock
        self.last_query_at: dict[str, float] = {}
        self._lock = threading.Lock()

    def answer(self, router: str, number: int) -> FreshnessReport:
        """Record a router's query and return the answer."""
        with self._lock:
            self.last_query_at[router] = self.clock.now()
        return self._report(number)

    def listeners(self) -> list[str]:
        """Return the routers that receive announcements of changes."""
        since = self.clock.now() - LISTENER_TTL_S
        with self._lock:
            self.last_query_at = {
                name: at
                for name, at in self.last_query_at.items()
                if at >= since
            }
            return list(self.last_query_at)

    def updates(self) -> FreshnessReport:
        """Return the report that announces changes."""
        return self._report(0)

    def _report(self, number: int) -> FreshnessReport:
        left_s = self.health.doubt_left_s if self.health.doubtful else 0.0
        away = left_s == math.inf
        doubt_ms = 0 if away else min(math.ceil(left_s * 1000), MAX_AGE_MS)
        now = self.clock.now()
        states = [
            KindState(
                kind_digest(kind),
                age.changed,
                age.revision,
                min(max(math.ceil((now - age.as_of) * 1000), 0), MAX_AGE_MS),
            )
            for kind, mirror in self.mirrors.items()
            if (age := mirror.state())
        ]
        return FreshnessReport(self.name, number, states, away, doubt_ms)
