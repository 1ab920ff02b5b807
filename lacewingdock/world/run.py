"""Support for one request on an upstream and the answer kept of it."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Attempt, Chunk, Finish, Refusal


@dataclass(slots=True)
class Watcher:
    """Someone who gets the answer.

    Attributes:
        link: Where the frames go.
        attempt: The id they carry.
    """

    link: Link
    attempt: str


class Run:
    """A request, its answer so far, and who gets it.

    Attributes:
        attempt: What was asked.
        chunks: The answer's pieces so far.
        size: Bytes of the pieces.
        outcome: The end; None while running.
        watchers: Who gets the answer now.
        lock: Guards the pieces, the outcome and the watchers.
        cancelled: Set when the upstream shall be told to stop.
        changed: Monotonic time of the last watcher's leave or of the end.
        executed: Whether the upstream may have seen the request.
        evicted: Whether pieces were dropped to bound memory.
        caller_left: Whether it was cancelled because its caller went away.
        before_end: Called once with the run and its end, before anyone is
            told of the end; None once called.
    """

    __slots__ = (
        "attempt",
        "before_end",
        "caller_left",
        "cancelled",
        "changed",
        "chunks",
        "evicted",
        "executed",
        "lock",
        "outcome",
        "size",
        "watchers",
    )

    def __init__(self, attempt: Attempt) -> None:
        """Start with an empty answer."""
        self.attempt = attempt
        self.chunks: list[bytes] = []
        self.size = 0
        self.outcome: Finish | Refusal | None = None
        self.watchers: list[Watcher] = []
        self.lock = threading.Lock()
        self.cancelled = threading.Event()
        self.changed = time.monotonic()
        self.executed = False
        self.evicted = False
        self.caller_left = False
        self.before_end: Callable[[Run, Finish | Refusal], None] | None = None

    def add(self, data: bytes) -> None:
        """Keep a piece and pass it on."""
        with self.lock:
            offset = len(self.chunks)
            self.chunks.append(data)
            self.size += len(data)
            for watcher in self.watchers:
                watcher.link.send(Chunk(watcher.attempt, offset, data))

    def end(self, finish: Finish) -> None:
        """End the answer as whole."""
        self._call_before_end(finish)
        with self.lock:
            self._end_locked(replace(finish, chunks=len(self.chunks)))

    def refuse(self, error: LacewingdockError) -> None:
        """End the answer with an error."""
        retry = error.retry_after_s
        refusal = Refusal(
            self.attempt.attempt,
            error.kind,
            error.ran,
            error.detail,
            -1 if retry is None else int(retry * 1000),
        )
        self._call_before_end(refusal)
        with self.lock:
            self._end_locked(refusal)

    def _call_before_end(self, outcome: Finish | Refusal) -> None:
        callback, self.before_end = self.before_end, None
        if callback is not None:
            callback(self, outcome)

    def _end_locked(self, outcome: Finish | Refusal) -> None:
        self.outcome = outcome
        self.changed = time.monotonic()
        for watcher in self.watchers:
            self._send_end(watcher)

    def _send_end(self, watcher: Watcher) -> None:
        assert self.outcome is not None
        watcher.link.send(replace(self.outcome, attempt=watcher.attempt))
        watcher.link.busy.add(-1)

    def attach(self, link: Link, attempt: str, offset: int) -> None:
        """Send what is there from an offset on, then what follows."""
        with self.lock:
            self.attach_locked(link, attempt, offset)

    def attach_locked(self, link: Link, attempt: str, offset: int) -> None:
        """Do `attach` for a caller that holds the lock."""
        link.busy.add(1)
        watcher = Watcher(link, attempt)
        if self.evicted or offset > len(self.chunks):
            link.send(
                Refusal(
                    attempt,
                    ErrorKind.ANSWER_GONE,
                    "yes",
                    "the answer is no longer kept",
                )
            )
            link.busy.add(-1)
            return
        for index in range(offset, len(self.chunks)):
            link.send(Chunk(attempt, index, self.chunks[index]))
        self.watchers.append(watcher)
        if self.outcome is not None:
            self._send_end(watcher)

    def detach(self, link: Link, attempt: str | None = None) -> None:
        """Forget the watchers of a link, or one of them."""
        with self.lock:
            kept = [
                w
                for w in self.watchers
                if w.link is not link or attempt not in (None, w.attempt)
            ]
            gone = len(self.watchers) - len(kept)
            if not gone:
                return
            if self.outcome is None:
                link.busy.add(-gone)
            self.watchers = kept
            self.changed = time.monotonic()

    def hand_over(self, other: "Run") -> None:
        """Let another run serve this one's watchers, from the start."""
        with self.lock:
            moved, self.watchers = self.watchers, []
        for watcher in moved:
            watcher.link.busy.add(-1)
            other.attach(watcher.link, watcher.attempt, 0)

    def evict(self) -> None:
        """Drop the pieces; the outcome stays."""
        with self.lock:
            self.chunks = []
            self.size = 0
            self.evicted = True
