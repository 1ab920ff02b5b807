"""Types and decoding of the objects in the platform's store."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.history import Count, revision_of

log = get_logger("platform")


@dataclass(slots=True)
class StoredObject:
    """An object in the platform's store.

    Attributes:
        name: Name of the object, unique within its kind.
        revision: Revision of the last change. It grows over all objects, also
            when the store is restored from an older copy; see `history`.
        spec: Desired state, as decoded JSON.
        status: Observed state that the object's controller reports, as
            decoded JSON.
        created: Revision at which the object was created; 0 if the store did
            not report it.
        size: Length in bytes of the object in the store's answer; 0 if unknown.
    """

    name: str
    revision: int
    spec: Any = None
    status: Any = None
    created: int = 0
    size: int = field(default=0, compare=False)


@dataclass(slots=True)
class Snapshot:
    """All objects of a kind, complete up to a revision."""

    revision: int
    objects: dict[str, StoredObject] = field(default_factory=dict)


@dataclass(slots=True)
class ObjectChange:
    """A change of one object.

    Attributes:
        object: The object; if it was removed, its last state.
        removed: Whether the object was removed.
        unlisted: Whether the removal is only inferred from the object's
            absence in a list: the object may have expired, or the store may
            have lost it.
    """

    object: StoredObject
    removed: bool
    unlisted: bool = False


@dataclass(slots=True)
class ObjectChanges:
    """Changes of a kind, complete up to a revision."""

    revision: int
    changes: list[ObjectChange] = field(default_factory=list)


class Metadata(msgspec.Struct):
    """Name and revisions of an object, as in the store's answers."""

    name: str
    revision: Count
    created: Count = 0


class ObjectAnswer(msgspec.Struct):
    """An object in an answer of the store."""

    metadata: Metadata
    spec: Any = None
    status: Any = None


class _NamedObject(msgspec.Struct):
    """An object of which only the metadata is decoded."""

    metadata: Metadata


class PageAnswer(msgspec.Struct):
    """A page of a list."""

    items: list[msgspec.Raw]
    current_rev: Count
    has_more: bool = False


class EventAnswer(msgspec.Struct):
    """A change in the answer of a watch."""

    object: msgspec.Raw
    removed: bool = False


class EventsAnswer(msgspec.Struct):
    """The answer of a watch."""

    events: list[EventAnswer]
    current_rev: Count


def to_stored_object(
    found: ObjectAnswer, era: int, size: int = 0
) -> StoredObject:
    """Convert an object of an answer.

    Args:
        found: The object as decoded.
        era: Era of the answer, which completes its revisions.
        size: Its length in bytes; 0 if unknown.
    """
    metadata = found.metadata
    return StoredObject(
        metadata.name,
        revision_of(era, metadata.revision),
        found.spec,
        found.status,
        revision_of(era, metadata.created),
        size,
    )


def decode_objects(items: list[msgspec.Raw], era: int) -> list[StoredObject]:
    """Decode objects one by one, so that a bad one does not hide the others.

    An object whose content can't be decoded is returned without content, so
    that readers do not keep the state that it replaced. An object without
    readable metadata is left out. Both are logged.
    """
    found = []
    for item in items:
        try:
            data = bytes(item)
            answer = decode_json(data, ObjectAnswer)
            found.append(to_stored_object(answer, era, len(data)))
        except msgspec.DecodeError as error:
            if named := _decode_name_only(item, era):
                found.append(named)
            log.error(
                "could not decode object",
                object=named.name if named else "",
                error=str(error),
            )
    return found


def _decode_name_only(item: msgspec.Raw, era: int) -> StoredObject | None:
    try:
        metadata = decode_json(bytes(item), _NamedObject).metadata
    except msgspec.DecodeError:
        return None
    return StoredObject(metadata.name, revision_of(era, metadata.revision))
