"""Time in which processes may be paused, and what their tasks wait for."""

import collections
import queue
import select
import socket
import threading
from dataclasses import dataclass, field

from tests.virtual_time import VirtualTime

STEP_S = 0.02
WAY_S = 0.001


@dataclass(eq=False)
class Process:
    """A process that may be paused.

    Attributes:
        name: Its name.
        pauses: When it is paused: begin and end.
    """

    name: str
    pauses: list[tuple[float, float]] = field(default_factory=list)

    def resumes_at(self, now):
        """Return when it goes on; now unless it is paused."""
        for begin, end in self.pauses:
            if begin <= now < end:
                return end
        return now


class FleetTime(VirtualTime):
    """Time in which the tasks of a paused process stand still."""

    def __init__(self):
        super().__init__()
        self._process = threading.local()

    def start_in(self, process, function, *args):
        """Add a task of a process."""

        def run():
            self._process.value = process
            self.settle()
            function(*args)

        self.start(run)

    def process(self):
        """Return the process of the task that calls."""
        return getattr(self._process, "value", None)

    def sleep(self, seconds):
        """Let time pass, and the rest of a pause."""
        super().sleep(max(seconds, 0.0))
        self.settle()

    def settle(self):
        """Stand still while the process is paused."""
        process = self.process()
        while process and process.resumes_at(self.time) > self.time:
            super().sleep(process.resumes_at(self.time) - self.time)

    def poll(self, ready, seconds):
        """Wait until something is so; return whether it is."""
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
        """Put bytes on their way; a paused reader's socket keeps them."""
        if self.shut or self.incoming.closed_at is not None:
            raise BrokenPipeError
        self.outgoing.pieces.append((self.vt.time + WAY_S, data))
        return len(data)

    def recv(self, _size):
        """Wait for bytes; empty at the end."""
        self.vt.poll(lambda: self.shut or self._came() or self.ended(), None)
        if self.shut:
            return b""
        if self._came():
            return self.incoming.pieces.popleft()[1]
        return b""

    def _came(self):
        pieces = self.incoming.pieces
        return bool(pieces) and pieces[0][0] <= self.vt.time

    def ended(self):
        """Tell whether the other end has closed, as the system knows it."""
        closed_at = self.incoming.closed_at
        return closed_at is not None and closed_at + WAY_S <= self.vt.time

    def shutdown(self, _how):
        """Close it."""
        self.shut = True
        if self.outgoing.closed_at is None:
            self.outgoing.closed_at = self.vt.time

    def close(self):
        """Close it."""
        self.shutdown(socket.SHUT_RDWR)

    def settimeout(self, _seconds):
        """Take no note."""

    def setsockopt(self, *_):
        """Take no note."""


class FakePoll:
    """Tells of a fake socket whether its other end has closed."""

    def register(self, sock, _events):
        """Take the socket."""
        self.sock = sock

    def poll(self, _timeout):
        """Return the events."""
        return [(0, select.POLLRDHUP)] if self.sock.ended() else []


class FleetEvent:
    """An event that tasks wait for."""

    def __init__(self, vt):
        self.vt, self.is_on = vt, False

    def set(self):
        """Set it."""
        self.is_on = True

    def clear(self):
        """Clear it."""
        self.is_on = False

    def is_set(self):
        """Tell whether it is set."""
        return self.is_on

    def wait(self, timeout=None):
        """Wait for it."""
        return self.vt.poll(self.is_set, timeout)


class FleetCondition:
    """A condition that tasks wait for."""

    def __init__(self, vt, lock=None):
        self.vt, self.lock = vt, lock or threading.Lock()
        self.told = 0

    def __enter__(self):
        self.lock.acquire()

    def __exit__(self, *_):
        self.lock.release()

    def wait(self, timeout=None):
        """Wait to be notified."""
        before = self.told
        self.lock.release()
        try:
            return self.vt.poll(lambda: self.told != before, timeout)
        finally:
            self.lock.acquire()

    def wait_for(self, ready, timeout=None):
        """Wait until something is so."""
        self.lock.release()
        try:
            return self.vt.poll(ready, timeout)
        finally:
            self.lock.acquire()

    def notify_all(self):
        """Wake all that wait."""
        self.told += 1


class FleetQueue:
    """A queue between tasks."""

    def __init__(self, vt):
        self.vt, self.items = vt, collections.deque()

    def put(self, item):
        """Put one in."""
        self.items.append(item)

    def empty(self):
        """Tell whether there is none."""
        return not self.items

    def get(self, timeout=None):
        """Take one out.

        Raises:
            queue.Empty: There is none in time.
        """
        if not self.vt.poll(lambda: bool(self.items), timeout):
            raise queue.Empty
        return self.items.popleft()
