"""Support for keeping connections to upstream instances open."""

import threading
import time
from typing import Final

from lacewingdock.components.upstreams.connection import (
    UpstreamConnection,
    connect,
)
from lacewingdock.world.backend import UpstreamEntry

# An upstream says in whole seconds how long it keeps an idle connection. The
# margin covers the way of a request that meets the close.
KEEP_MARGIN_S: Final = 0.5
# Where an upstream does not say; most servers keep idle ones 5 s and longer.
KEEP_S: Final = 3.0
# A round trip is some milliseconds and a handshake one more; a lost packet is
# sent again after 0.2 s and, the first of a connection, after 1 s.
CONNECT_S: Final = 0.4
# Kept for one instance: more than run at once with it are rarely needed, and
# each takes one of those that the upstream accepts from all its callers.
MAX_IDLE: Final = 16


class ConnectionPool:
    """Idle connections by instance; safe to use from any task.

    Attributes:
        idle: Idle connections by instance start, the last used at the end.
    """

    __slots__ = ("_lock", "idle")

    def __init__(self) -> None:
        """Start empty."""
        self.idle: dict[str, list[UpstreamConnection]] = {}
        self._lock = threading.Lock()

    def take(
        self, entry: UpstreamEntry, timeout_s: float
    ) -> UpstreamConnection:
        """Return a connection fit for a request, a kept one where there is.

        Raises:
            UpstreamLost: None could be opened; nothing ran.
        """
        while (kept := self._pop(entry.incarnation)) is not None:
            if kept.fit():
                return kept
            kept.close()
        sock = connect(entry.host, entry.port, min(CONNECT_S, timeout_s))
        return UpstreamConnection(sock, KEEP_S)

    def give_back(
        self,
        entry: UpstreamEntry,
        connection: UpstreamConnection,
        keep_alive_s: float | None,
        closes: bool,
    ) -> None:
        """Keep a connection for another request if it is fit for one.

        Args:
            entry: The instance.
            connection: The connection.
            keep_alive_s: Seconds that the upstream keeps it; None if not said.
            closes: Whether the upstream closes it.
        """
        if closes or not connection.rest():
            connection.close()
            return
        connection.keep_alive_s = (
            KEEP_S if keep_alive_s is None else keep_alive_s - KEEP_MARGIN_S
        )
        with self._lock:
            kept = self.idle.setdefault(entry.incarnation, [])
            if len(kept) < MAX_IDLE:
                kept.append(connection)
                return
        connection.close()

    def prune(self) -> None:
        """Close the connections that are too old, and lists left empty."""
        now = time.monotonic()
        with self._lock:
            old = []
            for instance, kept in list(self.idle.items()):
                fresh = [c for c in kept if now - c.idle_since < c.keep_alive_s]
                old += [c for c in kept if now - c.idle_since >= c.keep_alive_s]
                if fresh:
                    self.idle[instance] = fresh
                else:
                    del self.idle[instance]
        for connection in old:
            connection.close()

    def _pop(self, instance: str) -> UpstreamConnection | None:
        with self._lock:
            kept = self.idle.get(instance)
            return kept.pop() if kept else None
