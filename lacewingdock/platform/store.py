"""Client of JSON values that are stored in the platform's object API.

A value is stored with the id of the write that made it. After a lost answer
the id shows whether the object holds this write or another one.
"""

import secrets
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.object_api import (
    ABSENT,
    HistoryGoneError,
    ObjectApi,
    unavailable_error,
)
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.objects import Instance

# Seconds that a watch waits for changes. A connection may stall forever while
# new ones work, and its watcher receives no changes until the wait ends. The
# wait therefore stays well below the 19 seconds in which a change must apply.
WATCH_TIMEOUT_S: Final = 8.0
# Reads made to find out whether a write without an answer took effect.
RESOLVE_ATTEMPTS: Final = 2
KIND_INSTANCES: Final = "instances"

log = get_logger("platform")


@dataclass(slots=True)
class Stored:
    """A value in the platform's store.

    Attributes:
        name: Name of the object in its collection.
        revision: The platform's revision, which grows over all objects.
        value: Decoded JSON; None for a tombstone.
        writer: Id of the write that made the value. After a lost answer it
            shows whether the write took effect.
    """

    name: str
    revision: int
    value: Any = None
    writer: str = ""


@dataclass(slots=True)
class Listing:
    """Objects of a collection, complete up to a revision."""

    revision: int
    objects: list[Stored] = field(default_factory=list)


class ObjectStore(ObjectApi):
    """A client of values in collections; safe to use from any task.

    The platform counts one revision over all kinds. Here, a collection's
    revision is that of its own last change, so that it stays the same while
    other collections change. The platform's revision up to which the
    collection is unchanged is stored beside it: the history back to the
    collection's last change may be dropped, and a watch from there would need
    a new list.
    """

    __slots__ = ("_instances", "_instances_revision", "_positions")

    def __init__(self, url: str) -> None:
        """Set up a client of the platform at a URL; no call is made yet."""
        super().__init__(url)
        self._instances: dict[str, Instance] = {}
        self._instances_revision: int | None = None
        self._positions: dict[str, tuple[int, int]] = {}

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Read an object; a missing one has revision `ABSENT`.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        found = self.read(collection, name, purpose)
        return Stored(name, ABSENT) if found is None else _to_value(found)

    def list_all(
        self, collection: str, purpose: str, prefix: str = "", after: int = -1
    ) -> Listing:
        """Read all objects of a collection whose names start with a prefix.

        Args:
            collection: The collection.
            purpose: Label of the call in `calls` and `failures`.
            prefix: Prefix of the names to return.
            after: Return only objects that changed after this revision,
                tombstones included.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        found = self.list_kind(collection, purpose)
        entries = found.objects.values()
        head = max((entry.revision for entry in entries), default=ABSENT)
        self._positions[collection] = (head, found.revision)
        return Listing(
            head,
            [
                _to_value(entry)
                for entry in entries
                if entry.name.startswith(prefix) and entry.revision > after
            ],
        )

    def watch(
        self, collection: str, after: int, purpose: str, prefix: str = ""
    ) -> Listing:
        """Wait for changes after a revision; tombstones have no value.

        Returns:
            The changes; none if the wait ran out.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        head, seen = self._positions.get(collection, (after, after))
        start = seen if head == after else after
        try:
            found = self.watch_kind(collection, start, WATCH_TIMEOUT_S, purpose)
        except HistoryGoneError:
            # A removed value leaves a tombstone, so a list shows every
            # change of the dropped history.
            return self.list_all(collection, purpose, prefix, after)
        latest = {
            change.object.name: _to_value(change.object)
            for change in found.changes
            if change.object.name.startswith(prefix)
        }
        changed = [change.object.revision for change in found.changes]
        head = max([after, *changed])
        self._positions[collection] = (head, found.revision)
        return Listing(head, list(latest.values()))

    def put(
        self,
        collection: str,
        name: str,
        value: Any,
        expect: int,
        purpose: str,
        writer: str = "",
    ) -> Stored:
        """Write an object if its revision is the expected one.

        After a lost answer the object is read back. The write took effect if
        the object, or the history of a later one, has this write's id. Without
        the id, a repeated write would find the result of its first attempt and
        be reported as a conflict; libcurl itself repeats a write on a new
        connection if the kept one was dead.

        Args:
            collection: The collection.
            name: Name of the object.
            value: A value that `msgspec` can encode as JSON; None for a
                tombstone, which stays in the collection so that lists show
                it.
            expect: Revision that the object must have; `ABSENT` if it must
                not exist.
            purpose: Label of the call in `calls` and `failures`.
            writer: Id of this write, used for no other; random by default.

        Returns:
            The object as written.

        Raises:
            LacewingdockError: CONFLICT if the object has another revision;
                PLATFORM_UNAVAILABLE, with ran "unknown" if it could not be
                determined whether the write took effect.
        """
        writer = writer or secrets.token_hex(8)
        spec = {"value": value, "writer": writer}
        try:
            written, found = self.write(collection, name, spec, expect, purpose)
        except LacewingdockError as error:
            if error.ran == RAN_NO:
                raise
            return self._resolve_write(collection, name, value, writer, expect)
        if written or _to_value(found).writer == writer:
            return Stored(name, found.revision, value, writer)
        raise LacewingdockError(
            ErrorKind.CONFLICT,
            f"{collection}/{name}: revision is {found.revision}, not {expect}",
        )

    def instances(self) -> list[Instance]:
        """Read the list of instances, which may lag behind their state.

        In a fleet of the target size the list is about a megabyte and changes
        twice a minute, so only the changes are fetched after the first call.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        if self._instances_revision is None:
            self._list_instances()
            return list(self._instances.values())
        try:
            found = self.watch_kind(
                KIND_INSTANCES, self._instances_revision, 0.0, "instances"
            )
        except HistoryGoneError:
            self._list_instances()
            return list(self._instances.values())
        for change in found.changes:
            self._instances.pop(change.object.name, None)
            if not change.removed:
                self._add_instances([change.object])
        self._instances_revision = found.revision
        return list(self._instances.values())

    def _list_instances(self) -> None:
        found = self.list_kind(KIND_INSTANCES, "instances")
        self._instances = {}
        self._add_instances(list(found.objects.values()))
        self._instances_revision = found.revision

    def _add_instances(self, entries: list[StoredObject]) -> None:
        for name, instance in _decode_instances(entries):
            self._instances[name] = instance

    def _resolve_write(
        self, collection: str, name: str, value: Any, writer: str, expect: int
    ) -> Stored:
        """Read an object back to find out whether a write took effect.

        Args:
            collection: The collection.
            name: Name of the object.
            value: The value that was written.
            writer: Id of the write.
            expect: Revision that the write expected.

        Returns:
            The object as written, if the write took effect.

        Raises:
            LacewingdockError: CONFLICT if another write changed the object;
                PLATFORM_UNAVAILABLE if the outcome is unknown.
        """
        for attempt in range(RESOLVE_ATTEMPTS):
            try:
                found = self.get(collection, name, "settle")
            except LacewingdockError:
                if attempt + 1 == RESOLVE_ATTEMPTS:
                    break
                continue
            if found.writer == writer:
                return Stored(name, found.revision, value, writer)
            if found.revision != expect:
                raise LacewingdockError(
                    ErrorKind.CONFLICT,
                    f"{collection}/{name}: revision is {found.revision}, "
                    f"not {expect}",
                    # The write may have taken effect and been replaced.
                    RAN_UNKNOWN,
                )
            # The object is still the old one, but the write may yet arrive:
            # its answer may be late rather than lost.
            break
        raise unavailable_error(
            f"outcome of the write of {collection}/{name} is unknown",
            RAN_UNKNOWN,
        )


def _to_value(found: StoredObject) -> Stored:
    """Convert an object to a value; a foreign format is read as a tombstone."""
    spec = found.spec
    if not isinstance(spec, dict):
        return Stored(found.name, found.revision)
    writer = spec.get("writer", "")
    return Stored(
        found.name,
        found.revision,
        spec.get("value"),
        writer if isinstance(writer, str) else "",
    )


def _decode_instances(
    entries: list[StoredObject],
) -> Iterator[tuple[str, Instance]]:
    """Decode instances; an invalid entry must not hide the others."""
    for entry in entries:
        try:
            yield entry.name, msgspec.convert(entry.spec, Instance)
        except msgspec.ValidationError as error:
            log.error("skipping invalid instance entry", error=str(error))
