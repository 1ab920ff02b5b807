"""Support for the objects of the platform's store: types and decoding."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.history import Count, revision_of

log = get_logger("platform")


@dataclass(slots=True)
class StoredObject:
    """An object as the platform holds it.

    Attributes:
        name: Its name among its kind.
        revision: Revision of its last change, growing over all objects and
            over the store's returns from a copy; see `history`.
        spec: What was asked for, as decoded JSON.
        status: What its keeper reports of it, as decoded JSON.
        created: Revision of its first writing; 0 where not said.
    """

    name: str
    revision: int
    spec: Any = None
    status: Any = None
    created: int = 0


@dataclass(slots=True)
class Snapshot:
    """All objects of a kind, complete up to a revision."""

    revision: int
    objects: dict[str, StoredObject] = field(default_factory=dict)


@dataclass(slots=True)
class ObjectChange:
    """A change of one object.

    Attributes:
        object: The object; a removed one in its last state.
        removed: Whether it is there no more.
        unlisted: Whether all that shows it is that a list lacks it: it may
            have lapsed, or the store may have lost it.
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
    """What the store says of an object."""

    name: str
    revision: Count
    created: Count = 0


class ObjectAnswer(msgspec.Struct):
    """An object as the store answers with it."""

    metadata: Metadata
    spec: Any = None
    status: Any = None


class _Named(msgspec.Struct):
    metadata: Metadata


class PageAnswer(msgspec.Struct):
    """A page of a list."""

    items: list[msgspec.Raw]
    current_rev: Count
    has_more: bool = False


class EventAnswer(msgspec.Struct):
    """A change that a watch shows."""

    object: msgspec.Raw
    removed: bool = False


class EventsAnswer(msgspec.Struct):
    """The answer of a watch."""

    events: list[EventAnswer]
    current_rev: Count


def object_of(found: ObjectAnswer, era: int) -> StoredObject:
    """Return an object of an answer.

    Args:
        found: The object.
        era: The era of the answer.
    """
    metadata = found.metadata
    return StoredObject(
        metadata.name,
        revision_of(era, metadata.revision),
        found.spec,
        found.status,
        revision_of(era, metadata.created),
    )


def readable(items: list[msgspec.Raw], era: int) -> list[StoredObject]:
    """Decode objects, each by itself: an odd one must not hide the others.

    One whose content can't be decoded stands there without content, so that
    what it replaces is not taken to be there still.
    """
    found = []
    for item in items:
        try:
            found.append(object_of(decode_json(bytes(item), ObjectAnswer), era))
        except msgspec.DecodeError as error:
            if named := _without_content(item, era):
                found.append(named)
            log.error(
                "undecodable object",
                object=named.name if named else "",
                error=str(error),
            )
    return found


def _without_content(item: msgspec.Raw, era: int) -> StoredObject | None:
    try:
        metadata = decode_json(bytes(item), _Named).metadata
    except msgspec.DecodeError:
        return None
    return StoredObject(metadata.name, revision_of(era, metadata.revision))
