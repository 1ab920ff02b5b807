"""In-memory fakes of what the system meets."""

import copy
from collections.abc import Callable
from typing import Any

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import Listing, Stored


class FakeStore:
    """The platform's object API in memory.

    Attributes:
        objects: Objects by collection and name.
        revision: The last revision given.
        down: Whether every call fails.
        lose_answers: Writes whose answer is lost after they took effect.
        calls: Calls by purpose.
        on_call: Called before each call, to let others act in between.
        history: Every write as (collection, name, value).
    """

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[str, dict[str, Stored]] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.calls: dict[str, int] = {}
        self.on_call: Callable[[], None] | None = None
        self.history: list[tuple[str, str, Any]] = []

    def _enter(self, purpose: str) -> None:
        self.calls[purpose] = self.calls.get(purpose, 0) + 1
        if self.on_call is not None:
            self.on_call()
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
        objects = self.objects.setdefault(collection, {})
        known = objects.get(name, Stored(name, 0))
        if known.revision != expect:
            raise LacewingdockError(
                ErrorKind.CONFLICT,
                f"{collection}/{name}: revision is {known.revision}",
            )
        self.revision += 1
        stored = Stored(name, self.revision, copy.deepcopy(value), writer)
        objects[name] = stored
        self.history.append((collection, name, stored.value))
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise LacewingdockError(
                ErrorKind.PLATFORM_UNAVAILABLE, "answer lost", ran="unknown"
            )
        return copy.deepcopy(stored)
