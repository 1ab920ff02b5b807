"""Support for the connection pool to upstream instances."""

import threading
import time
from typing import Final

from lacewingdock.components.upstreams.connection import (
    UpstreamConnection,
    connect,
)
from lacewingdock.helpers.byte_budget import ByteBudget
from lacewingdock.world.backend import UpstreamEntry

# Seconds subtracted from the keep-alive timeout that an upstream announces, in
# whole seconds: covers the time in flight of a request that would otherwise
# arrive after the close.
KEEP_ALIVE_MARGIN_S: Final = 0.5
# Keep-alive time in seconds where an upstream announces none; most servers keep
# idle connections 5 s and longer.
DEFAULT_KEEP_ALIVE_S: Final = 3.0
# Connect timeout in seconds. A round trip takes some milliseconds and a
# handshake one more; a lost packet is sent again after 0.2 s and, the first of
# a connection, after 1 s.
CONNECT_S: Final = 0.4
# Idle connections kept for each instance: more than the requests that run there
# at once are rarely needed, and each uses up one of the connections that the
# upstream accepts from all its callers.
MAX_IDLE: Final = 16
# Most bytes of response bodies that are being read at a time: a small part of
# the memory of the smallest instance.
MAX_BODIES_BYTES: Final = 16 * 1024 * 1024


class ConnectionPool:
    """Holds idle connections by instance; safe to use from any task.

    Attributes:
        idle: Idle connections by incarnation, the last used at the end.
        in_use: Connections that carry a request.
        body_bytes: Limits the bytes of response bodies that are being read.
    """

    __slots__ = ("_lock", "body_bytes", "idle", "in_use")

    def __init__(self) -> None:
        """Create an empty pool."""
        self.idle: dict[str, list[UpstreamConnection]] = {}
        self.in_use: set[UpstreamConnection] = set()
        self.body_bytes = ByteBudget(MAX_BODIES_BYTES)
        self._lock = threading.Lock()

    def acquire(
        self, entry: UpstreamEntry, call_id: str, timeout_s: float
    ) -> UpstreamConnection:
        """Return a reusable idle connection, or a new one.

        Args:
            entry: The instance.
            call_id: Id of the request, which the connection never carried.
            timeout_s: Longest time for connecting, in seconds.

        Raises:
            UpstreamLost: The connection failed; the request did not run.
        """
        connection = self._reuse(entry, call_id)
        if connection is None:
            sock = connect(entry.host, entry.port, min(CONNECT_S, timeout_s))
            connection = UpstreamConnection(sock, DEFAULT_KEEP_ALIVE_S)
        self.in_use.add(connection)
        return connection

    def close(self, connection: UpstreamConnection) -> None:
        """Close a connection that is not to be used again."""
        self.in_use.discard(connection)
        connection.close()

    def release(
        self,
        entry: UpstreamEntry,
        connection: UpstreamConnection,
        keep_alive_s: float | None,
        closes: bool,
    ) -> None:
        """Keep a connection for another request if it can be reused.

        Args:
            entry: The instance.
            connection: The connection.
            keep_alive_s: Keep-alive time that the upstream announces, in
                seconds; None if it announces none.
            closes: Whether the upstream closes the connection.
        """
        if closes or not connection.reset():
            self.close(connection)
            return
        self.in_use.discard(connection)
        connection.keep_alive_s = (
            DEFAULT_KEEP_ALIVE_S
            if keep_alive_s is None
            else keep_alive_s - KEEP_ALIVE_MARGIN_S
        )
        with self._lock:
            kept = self.idle.setdefault(entry.incarnation, [])
            if len(kept) < MAX_IDLE:
                kept.append(connection)
                return
        connection.close()

    def prune(self) -> None:
        """Close expired idle connections and drop empty lists."""
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

    def _reuse(
        self, entry: UpstreamEntry, call_id: str
    ) -> UpstreamConnection | None:
        while (kept := self._pop(entry.incarnation, call_id)) is not None:
            if kept.is_reusable():
                return kept
            kept.close()
        return None

    def _pop(self, instance: str, call_id: str) -> UpstreamConnection | None:
        with self._lock:
            kept = self.idle.get(instance, [])
            for connection in reversed(kept):
                if not connection.has_carried(call_id):
                    kept.remove(connection)
                    return connection
        return None
