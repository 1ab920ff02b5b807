"""Support for the load that all routers have at the instances."""

import math
import threading
import time
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.gossip import MAX_ROWS, STALE_S, LoadRow, Message
from lacewingdock.components.upstreams.directory import Directory

# Longest silence of an instance that is reported, in milliseconds. All timeouts
# that wait for a sign of life are shorter.
MAX_QUIET_MS: Final = 10_000
# Thousands of tokens per unit of `unread` in messages, which is ten tokens.
UNREAD_UNIT_KTOKENS: Final = 0.01


@dataclass(slots=True, frozen=True)
class Work:
    """The pending work at an instance.

    Attributes:
        running: Requests that run at the instance.
        unread: Prompt tokens of those whose answers have not begun, in
            thousands of tokens of the largest model.
    """

    running: int = 0
    unread: float = 0.0


NO_WORK: Final = Work()


@dataclass(slots=True)
class _RouterLoads:
    at: float
    order: tuple[int, int]
    rows: list[LoadRow]


class FleetLoad:
    """The load of all other routers; safe to use from any task.

    Attributes:
        routers: The last loads received from each router, by its name.
    """

    __slots__ = ("_lock", "_sums", "routers")

    def __init__(self) -> None:
        """Start without the load of any router."""
        self.routers: dict[str, _RouterLoads] = {}
        self._sums: dict[int, Work] = {}
        self._lock = threading.Lock()

    def at(self, mark: int) -> Work:
        """Return the other routers' work at the instance with a digest."""
        return self._sums.get(mark, NO_WORK)

    def update(self, message: Message) -> None:
        """Replace a router's loads, unless the message is out of order."""
        order = (message.start, message.number)
        with self._lock:
            before = self.routers.get(message.router)
            if before is not None:
                if before.order >= order:
                    return
                self._add(before.rows, -1)
            self.routers[message.router] = _RouterLoads(
                time.monotonic(), order, message.rows
            )
            self._add(message.rows, 1)

    def expire(self) -> None:
        """Drop the loads of routers whose last message is stale."""
        old = time.monotonic() - STALE_S
        with self._lock:
            for name, received in list(self.routers.items()):
                if received.at < old:
                    self._add(received.rows, -1)
                    del self.routers[name]

    def _add(self, rows: list[LoadRow], sign: int) -> None:
        for row in rows:
            previous = self._sums.get(row.mark, NO_WORK)
            running = previous.running + sign * row.running
            unread = previous.unread + sign * row.unread * UNREAD_UNIT_KTOKENS
            if running > 0:
                self._sums[row.mark] = Work(running, max(unread, 0.0))
            else:
                self._sums.pop(row.mark, None)


def record_contacts(directory: Directory, message: Message) -> None:
    """Record when another router last received data from instances."""
    now = time.monotonic()
    for row in message.rows:
        if 0 <= row.quiet_ms <= MAX_QUIET_MS:
            directory.received_by_peer(row.mark, now - row.quiet_ms / 1000)


def load_rows(directory: Directory) -> list[LoadRow]:
    """Return this router's load at the instances.

    Above `MAX_ROWS` the instances with the most work are kept, the most first.
    """
    now = time.monotonic()
    rows = [
        LoadRow(
            one.mark,
            one.running,
            max(round(one.unread / UNREAD_UNIT_KTOKENS), 0),
            _quiet_ms(now - one.last_received_at),
        )
        for one in list(directory.instances.values())
        if one.running > 0
    ]
    if len(rows) > MAX_ROWS:
        rows.sort(key=lambda row: (row.unread, row.running), reverse=True)
        del rows[MAX_ROWS:]
    return rows


def _quiet_ms(quiet_s: float) -> int:
    """Return the silence of an instance in milliseconds, rounded up.

    Returns:
        Milliseconds; -1 beyond `MAX_QUIET_MS`.
    """
    quiet_ms = math.ceil(quiet_s * 1000)
    return quiet_ms if 0 <= quiet_ms <= MAX_QUIET_MS else -1
