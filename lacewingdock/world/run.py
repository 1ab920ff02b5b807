"""Support for a request on an upstream and its buffered answer."""

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

# Buffered chunks sent per batch before the backpressure of the link is checked.
BATCH_CHUNKS: Final = 64


@dataclass(slots=True)
class Subscriber:
    """A recipient of the answer over a link.

    Attributes:
        link: Link that the frames are sent over.
        attempt: Attempt id carried by the frames.
        live: Whether all buffered chunks were sent and new chunks are
            forwarded as they arrive.
        since: Start of the subscription, in seconds since boot.
    """

    link: Link
    attempt: str
    live: bool = False
    since: float = field(default_factory=since_boot)

    def is_waiting(self) -> bool:
        """Return whether the peer is presumed to wait for the answer."""
        link = self.link
        return not link.is_hung_up() and not link.lapsed_since(self.since)


class Run:
    """A request on an upstream, its buffered answer and its subscribers.

    Attributes:
        attempt: The attempt that started the request.
        chunks: Chunks of the answer received so far.
        size: Total size of the chunks, in bytes.
        outcome: Final frame of the answer; None while running.
        subscribers: Current recipients of the answer.
        first_subscriber: The first recipient; None before.
        lock: Guards the chunks, the outcome and the subscribers. It is
            acquired by the reading tasks of links, so no code may block
            while holding it.
        cancelled: Set when the request on the upstream is to be aborted.
        on_cancel: Aborts the call to the upstream immediately.
        idle_since: Monotonic time of the start, of the last subscriber's
            departure or of the end.
        executed: Whether the upstream may have received the request.
        evicted: Whether chunks were dropped to bound memory.
        resume_announced: Whether an entry announced that it will fetch the
            rest of the answer.
        end_delivered: Whether an entry confirmed that it received the end.
        caller_left: Whether the run was cancelled because the caller
            disconnected.
        deadline: Monotonic time by which the answer must be complete.
        before_end: Called once with the run and its outcome before the outcome
            is sent to subscribers; None once called.
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
        "first_subscriber",
        "idle_since",
        "lock",
        "on_cancel",
        "outcome",
        "resume_announced",
        "size",
        "subscribers",
    )

    def __init__(self, attempt: Attempt) -> None:
        """Build a run of an attempt with an empty answer."""
        self.attempt = attempt
        self.chunks: list[bytes] = []
        self.size = 0
        self.outcome: Finish | Refusal | None = None
        self.subscribers: list[Subscriber] = []
        self.first_subscriber: Subscriber | None = None
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
        """Buffer a chunk and forward it to live subscribers."""
        with self.lock:
            offset = len(self.chunks)
            self.chunks.append(data)
            self.size += len(data)
            for subscriber in self.subscribers:
                if subscriber.live:
                    subscriber.link.send(
                        Chunk(subscriber.attempt, offset, data)
                    )

    def end(self, finish: Finish) -> None:
        """Complete the answer and notify live subscribers."""
        self._call_before_end(finish)
        with self.lock:
            self._end_locked(replace(finish, chunks=len(self.chunks)))

    def refuse(self, error: LacewingdockError, revision: int = 0) -> None:
        """Fail the run with an error.

        Args:
            error: The error.
            revision: Configuration revision of the decision; 0 if not
                applicable.
        """
        refusal = build_refusal(self.attempt.attempt, error, revision)
        self._call_before_end(refusal)
        with self.lock:
            self._end_locked(refusal)

    def _call_before_end(self, outcome: Finish | Refusal) -> None:
        callback, self.before_end = self.before_end, None
        if callback is not None:
            callback(self, outcome)

    def is_abandoned(self) -> bool:
        """Return whether the entry has retried elsewhere before the start.

        When a link was silent for too long, the entry has sent the request to
        another upstream, and starting it here would run the request twice. A
        request that is not repeatable was not retried; its entry reconnects
        to fetch the answer.
        """
        attempt = self.attempt
        if not attempt.repeatable:
            return False
        if any(
            subscriber.is_waiting() for subscriber in tuple(self.subscribers)
        ):
            return False
        if not (attempt.resumable or self.resume_announced):
            return True
        # A caller whose entry crashed may return for a resumable answer.
        first_subscriber = self.first_subscriber
        return (
            first_subscriber is not None
            and first_subscriber.link.lapsed_since(first_subscriber.since)
        )

    def cancel(self) -> None:
        """Abort the call to the upstream without waiting for its next byte."""
        self.cancelled.set()
        hook = self.on_cancel
        if hook is not None:
            with contextlib.suppress(OSError):
                hook()

    def set_cancel_hook(self, hook: Callable[[], object]) -> None:
        """Set the function that aborts the current call to the upstream."""
        self.on_cancel = hook
        # A concurrent `cancel` may have run before the hook was set.
        if self.cancelled.is_set():
            self.cancel()

    def _end_locked(self, outcome: Finish | Refusal) -> None:
        self.outcome = outcome
        self.idle_since = time.monotonic()
        for subscriber in self.subscribers:
            if subscriber.live:
                self._send_end(subscriber)

    def _send_end(self, subscriber: Subscriber) -> None:
        assert self.outcome is not None
        subscriber.link.send(replace(self.outcome, attempt=subscriber.attempt))
        subscriber.link.finish()

    def attach(self, link: Link, attempt: str, offset: int) -> None:
        """Subscribe a link: send buffered chunks from an offset, then new ones.

        Blocks between batches while the link is slow, so it needs a task of
        its own unless no chunks are buffered yet.
        """
        subscriber = Subscriber(link, attempt)
        with self.lock:
            # Subscribers of a link are removed once, when the link closes. A
            # subscriber added later would leak together with its run.
            if link.closed:
                return
            link.begin()
            self.first_subscriber = self.first_subscriber or subscriber
            self.subscribers.append(subscriber)
        while self._send_batch(subscriber, offset):
            offset += BATCH_CHUNKS
            if not link.wait_for_room():
                return

    def _send_batch(self, subscriber: Subscriber, offset: int) -> bool:
        """Send a batch of chunks; return whether more chunks are buffered."""
        with self.lock:
            if not any(w is subscriber for w in self.subscribers):
                return False
            if self._is_evicted_locked(offset):
                self._refuse_evicted_locked(subscriber)
                return False
            chunks = self.chunks[offset : offset + BATCH_CHUNKS]
            for index, data in enumerate(chunks, offset):
                subscriber.link.send(Chunk(subscriber.attempt, index, data))
            if offset + len(chunks) < len(self.chunks):
                return True
            subscriber.live = True
            if self.outcome is not None:
                self._send_end(subscriber)
            return False

    def _is_evicted_locked(self, offset: int) -> bool:
        if not self.evicted:
            return offset > len(self.chunks)
        # A peer that has all chunks needs only the outcome, which is kept.
        end = self.outcome
        return not (isinstance(end, Finish) and offset == end.chunks)

    def _refuse_evicted_locked(self, subscriber: Subscriber) -> None:
        self.subscribers = [w for w in self.subscribers if w is not subscriber]
        subscriber.link.send(
            Refusal(
                subscriber.attempt,
                ErrorKind.ANSWER_GONE,
                RAN_YES,
                "the answer is no longer kept",
            )
        )
        subscriber.link.finish()

    def detach(self, link: Link, attempt: str | None = None) -> bool:
        """Remove one or all subscribers of a link.

        Args:
            link: The link.
            attempt: Attempt id of the subscriber; None for all of the link.

        Returns:
            Whether any subscriber was removed.
        """
        with self.lock:
            gone = [
                w
                for w in self.subscribers
                if w.link is link and attempt in (None, w.attempt)
            ]
            if not gone:
                return False
            for subscriber in gone:
                # For a live subscriber of an ended run `_send_end` already
                # called `finish`.
                if self.outcome is None or not subscriber.live:
                    link.finish()
            self.subscribers = [
                w for w in self.subscribers if not any(w is g for g in gone)
            ]
            self.idle_since = time.monotonic()
            return True

    def detach_peer(self, link: Link) -> None:
        """Remove the subscribers of all other links of the same peer."""
        peer = link.peer.incarnation
        for subscriber in tuple(self.subscribers):
            if subscriber.link is not link and (
                subscriber.link.peer.incarnation == peer
            ):
                self.detach(subscriber.link)

    def transfer_subscribers(self, other: "Run") -> None:
        """Move all subscribers to another run, which sends from offset 0."""
        with self.lock:
            moved, self.subscribers = self.subscribers, []
        for subscriber in moved:
            subscriber.link.finish()
            other.attach(subscriber.link, subscriber.attempt, 0)

    def evict(self) -> None:
        """Drop the buffered chunks and keep the outcome."""
        with self.lock:
            self.chunks = []
            self.size = 0
            self.evicted = True
