"""Support for one request on an upstream and the answer kept of it."""

import contextlib
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from lacewingdock.const import RAN_YES
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.clock import MS_PER_S, since_boot
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Attempt, Chunk, Finish, Refusal
from lacewingdock.links.refusals import build_refusal

# Kept pieces sent in one go before the link is asked whether it has room.
BATCH_PIECES: Final = 64


@dataclass(slots=True)
class Watcher:
    """Someone who gets the answer.

    Attributes:
        link: Where the frames go.
        attempt: The id they carry.
        live: Whether it has all kept pieces and gets new ones as they come.
        since: When it began to wait, in seconds since boot.
    """

    link: Link
    attempt: str
    live: bool = False
    since: float = field(default_factory=since_boot)

    def is_waiting(self) -> bool:
        """Tell whether its end of the link still waits, for all one knows."""
        link = self.link
        return not link.is_hung_up() and not link.lapsed_since(self.since)


class Run:
    """A request, its answer so far, and who gets it.

    Attributes:
        attempt: What was asked.
        chunks: The answer's pieces so far.
        size: Bytes of the pieces.
        outcome: The end; None while running.
        watchers: Who gets the answer now.
        first: Who got the answer first; None before.
        lock: Guards the pieces, the outcome and the watchers. Nothing blocks
            under it, for links' reading tasks take it.
        cancelled: Set when the upstream shall be told to stop.
        on_cancel: Ends the call of the upstream at once.
        changed: Monotonic time of the last watcher's leave or of the end.
        executed: Whether the upstream may have seen the request.
        evicted: Whether pieces were dropped to bound memory.
        kept: Whether an entry said that it comes back for the rest.
        fetched: Whether an entry said that it has the end.
        caller_left: Whether it was cancelled because its caller went away.
        deadline: Monotonic time by which the answer must be whole.
        before_end: Called once with the run and its end, before anyone is
            told of the end; None once called.
    """

    __slots__ = (
        "attempt",
        "before_end",
        "caller_left",
        "cancelled",
        "chunks",
        "deadline",
        "end_delivered",
        "evicted",
        "executed",
        "first",
        "idle_since",
        "lock",
        "on_cancel",
        "outcome",
        "resume_announced",
        "size",
        "subscribers",
    )

    def __init__(self, attempt: Attempt) -> None:
        """Start with an empty answer."""
        self.attempt = attempt
        self.chunks: list[bytes] = []
        self.size = 0
        self.outcome: Finish | Refusal | None = None
        self.subscribers: list[Watcher] = []
        self.first: Watcher | None = None
        self.lock = threading.Lock()
        self.cancelled = threading.Event()
        self.on_cancel: Callable[[], object] | None = None
        self.idle_since = time.monotonic()
        self.deadline = self.idle_since + attempt.deadline_ms / MS_PER_S
        self.executed = False
        self.evicted = False
        self.resume_announced = False
        self.end_delivered = False
        self.caller_left = False
        self.before_end: Callable[[Run, Finish | Refusal], None] | None = None

    def add(self, data: bytes) -> None:
        """Keep a piece and pass it on."""
        with self.lock:
            offset = len(self.chunks)
            self.chunks.append(data)
            self.size += len(data)
            for watcher in self.subscribers:
                if watcher.live:
                    watcher.link.send(Chunk(watcher.attempt, offset, data))

    def end(self, finish: Finish) -> None:
        """End the answer as whole."""
        self._call_before_end(finish)
        with self.lock:
            self._end_locked(replace(finish, chunks=len(self.chunks)))

    def refuse(self, error: LacewingdockError, revision: int = 0) -> None:
        """End the answer with an error, decided at a revision."""
        refusal = build_refusal(self.attempt.attempt, error, revision)
        self._call_before_end(refusal)
        with self.lock:
            self._end_locked(refusal)

    def _call_before_end(self, outcome: Finish | Refusal) -> None:
        callback, self.before_end = self.before_end, None
        if callback is not None:
            callback(self, outcome)

    def is_abandoned(self) -> bool:
        """Tell whether its entry has turned elsewhere before it began.

        The entry of a link that was silent for too long has sent the request
        to another upstream: begun now, it would run twice. One that may not
        be repeated was sent nowhere else; its entry comes back for it.
        """
        attempt = self.attempt
        if not attempt.repeatable:
            return False
        if any(watcher.is_waiting() for watcher in tuple(self.subscribers)):
            return False
        if not (attempt.resumable or self.resume_announced):
            return True
        # A caller whose entry died may come back for such an answer.
        first = self.first
        return first is not None and first.link.lapsed_since(first.since)

    def cancel(self) -> None:
        """Tell the upstream to stop, now rather than with its next byte."""
        self.cancelled.set()
        hook = self.on_cancel
        if hook is not None:
            with contextlib.suppress(OSError):
                hook()

    def set_cancel_hook(self, hook: Callable[[], object]) -> None:
        """Take what a cancel has to call now."""
        self.on_cancel = hook
        # A cancel that came just before did not see the hook.
        if self.cancelled.is_set():
            self.cancel()

    def _end_locked(self, outcome: Finish | Refusal) -> None:
        self.outcome = outcome
        self.idle_since = time.monotonic()
        for watcher in self.subscribers:
            if watcher.live:
                self._send_end(watcher)

    def _send_end(self, watcher: Watcher) -> None:
        assert self.outcome is not None
        watcher.link.send(replace(self.outcome, attempt=watcher.attempt))
        watcher.link.finish()

    def attach(self, link: Link, attempt: str, offset: int) -> None:
        """Send what is there from an offset on, then what follows.

        It waits for a slow link between batches, so only a task of its own
        may call it, unless nothing is kept yet.
        """
        watcher = Watcher(link, attempt)
        with self.lock:
            # The close of a link forgets its watchers once. One that came
            # after that would stay for good, and its run with it.
            if link.closed:
                return
            link.begin()
            self.first = self.first or watcher
            self.subscribers.append(watcher)
        while self._catch_up(watcher, offset):
            offset += BATCH_PIECES
            if not link.wait_for_room():
                return

    def _catch_up(self, watcher: Watcher, offset: int) -> bool:
        """Send a batch; return whether there is more that is kept."""
        with self.lock:
            if not any(w is watcher for w in self.subscribers):
                return False
            if self._is_gone_locked(offset):
                self._refuse_gone_locked(watcher)
                return False
            chunks = self.chunks[offset : offset + BATCH_PIECES]
            for index, data in enumerate(chunks, offset):
                watcher.link.send(Chunk(watcher.attempt, index, data))
            if offset + len(chunks) < len(self.chunks):
                return True
            watcher.live = True
            if self.outcome is not None:
                self._send_end(watcher)
            return False

    def _is_gone_locked(self, offset: int) -> bool:
        if not self.evicted:
            return offset > len(self.chunks)
        # Whoever has all pieces lacks only the end, which is kept.
        end = self.outcome
        return not (isinstance(end, Finish) and offset == end.chunks)

    def _refuse_gone_locked(self, watcher: Watcher) -> None:
        self.subscribers = [w for w in self.subscribers if w is not watcher]
        watcher.link.send(
            Refusal(
                watcher.attempt,
                ErrorKind.ANSWER_GONE,
                RAN_YES,
                "the answer is no longer kept",
            )
        )
        watcher.link.finish()

    def detach(self, link: Link, attempt: str | None = None) -> bool:
        """Forget the watchers of a link, or one; return if there were any."""
        with self.lock:
            gone = [
                w
                for w in self.subscribers
                if w.link is link and attempt in (None, w.attempt)
            ]
            if not gone:
                return False
            for watcher in gone:
                # A live watcher of an ended run was counted off at the end.
                if self.outcome is None or not watcher.live:
                    link.finish()
            self.subscribers = [
                w for w in self.subscribers if not any(w is g for g in gone)
            ]
            self.idle_since = time.monotonic()
            return True

    def detach_peer(self, link: Link) -> None:
        """Forget the watchers of a peer's other links."""
        peer = link.peer.incarnation
        for watcher in tuple(self.subscribers):
            if watcher.link is not link and (
                watcher.link.peer.incarnation == peer
            ):
                self.detach(watcher.link)

    def transfer_subscribers(self, other: "Run") -> None:
        """Let another run serve this one's watchers, from the start."""
        with self.lock:
            moved, self.subscribers = self.subscribers, []
        for watcher in moved:
            watcher.link.finish()
            other.attach(watcher.link, watcher.attempt, 0)

    def evict(self) -> None:
        """Drop the pieces; the outcome stays."""
        with self.lock:
            self.chunks = []
            self.size = 0
            self.evicted = True
