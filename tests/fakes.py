"""In-memory fakes of what the system meets."""

import contextlib
import copy
from collections import deque
from typing import Any

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.messages import Hello
from lacewingdock.platform.store import Listing, Stored


class FakeStore:
    """The platform's object API in memory.

    Attributes:
        objects: Objects by collection and name.
        revision: The last revision given.
        down: Whether every call fails.
        lose_answers: Writes whose answer is lost after they took effect.
        fates: What happens to the next writes, "ok" when empty: "lost",
            "dropped" before they took effect, or "late": given up by the
            writer, taking effect when `arrive` is called.
        late: Writes under way, each the arguments of a put.
        calls: Calls by purpose.
        history: Every write as (collection, name, value).
    """

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[str, dict[str, Stored]] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.fates: deque[str] = deque()
        self.late: list[tuple[str, str, Any, int]] = []
        self.calls: dict[str, int] = {}
        self.history: list[tuple[str, str, Any]] = []

    def _enter(self, purpose: str) -> None:
        self.calls[purpose] = self.calls.get(purpose, 0) + 1
        if self.down:
            raise LacewingdockError(ErrorKind.PLATFORM_UNAVAILABLE, "down")

    def get(self, collection: str, name: str, purpose: str = "") -> Stored:
        """Read an object."""
        self._enter(purpose)
        found = self.objects.get(collection, {}).get(name, Stored(name, 0))
        return copy.deepcopy(found)

    def list_all(
        self, collection: str, purpose: str = "", prefix: str = ""
    ) -> Listing:
        """Read all objects of a collection."""
        self._enter(purpose)
        found = self.objects.get(collection, {}).values()
        chosen = [o for o in found if o.name.startswith(prefix)]
        return Listing(self.revision, copy.deepcopy(chosen))

    def put(
        self,
        collection: str,
        name: str,
        value: Any,
        expect: int,
        purpose: str = "",
        writer: str = "",
    ) -> Stored:
        """Write an object if its revision is the expected one."""
        self._enter(purpose)
        # As the real client does: what can't be encoded must fail here too.
        value = msgspec.json.decode(msgspec.json.encode(value))
        fate = self.fates.popleft() if self.fates else "ok"
        if fate == "late":
            self.late.append((collection, name, value, expect))
        if fate in ("dropped", "late"):
            raise _unknown()
        stored = self._apply(collection, name, value, expect, writer)
        if self.lose_answers > 0 or fate == "lost":
            self.lose_answers -= fate != "lost"
            raise _unknown()
        return copy.deepcopy(stored)

    def arrive(self) -> None:
        """Let the oldest late write reach the platform."""
        with contextlib.suppress(LacewingdockError):
            self._apply(*self.late.pop(0), "")

    def _apply(
        self, collection: str, name: str, value: Any, expect: int, writer: str
    ) -> Stored:
        objects = self.objects.setdefault(collection, {})
        known = objects.get(name, Stored(name, 0))
        if known.revision != expect:
            raise LacewingdockError(
                ErrorKind.CONFLICT,
                f"{collection}/{name}: revision is {known.revision}",
            )
        self.revision += 1
        stored = Stored(name, self.revision, value, writer)
        objects[name] = stored
        self.history.append((collection, name, stored.value))
        return stored


class FakeLink:
    """One side of a link; what it sends waits to be delivered by the test.

    Attributes:
        peer: Who is at the other end.
        sent: Messages on the way.
        closed: Whether it was given up.
    """

    def __init__(self, peer: Hello) -> None:
        """Start open."""
        self.peer = peer
        self.sent: deque[Any] = deque()
        self.closed = False

    def send(self, message: Any) -> bool:
        """Put a message on the way; False when the link is closed."""
        if not self.closed:
            self.sent.append(message)
        return not self.closed


def _unknown() -> LacewingdockError:
    return LacewingdockError(
        ErrorKind.PLATFORM_UNAVAILABLE, "answer lost", ran="unknown"
    )
