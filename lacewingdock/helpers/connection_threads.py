"""Threads that serve accepted connections, started on demand."""

import _thread
import socket
from collections import deque
from collections.abc import Callable
from queue import SimpleQueue


class ConnectionThreads:
    """Hands connections to threads without waiting for a thread to run.

    `Thread.start` and with it an executor wait until the new thread has its
    first turn. An accepting thread that waits for that while hundreds of others
    want a turn leaves its connections in the listen queue until their callers
    give up.

    Attributes:
        serve: Serves one connection; called with the time of its accept.
        idle: One element for each thread that takes the next connection.
    """

    __slots__ = ("_accepted", "idle", "serve")

    def __init__(self, serve: Callable[[socket.socket, float], None]) -> None:
        """Start without a thread."""
        self.serve = serve
        # Appending and popping need no lock, which threads would queue for.
        self.idle: deque[None] = deque()
        self._accepted: SimpleQueue[tuple[socket.socket, float]] = SimpleQueue()

    def put(self, sock: socket.socket, accepted_at: float) -> None:
        """Hand over a connection.

        Args:
            sock: The connection.
            accepted_at: Monotonic time of its accept.

        Raises:
            RuntimeError: No thread is idle and the system can't start one.
        """
        try:
            self.idle.pop()
        except IndexError:
            _thread.start_new_thread(self._run, ())
        self._accepted.put((sock, accepted_at))

    def _run(self) -> None:
        while True:
            self.serve(*self._accepted.get())
            self.idle.append(None)
