"""Support for one answer as it arrives, piece by piece."""

import queue
import time
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Attempt, Chunk, Finish, Refusal
from lacewingdock.world.upstream import Upstream


class LinkLost:
    """Put in place of a piece when the link closed."""

    __slots__ = ()


LINK_LOST: Final = LinkLost()
Event = Chunk | Finish | Refusal | LinkLost


class Answer:
    """What an entry has of the answer to one attempt.

    The link's reading task delivers; the caller's task takes.

    Attributes:
        upstream: Where it comes from.
        attempt: What was asked; its id names the answer at the sidecar.
        current: The id that frames carry now; changes with each link.
        link: The link it comes over; None between links.
        events: What was delivered and not taken yet.
        expected: Offset that the next delivered piece must have.
        next_offset: Offset of the next piece to be taken.
        deadline: Monotonic time after which nobody waits.
        finish: The end, once taken.
        dropped: Whether nobody waits any more.
    """

    __slots__ = (
        "attempt",
        "current",
        "deadline",
        "dropped",
        "events",
        "expected",
        "finish",
        "link",
        "next_offset",
        "upstream",
    )

    def __init__(self, upstream: Upstream, attempt: Attempt) -> None:
        """Start with nothing received."""
        self.upstream = upstream
        self.attempt = attempt
        self.current = attempt.attempt
        self.link: Link | None = None
        self.events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self.expected = 0
        self.next_offset = 0
        self.deadline = time.monotonic() + attempt.deadline_ms / 1000
        self.finish: Finish | None = None
        self.dropped = False

    def deliver(self, message: Chunk | Finish | Refusal) -> None:
        """Take a frame in; repeated pieces are left out.

        A sidecar that resumes may send again what is already here. The
        caller would see a piece twice; offsets show it.
        """
        if isinstance(message, Chunk):
            if message.offset != self.expected:
                return
            self.expected += 1
        self.events.put(message)

    def lose(self) -> None:
        """Tell the taking task that the link closed."""
        self.events.put(LINK_LOST)

    def take(self) -> list[bytes] | LinkLost:
        """Wait for pieces and return all that are there.

        Returns:
            Pieces in order; an empty list at the end of the answer, when
            `finish` is set; `LINK_LOST` when the link closed first.

        Raises:
            LacewingdockError: The sidecar refused, or DEADLINE.
        """
        pieces: list[bytes] = []
        event = self._next()
        while True:
            match event:
                case Chunk():
                    pieces.append(event.data)
                    self.next_offset += 1
                case Finish() if not pieces:
                    self._end(event)
                    return []
                case LinkLost() if not pieces:
                    # What the closed link delivered before counts; what it
                    # might deliver after does not, for its id is dropped.
                    return LINK_LOST
                case Refusal() if not pieces:
                    raise error_of(event)
                case _:
                    self._put_back(event)
                    return pieces
            if self.events.empty():
                return pieces
            event = self.events.get()

    def _next(self) -> Event:
        left = self.deadline - time.monotonic()
        try:
            return self.events.get(timeout=max(left, 0.0))
        except queue.Empty:
            raise LacewingdockError(
                ErrorKind.DEADLINE, "no whole answer by the deadline"
            ) from None

    def _put_back(self, event: Event) -> None:
        """Keep an end for the next call; nothing comes after an end."""
        rest = [event]
        while not self.events.empty():
            rest.append(self.events.get())
        for later in rest:
            self.events.put(later)

    def _end(self, finish: Finish) -> None:
        if finish.chunks != self.next_offset:
            raise LacewingdockError(
                ErrorKind.INTERNAL,
                f"answer has {self.next_offset} of {finish.chunks} pieces",
            )
        self.finish = finish


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
