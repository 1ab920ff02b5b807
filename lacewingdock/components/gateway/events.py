"""Support for cutting a stream into whole events."""

import re
from dataclasses import dataclass
from typing import Final

# An event ends with an empty line, whichever line ends the upstream uses.
_END: Final = re.compile(rb"\r?\n\r?\n")
_ID: Final = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


@dataclass(slots=True, frozen=True)
class Event:
    """One event, as it came.

    Attributes:
        id: Its id; empty where it has none.
        data: All its bytes, the empty line at its end too.
    """

    id: str
    data: bytes


class EventSplitter:
    """Cuts bytes into events, and keeps the rest for the next ones.

    Attributes:
        rest: Bytes of an event that is not whole yet.
    """

    __slots__ = ("incomplete",)

    def __init__(self) -> None:
        """Start at the beginning of an event."""
        self.incomplete = b""

    def append(self, data: bytes) -> list[Event]:
        """Take bytes and return the events that they make whole."""
        text = self.incomplete + data
        found = []
        start = 0
        for end in _END.finditer(text):
            event = text[start : end.end()]
            named = _ID.search(event)
            event_id = named[1].decode("latin-1") if named else ""
            found.append(Event(event_id, event))
            start = end.end()
        self.incomplete = text[start:]
        return found
