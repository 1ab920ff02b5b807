"""Support for splitting a stream into complete server-sent events."""

import re
from dataclasses import dataclass
from typing import Final

# An event ends with an empty line; upstreams use CRLF or LF.
_END: Final = re.compile(rb"\r?\n\r?\n")
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

    Attributes:
        incomplete: Bytes received of an event that is not complete yet.
    """

    __slots__ = ("incomplete",)

    def __init__(self) -> None:
        """Create a splitter for the start of a stream."""
        self.incomplete = b""

    def append(self, data: bytes) -> list[Event]:
        """Append received bytes, and return the events that they complete."""
        buffered = self.incomplete + data
        events = []
        start = 0
        for end in _END.finditer(buffered):
            event = buffered[start : end.end()]
            id_match = _ID.search(event)
            event_id = id_match[1].decode("latin-1") if id_match else ""
            events.append(Event(event_id, event))
            start = end.end()
        self.incomplete = buffered[start:]
        return events
