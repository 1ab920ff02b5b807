"""Support for one answer as it arrives, piece by piece."""

import queue
import threading
import time
from collections.abc import Callable
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Attempt, Chunk, Finish, Refusal
from lacewingdock.world.upstream import Upstream

# Pieces that wait for a slow caller, at most; beyond it the answer is fetched
# again by offset once the caller has taken them.
MAX_WAITING_BYTES: Final = 256 * 1024


class LinkLost:
    """Put in place of a piece when no more come over this link."""

    __slots__ = ()


LINK_LOST: Final = LinkLost()
Event = Chunk | Finish | Refusal | LinkLost
Sink = Callable[[int, bytes], bool]


class Answer:
    """What an entry has of the answer to one attempt.

    The link's reading task delivers; the caller's task takes.

    Attributes:
        upstream: Where it comes from.
        attempt: What was asked; its id names the answer at the sidecar.
        current: The id that frames carry now; changes with each link.
        link: The link it comes over; None between links.
        events: What was delivered and not taken yet.
        held: An end that was met while pieces before it were taken.
        waiting: Bytes delivered and not taken yet.
        lost: Whether nothing more is delivered before a new link.
        expected: Offset that the next delivered piece must have.
        next_offset: Offset of the next piece to be taken.
        deadline: Monotonic time after which nobody waits.
        finish: The end, once taken.
        ended: Whether an end was delivered, whole or refused.
        dropped: Whether nobody waits any more.
        left: Whether that is because the caller went away.
        in_doubt: Whether its link was lost before it began, so that nobody
            knows whether its upstream lives.
        shown: Whether the caller gets the pieces as they come.
        tap: Sees each new piece, for metrics; None where nobody looks.
        sink: Takes pieces in the delivering task; None lets them wait.
        sent_to: Incarnation of the sidecar that the attempt was sent to.
        sent_at: Monotonic time at which it was sent.
    """

    __slots__ = (
        "_lock",
        "attempt",
        "current",
        "deadline",
        "dropped",
        "ended",
        "events",
        "expected",
        "finish",
        "held",
        "in_doubt",
        "left",
        "link",
        "lost",
        "next_offset",
        "sent_at",
        "sent_to",
        "shown",
        "sink",
        "tap",
        "upstream",
        "waiting",
    )

    def __init__(self, upstream: Upstream, attempt: Attempt) -> None:
        """Start with nothing received."""
        self.upstream = upstream
        self.attempt = attempt
        self.current = attempt.attempt
        self.link: Link | None = None
        self.events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self.held: Event | None = None
        self.waiting = 0
        self.lost = False
        self.expected = 0
        self.next_offset = 0
        self.sent_at = time.monotonic()
        self.deadline = self.sent_at + attempt.deadline_ms / 1000
        self.finish: Finish | None = None
        self.ended = False
        self.dropped = False
        self.left = False
        self.in_doubt = False
        self.shown = True
        self.sent_to = ""
        self.sink: Sink | None = None
        self.tap: Callable[[bytes], None] | None = None
        self._lock = threading.Lock()

    def deliver(self, message: Chunk | Finish | Refusal) -> bool:
        """Take a frame in; repeated, crossed and late ones are left out.

        A sidecar that resumes may send again what is already here, and a
        thawed link may bring what was asked for again since. The caller
        would see a piece twice; ids and offsets show it.

        Returns:
            False when no more frames shall come over this link: one is
            missing, or the caller is too slow for what comes.
        """
        with self._lock:
            if self.lost or self.ended or message.attempt != self.current:
                return True
            match message:
                case Chunk() if message.offset < self.expected:
                    return True
                case Chunk() if message.offset == self.expected:
                    self.expected += 1
                    if self.tap is not None:
                        self.tap(message.data)
                    if self._divert_locked(message):
                        return True
                    self.waiting += len(message.data)
                    self.events.put(message)
                    if self.waiting <= MAX_WAITING_BYTES:
                        return True
                case Refusal():
                    self.ended = True
                    self.events.put(message)
                    return True
                case Finish() if message.chunks == self.expected:
                    self.ended = True
                    self.events.put(message)
                    return True
                case _:
                    # Given on, the answer would lack a piece.
                    pass
            self._lose_locked()
            return False

    @property
    def has_begun(self) -> bool:
        """Whether a piece or an end came of it."""
        return self.ended or self.expected > 0

    def divert(self, sink: Sink | None) -> None:
        """Let pieces go to a sink in the task that delivers them.

        They do while none waits and the sink takes them; the piece that it
        does not take, and all after it, wait to be taken. Once this returns,
        a sink set before is not called any more.

        Args:
            sink: Called with a piece's offset and bytes; must not wait. None
                lets all pieces wait again.
        """
        with self._lock:
            waits = self.held is not None or not self.events.empty()
            self.sink = None if waits else sink

    def _divert_locked(self, chunk: Chunk) -> bool:
        if self.sink is None:
            return False
        if self.sink(chunk.offset, chunk.data):
            self.next_offset = self.expected
            return True
        self.sink = None
        return False

    def lose(self) -> None:
        """Tell the taking task that no more comes over this link."""
        with self._lock:
            # After the end a lost link takes nothing away.
            if not self.ended:
                self._lose_locked()

    def abandon(self, refusal: Refusal) -> None:
        """End the waiting here; the sidecar's answer has not ended."""
        with self._lock:
            if not self.lost and not self.ended:
                self.lost = True
                self.events.put(refusal)

    def _lose_locked(self) -> None:
        if not self.lost:
            self.lost = True
            self.events.put(LINK_LOST)

    def restart(self, current: str) -> None:
        """Go on at the next piece to be taken, under a new id."""
        with self._lock:
            self.current = current
            self.expected = self.next_offset
            self.lost = False

    def take(self) -> list[bytes] | LinkLost:
        """Wait for pieces and return all that are there.

        Returns:
            Pieces in order; an empty list at the end of the answer, when
            `finish` is set; `LINK_LOST` when the link closed first.

        Raises:
            LacewingdockError: The sidecar refused, or DEADLINE.
        """
        event, self.held = self.held or self._next(), None
        pieces: list[bytes] = []
        size = 0
        while isinstance(event, Chunk):
            pieces.append(event.data)
            size += len(event.data)
            if self.events.empty():
                break
            event = self.events.get()
        if pieces:
            self.next_offset += len(pieces)
            with self._lock:
                self.waiting -= size
            if not isinstance(event, Chunk):
                self.held = event
            return pieces
        match event:
            case Finish():
                self.finish = event
                return []
            case Refusal():
                raise error_of(event)
            case _:
                return LINK_LOST

    def _next(self) -> Event:
        left = self.deadline - time.monotonic()
        try:
            return self.events.get(timeout=max(left, 0.0))
        except queue.Empty:
            raise LacewingdockError(
                ErrorKind.DEADLINE, "no whole answer by the deadline"
            ) from None


def error_of(refusal: Refusal) -> LacewingdockError:
    """Turn a refusal into the error it stands for."""
    try:
        kind = ErrorKind(refusal.code)
    except ValueError:
        kind = ErrorKind.INTERNAL
    retry_ms = refusal.retry_after_ms
    return LacewingdockError(
        kind,
        refusal.detail,
        refusal.ran,
        retry_ms / 1000 if retry_ms >= 0 else None,
        refusal.revision,
    )
