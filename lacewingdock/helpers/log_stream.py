"""Support for a log stream that never blocks whoever logs."""

import contextlib
import os
import threading
import time
from collections import deque
from typing import Final

import msgspec

# Lines that wait for a reader. A reader that stalls for seconds under load
# loses the lines beyond; memory stays bounded at some megabytes.
MAX_LINES: Final = 10_000
# Lines a second that are taken in the long run, and at once. A flood of
# refusals must not spend the processor on telling of each.
LINES_PER_S: Final = 400.0
BURST: Final = 2000.0
# Lines are gathered this long and written together: one write and one thread
# switch for many.
BATCH_DELAY_S: Final = 0.05
# How long the end of a process waits for its last lines to be read.
DRAIN_S: Final = 0.3


class LogStream:
    """Takes text and writes it to a descriptor in a thread of its own.

    Attributes:
        descriptor: Where it writes to.
        dropped: Lines dropped and not told of yet.
        allowed: Lines that may be taken now.
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
        """Start the thread."""
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
        """Take text, or drop it where too much waits or comes."""
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
        self._ready.set()

    def flush(self) -> None:
        """Do nothing: whoever logs does not wait."""

    def drain(self, timeout_s: float) -> None:
        """Wait until all lines are written, for a while."""
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
            # The reader may be gone; then there is nobody to tell.
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
