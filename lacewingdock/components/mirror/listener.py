"""Support for what is told of each change of a kind of objects."""

from collections.abc import Callable
from typing import Protocol

from lacewingdock.platform.objects import ObjectChange, Snapshot, StoredObject


class Listener(Protocol):
    """What a mirror tells of its kind."""

    def replace(self, snapshot: Snapshot, *, doubtful: bool) -> None:
        """Take a whole list in."""

    def change(self, change: ObjectChange, *, doubtful: bool) -> None:
        """Take one change in."""


class EachObject:
    """Takes objects one by one, whatever the state of the store.

    For kinds whose objects do not lapse: one that is missing from a list is
    kept, and one that was removed was removed.

    Attributes:
        take: Takes an object that is there.
        drop: Takes one that was removed.
    """

    __slots__ = ("drop", "take")

    def __init__(
        self,
        take: Callable[[StoredObject], None],
        drop: Callable[[StoredObject], None] = lambda _: None,
    ) -> None:
        """Take where the objects go."""
        self.take = take
        self.drop = drop

    def replace(self, snapshot: Snapshot, *, doubtful: bool) -> None:
        """Take a whole list in."""
        del doubtful
        for stored in snapshot.objects.values():
            self.take(stored)

    def change(self, change: ObjectChange, *, doubtful: bool) -> None:
        """Take one change in."""
        del doubtful
        if change.unlisted:
            return
        if change.removed:
            self.drop(change.object)
        else:
            self.take(change.object)
