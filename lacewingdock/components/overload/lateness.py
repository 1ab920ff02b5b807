"""Support for measuring how late this router reads what has arrived.

Bytes that wait unread show that the process can't keep up, whatever it lacks:
processor time, a thread's turn, or a caller that takes what is written. They
show it without the help of the threads that wait for their turn, some of which
may get none for seconds while others go on.
"""

import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

from lacewingdock.components.overload.const import (
    MIN_BUSY,
    SAMPLE_INTERVAL_S,
    SAMPLES,
)
from lacewingdock.helpers.log import get_logger

log = get_logger("overload")


class Receiver(Protocol):
    """A connection whose bytes one thread reads.

    Attributes:
        sock: The socket.
        last_received_at: Monotonic time of the last read that returned bytes.
    """

    sock: socket.socket
    last_received_at: float


class LatenessMeter:
    """Measures the share of busy connections whose bytes wait too long.

    Attributes:
        upstream: Returns the connections on which an answer is awaited.
        callers: Returns the connections on which a request may arrive.
        busy: Connections with work at the last sample.
        late: Those of them whose bytes waited for a sample interval or longer.
        share: Mean share of late connections in the last samples.
    """

    __slots__ = (
        "_shares",
        "_waiting",
        "busy",
        "callers",
        "late",
        "share",
        "upstream",
    )

    def __init__(
        self,
        upstream: Callable[[], Iterable[Receiver]],
        callers: Callable[[], Iterable[Receiver]],
    ) -> None:
        """Start without a sample."""
        self.upstream = upstream
        self.callers = callers
        self.busy = 0
        self.late = 0
        self.share = 0.0
        self._shares: deque[float] = deque(maxlen=SAMPLES)
        # Monotonic time at which each connection was first seen unread.
        self._waiting: dict[Receiver, float] = {}

    def run(self, stopping: threading.Event) -> None:
        """Take samples until the daemon stops."""
        while not stopping.wait(SAMPLE_INTERVAL_S):
            try:
                self.sample(time.monotonic())
            except Exception:
                # A share that is never renewed would close connections forever.
                self.share = 0.0
                log.exception("sample failed")

    def sample(self, now: float) -> None:
        """Look at all connections once.

        Args:
            now: Monotonic time.
        """
        upstream = list(self.upstream())
        unread = _unread([*upstream, *self.callers()])
        # Bytes that arrived since the last look have not waited yet, and a
        # pause of the whole process makes none of them late.
        waiting = {
            one: since
            for one in unread
            if (since := self._waiting.get(one, now)) >= one.last_received_at
        }
        self.late = sum(
            now - since >= SAMPLE_INTERVAL_S / 2 for since in waiting.values()
        )
        self.busy = len({*upstream, *unread})
        self._waiting = {one: waiting.get(one, now) for one in unread}
        self._shares.append(self.late / max(self.busy, MIN_BUSY))
        self.share = sum(self._shares) / len(self._shares)


def _unread(receivers: Iterable[Receiver]) -> list[Receiver]:
    """Return the connections with bytes, or an end, that wait to be read."""
    poller, by_descriptor = select.poll(), {}
    for one in receivers:
        descriptor = one.sock.fileno()
        if descriptor >= 0:
            poller.register(descriptor, select.POLLIN)
            by_descriptor[descriptor] = one
    return [
        by_descriptor[descriptor]
        for descriptor, events in poller.poll(0)
        # The connection was closed since its descriptor was read.
        if not events & select.POLLNVAL
    ]
