"""Support for values kept in the platform's object API.

A value is kept with the id of the write that made it, so that a write whose
answer was lost can be told from another's.
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
    unavailable,
)
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.objects import Instance

# A connection can go silent for good while new ones work. A watcher is then
# deaf until its wait runs out, so the wait stays well below the 19 seconds in
# which a change must be in force.
WATCH_TIMEOUT_S: Final = 8.0
SETTLE_TRIES: Final = 2
KIND_INSTANCES: Final = "instances"

log = get_logger("platform")


@dataclass(slots=True)
class Stored:
    """A value as the platform holds it.

    Attributes:
        name: Its name in the collection.
        revision: The platform's revision, growing over all objects.
        value: Decoded JSON; None for a tombstone.
        writer: Id of the write that made it, to settle lost answers.
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
    """A client of the values; safe to use from any task.

    The platform counts one revision over all kinds. A collection's revision
    is that of its last change here, so that it stands still while others
    change; the platform's own revision, up to which nothing else changed, is
    remembered beside it, since a watch from further back finds its history
    dropped and has to list again.
    """

    __slots__ = ("_instances", "_instances_revision", "_seen")

    def __init__(self, url: str) -> None:
        """Take the platform's URL."""
        super().__init__(url)
        self._instances: dict[str, Instance] = {}
        self._instances_revision: int | None = None
        self._seen: dict[str, tuple[int, int]] = {}

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Read an object; a missing one has revision `ABSENT`.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        found = self.read(collection, name, purpose)
        return Stored(name, ABSENT) if found is None else _stored(found)

    def list_all(
        self, collection: str, purpose: str, prefix: str = "", after: int = -1
    ) -> Listing:
        """Read all objects of a collection whose names start with a prefix.

        Args:
            collection: The collection.
            purpose: What the call is for, in the count of calls.
            prefix: What the names start with.
            after: Only what changed after this revision, tombstones too.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        found = self.list_kind(collection, purpose)
        entries = found.objects.values()
        head = max((entry.revision for entry in entries), default=ABSENT)
        self._seen[collection] = (head, found.revision)
        return Listing(
            head,
            [
                _stored(entry)
                for entry in entries
                if entry.name.startswith(prefix) and entry.revision > after
            ],
        )

    def watch(
        self, collection: str, after: int, purpose: str, prefix: str = ""
    ) -> Listing:
        """Wait for changes after a revision; tombstones have no value.

        Returns:
            The changes, none when the wait ran out.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        head, seen = self._seen.get(collection, (after, after))
        start = seen if head == after else after
        try:
            found = self.watch_kind(collection, start, WATCH_TIMEOUT_S, purpose)
        except HistoryGoneError:
            # Values are never removed but for tombstones, so a listing shows
            # all that the dropped history did.
            return self.list_all(collection, purpose, prefix, after)
        latest = {
            change.object.name: _stored(change.object)
            for change in found.changes
            if change.object.name.startswith(prefix)
        }
        changed = [change.object.revision for change in found.changes]
        head = max([after, *changed])
        self._seen[collection] = (head, found.revision)
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

        A lost answer is settled by reading the object back: the write took
        effect exactly if the object, or a later one's history, carries this
        write's id. Without that a repeated write would meet its own
        effect and be reported as a conflict; the client library repeats one
        by itself on a new connection where the kept one was dead.

        Args:
            collection: The collection.
            name: Name of the object.
            value: What `msgspec` can encode as JSON; None for a tombstone,
                which stays in the collection so that lists show it.
            expect: Revision it must have; `ABSENT` for none.
            purpose: What the call is for, in the count of calls.
            writer: Id of this very write, never used for another; a fresh
                one by default.

        Returns:
            The object as written.

        Raises:
            LacewingdockError: CONFLICT when the revision was another;
                PLATFORM_UNAVAILABLE with ran "unknown" when it can't be
                settled.
        """
        writer = writer or secrets.token_hex(8)
        spec = {"value": value, "writer": writer}
        try:
            written, found = self.write(collection, name, spec, expect, purpose)
        except LacewingdockError as error:
            if error.ran == RAN_NO:
                raise
            return self._settle(collection, name, value, writer, expect)
        if written or _stored(found).writer == writer:
            return Stored(name, found.revision, value, writer)
        raise LacewingdockError(
            ErrorKind.CONFLICT,
            f"{collection}/{name}: revision is {found.revision}, not {expect}",
        )

    def instances(self) -> list[Instance]:
        """Read the lagging list of instances.

        At the target the list is about a megabyte and changes twice a
        minute; only its changes are sent again.

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
                self._take_instances([change.object])
        self._instances_revision = found.revision
        return list(self._instances.values())

    def _list_instances(self) -> None:
        found = self.list_kind(KIND_INSTANCES, "instances")
        self._instances = {}
        self._take_instances(list(found.objects.values()))
        self._instances_revision = found.revision

    def _take_instances(self, entries: list[StoredObject]) -> None:
        for name, instance in _instances(entries):
            self._instances[name] = instance

    def _settle(
        self, collection: str, name: str, value: Any, writer: str, expect: int
    ) -> Stored:
        for attempt in range(SETTLE_TRIES):
            try:
                found = self.get(collection, name, "settle")
            except LacewingdockError:
                if attempt + 1 == SETTLE_TRIES:
                    break
                continue
            if found.writer == writer:
                return Stored(name, found.revision, value, writer)
            if found.revision != expect:
                raise LacewingdockError(
                    ErrorKind.CONFLICT,
                    f"{collection}/{name}: revision is {found.revision}, "
                    f"not {expect}",
                    # The write may have taken effect and been overwritten.
                    RAN_UNKNOWN,
                )
            # Still the old object: the write may yet arrive, since an answer
            # can be late as well as lost.
            break
        raise unavailable(
            f"write of {collection}/{name} is not settled", RAN_UNKNOWN
        )


def _stored(found: StoredObject) -> Stored:
    """Read a value; what another program wrote counts as a tombstone."""
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


def _instances(
    entries: list[StoredObject],
) -> Iterator[tuple[str, Instance]]:
    """Build the instances; one odd entry must not hide all the others."""
    for entry in entries:
        try:
            yield entry.name, msgspec.convert(entry.spec, Instance)
        except msgspec.ValidationError as error:
            log.error("faulty instance left out", error=str(error))
