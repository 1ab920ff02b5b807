"""Support for splitting a stream into complete server-sent events."""

import re
from dataclasses import dataclass
from typing import Final

# An event ends with an empty line; upstreams use CRLF or LF. Lines that start
# with a colon are comments.
_END: Final = re.compile(rb"\r?\n\r?\n")
_COMMENTS: Final = re.compile(rb"(?::[^\r\n]*\r?\n|\r?\n)*")
_ID: Final = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


@dataclass(slots=True, frozen=True)
class Event:
    """A complete event, with its bytes unchanged.

    Attributes:
        id: Value of the id field; empty where there is none.
        data: All bytes of the event, including the empty line at its end.
    """

    id: str
    data: bytes


class EventSplitter:
    """Splits a stream of bytes into events, and buffers an incomplete event.

    A block of comments alone is no event; it is kept as a part of the next one.

    Attributes:
        buffer: Bytes received of an event that is not complete yet.
    """

    __slots__ = ("_block", "_scanned", "buffer")

    def __init__(self) -> None:
        """Create a splitter for the start of a stream."""
        self.buffer = bytearray()
        # Start of the block that is not complete, and the end of the bytes in
        # which no end of a block starts.
        self._block = 0
        self._scanned = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether a block of which bytes were received is not complete."""
        return len(self.buffer) > self._block

    def append(self, data: bytes) -> list[Event]:
        """Append received bytes, and return the events that they complete."""
        self.buffer += data
        events = []
        start = 0
        for end in _END.finditer(self.buffer, self._scanned):
            block = bytes(self.buffer[self._block : end.end()])
            self._block = end.end()
            if _COMMENTS.fullmatch(block):
                continue
            id_match = _ID.search(block)
            event_id = id_match[1].decode("latin-1") if id_match else ""
            events.append(
                Event(event_id, bytes(self.buffer[start : end.end()]))
            )
            start = end.end()
        del self.buffer[:start]
        self._block -= start
        # Searched again from there: the end may arrive in several parts.
        tail = len(self.buffer) - len(b"\r\n\r")
        self._scanned = max(self._block, tail)
        return events
