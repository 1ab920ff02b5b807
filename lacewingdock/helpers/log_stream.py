"""Non-blocking log stream with a bounded buffer and a rate limit."""

import contextlib
import os
import threading
import time
from collections import deque
from typing import Final

import msgspec

# Lines that are buffered for a slow reader, which bounds memory to some
# megabytes. If the reader stalls for seconds under load, further lines are
# dropped.
MAX_LINES: Final = 10_000
# Token bucket of the rate limit: sustained lines per second, and lines in a
# burst. Logging each of a flood of refused requests would take the processor
# time that the other requests need.
LINES_PER_S: Final = 400.0
BURST: Final = 2000.0
# Seconds for which lines are collected into one write, which saves a system
# call and a thread switch per line.
BATCH_DELAY_S: Final = 0.05
# Seconds that a process waits at exit until its last lines are written.
DRAIN_S: Final = 0.3


class LogStream:
    """A stream whose lines a background thread writes to a file descriptor.

    Attributes:
        descriptor: File descriptor to write to.
        dropped: Number of dropped lines that no log line reports yet.
        tokens: Lines that the rate limit allows now.
    """

    __slots__ = (
        "_lines",
        "_lock",
        "_ready",
        "_refilled_at",
        "descriptor",
        "dropped",
        "tokens",
    )

    def __init__(self, descriptor: int) -> None:
        """Start the thread that writes to the descriptor."""
        self.descriptor = descriptor
        self.dropped = 0
        self.tokens = BURST
        self._refilled_at = time.monotonic()
        self._lines: deque[str] = deque()
        self._lock = threading.Lock()
        self._ready = threading.Event()
        thread = threading.Thread(target=self._run, name="log", daemon=True)
        thread.start()

    def write(self, text: str) -> None:
        """Queue a line, or drop it above the buffer size or the rate limit."""
        with self._lock:
            now = time.monotonic()
            grown = self.tokens + (now - self._refilled_at) * LINES_PER_S
            self.tokens = min(grown, BURST)
            self._refilled_at = now
            if self.tokens < 1 or len(self._lines) >= MAX_LINES:
                self.dropped += 1
                return
            self.tokens -= 1
            self._lines.append(text)
        # The event has a lock of its own, which is not needed for most lines.
        if not self._ready.is_set():
            self._ready.set()

    def flush(self) -> None:
        """Do nothing: a log call must not wait for the reader."""

    def drain(self, timeout_s: float) -> None:
        """Wait until all queued lines are written, or until the timeout."""
        end = time.monotonic() + timeout_s
        while self._lines and time.monotonic() < end:
            time.sleep(BATCH_DELAY_S / 5)

    def _run(self) -> None:
        while True:
            self._ready.wait()
            time.sleep(BATCH_DELAY_S)
            self._ready.clear()
            with self._lock:
                lines = list(self._lines)
                dropped, self.dropped = self.dropped, 0
            if dropped:
                lines.append(_dropped_line(dropped))
            # The reader may have closed the pipe; the error cannot be logged.
            with contextlib.suppress(OSError):
                _write_all(self.descriptor, "".join(lines).encode())
            with self._lock:
                for _ in range(len(lines) - bool(dropped)):
                    self._lines.popleft()


def _dropped_line(count: int) -> str:
    line = {
        "level": "warning",
        "logger": "log",
        "message": "lines dropped",
        "lines": count,
    }
    return msgspec.json.encode(line).decode() + "\n"


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
