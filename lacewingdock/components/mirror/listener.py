"""Listeners that receive the changes of a kind of objects."""

from collections.abc import Callable
from typing import Protocol

from lacewingdock.platform.objects import ObjectChange, Snapshot, StoredObject


class Listener(Protocol):
    """Receives each change of the kind that a mirror copies."""

    def replace(self, snapshot: Snapshot, *, doubtful: bool) -> None:
        """Apply a complete list; if doubtful, missing entries may still run."""

    def change(self, change: ObjectChange, *, doubtful: bool) -> None:
        """Apply one change; if doubtful, a removed entry may still run."""


class PerObjectListener:
    """Passes each object to a callback, regardless of the store's state.

    For kinds whose objects do not expire: an object that is missing from a
    list is kept, and a removal is always real.

    Attributes:
        take: Called with each object that was listed or written.
        drop: Called with each object that was removed.
    """

    __slots__ = ("drop", "take")

    def __init__(
        self,
        take: Callable[[StoredObject], None],
        drop: Callable[[StoredObject], None] = lambda _: None,
    ) -> None:
        """Build a listener from its callbacks."""
        self.take = take
        self.drop = drop

    def replace(self, snapshot: Snapshot, *, doubtful: bool) -> None:
        """Pass on each object of a complete list."""
        del doubtful
        for stored in snapshot.objects.values():
            self.take(stored)

    def change(self, change: ObjectChange, *, doubtful: bool) -> None:
        """Pass on one change, unless its object is merely unlisted."""
        del doubtful
        if change.unlisted:
            return
        if change.removed:
            self.drop(change.object)
        else:
            self.take(change.object)
