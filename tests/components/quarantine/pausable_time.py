"""Virtual time with process pauses, and sockets and locks that use it."""

import collections
import queue
import select
import socket
import threading
from dataclasses import dataclass, field

from tests.virtual_time import VirtualTime

STEP_S = 0.02
DELIVERY_S = 0.001


@dataclass(eq=False)
class Process:
    """A process that may be paused.

    Attributes:
        name: Name of the process.
        pauses: Begin and end of each pause, in seconds of virtual time.
    """

    name: str
    pauses: list[tuple[float, float]] = field(default_factory=list)

    def resumes_at(self, now):
        """Return when the process continues; now unless it is paused."""
        for begin, end in self.pauses:
            if begin <= now < end:
                return end
        return now


class FleetTime(VirtualTime):
    """Virtual time in which the tasks of a paused process are suspended."""

    def __init__(self):
        super().__init__()
        self._process = threading.local()

    def start_in(self, process, function, *args):
        """Start a task that belongs to a process."""

        def run():
            self._process.value = process
            self.wait_for_pause_end()
            function(*args)

        self.start(run)

    def process(self):
        """Return the process of the calling task; None if it has none."""
        return getattr(self._process, "value", None)

    def sleep(self, seconds):
        """Sleep, then wait for the end of a pause."""
        super().sleep(max(seconds, 0.0))
        self.wait_for_pause_end()

    def wait_for_pause_end(self):
        """Suspend the calling task while its process is paused."""
        process = self.process()
        while process and process.resumes_at(self.time) > self.time:
            super().sleep(process.resumes_at(self.time) - self.time)

    def poll(self, ready, seconds):
        """Wait until a condition holds; return whether it does in time."""
        end = self.time + (seconds if seconds is not None else 1e9)
        while not ready():
            if self.time >= end:
                return False
            self.sleep(min(STEP_S, end - self.time))
        return True


class Pipe:
    """One direction of a connection."""

    def __init__(self):
        self.pieces = collections.deque()
        self.closed_at = None


class FakeSocket:
    """One end of a connection between two processes."""

    def __init__(self, vt, incoming, outgoing):
        self.vt, self.incoming, self.outgoing = vt, incoming, outgoing
        self.shut = False

    def send(self, data, _flags=0):
        """Send bytes; the socket of a paused reader buffers them."""
        if self.shut or self.incoming.closed_at is not None:
            raise BrokenPipeError
        self.outgoing.pieces.append((self.vt.time + DELIVERY_S, data))
        return len(data)

    def recv(self, _size):
        """Wait for bytes; return none once the connection is closed."""
        self.vt.poll(
            lambda: self.shut or self._has_data() or self.peer_closed(), None
        )
        if self.shut:
            return b""
        if self._has_data():
            return self.incoming.pieces.popleft()[1]
        return b""

    def _has_data(self):
        pieces = self.incoming.pieces
        return bool(pieces) and pieces[0][0] <= self.vt.time

    def peer_closed(self):
        """Return whether the close of the other end has arrived."""
        closed_at = self.incoming.closed_at
        return closed_at is not None and closed_at + DELIVERY_S <= self.vt.time

    def shutdown(self, _how):
        """Close both directions of this end."""
        self.shut = True
        if self.outgoing.closed_at is None:
            self.outgoing.closed_at = self.vt.time

    def close(self):
        """Close the socket."""
        self.shutdown(socket.SHUT_RDWR)

    def settimeout(self, _seconds):
        """Ignore the timeout."""

    def setsockopt(self, *_):
        """Ignore the option."""


class FakePoll:
    """Poll object that reports whether a fake socket's peer has closed."""

    def register(self, sock, _events):
        """Register the socket to poll."""
        self.sock = sock

    def poll(self, _timeout):
        """Return the pending events."""
        return [(0, select.POLLRDHUP)] if self.sock.peer_closed() else []


class FleetEvent:
    """An event in virtual time."""

    def __init__(self, vt):
        self.vt, self.flag = vt, False

    def set(self):
        """Set the event."""
        self.flag = True

    def clear(self):
        """Clear the event."""
        self.flag = False

    def is_set(self):
        """Return whether the event is set."""
        return self.flag

    def wait(self, timeout=None):
        """Wait for the event; return whether it is set in time."""
        return self.vt.poll(self.is_set, timeout)


class FleetCondition:
    """A condition variable in virtual time."""

    def __init__(self, vt, lock=None):
        self.vt, self.lock = vt, lock or threading.Lock()
        self.notifications = 0

    def __enter__(self):
        self.lock.acquire()

    def __exit__(self, *_):
        self.lock.release()

    def wait(self, timeout=None):
        """Wait for a notification; return whether it came in time."""
        before = self.notifications
        self.lock.release()
        try:
            return self.vt.poll(lambda: self.notifications != before, timeout)
        finally:
            self.lock.acquire()

    def wait_for(self, ready, timeout=None):
        """Wait until a predicate holds; return whether it does in time."""
        self.lock.release()
        try:
            return self.vt.poll(ready, timeout)
        finally:
            self.lock.acquire()

    def notify_all(self):
        """Notify all waiting tasks."""
        self.notifications += 1


class FleetQueue:
    """A queue in virtual time."""

    def __init__(self, vt):
        self.vt, self.items = vt, collections.deque()

    def put(self, item):
        """Add an item."""
        self.items.append(item)

    def empty(self):
        """Return whether the queue is empty."""
        return not self.items

    def get(self, timeout=None):
        """Remove and return the oldest item.

        Raises:
            queue.Empty: The queue stays empty until the timeout.
        """
        if not self.vt.poll(lambda: bool(self.items), timeout):
            raise queue.Empty
        return self.items.popleft()
