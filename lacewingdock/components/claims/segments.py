"""Support for older claim records, kept in segments outside the head."""

import contextlib
from dataclasses import replace
from typing import Final

import msgspec

from lacewingdock.components.claims.const import SEGMENT_BYTES, SEGMENTS
from lacewingdock.components.claims.record import Head, Record, SegmentRef
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import ObjectStore

KEY_BYTES: Final = 16


class KeyIndex:
    """Which segment holds which key, at 16 bytes a key.

    Attributes:
        blobs: Sorted key digests, end to end, by segment name; the newest
            segment last.
    """

    __slots__ = ("blobs",)

    def __init__(self) -> None:
        """Start empty."""
        self.blobs: dict[str, bytes] = {}

    def add(self, name: str, records: list[Record]) -> None:
        """Take a segment's keys in."""
        keys = sorted({bytes.fromhex(record.key) for record in records})
        self.blobs[name] = b"".join(keys)

    def keep(self, names: set[str]) -> None:
        """Forget every other segment."""
        self.blobs = {n: b for n, b in self.blobs.items() if n in names}

    def find(self, key: str) -> str | None:
        """Name the newest segment that holds a key."""
        wanted = bytes.fromhex(key)
        for name in reversed(self.blobs):
            if _holds(self.blobs[name], wanted):
                return name
        return None

    def count(self) -> int:
        """Count the keys; one in two segments counts twice."""
        return sum(len(blob) for blob in self.blobs.values()) // KEY_BYTES


def _holds(blob: bytes, wanted: bytes) -> bool:
    low, high = 0, len(blob) // KEY_BYTES
    while low < high:
        middle = (low + high) // 2
        found = blob[middle * KEY_BYTES : (middle + 1) * KEY_BYTES]
        if found == wanted:
            return True
        if found < wanted:
            low = middle + 1
        else:
            high = middle
    return False


def read_segment(store: ObjectStore, name: str) -> list[Record]:
    """Read a segment that a head names.

    Raises:
        LacewingdockError: PLATFORM_UNAVAILABLE; INTERNAL when it is missing,
            for to go on without it would be to forget its claims.
    """
    found = store.get(SEGMENTS, name, "claims-segment")
    if found.value is None:
        raise LacewingdockError(
            ErrorKind.INTERNAL, f"claim segment {name} is missing"
        )
    return msgspec.convert(found.value, list[Record])


def roll(
    store: ObjectStore, name: str, head: Head, oldest: float
) -> tuple[Head, list[Record]]:
    """Move a head's records to a segment.

    Args:
        store: The platform.
        name: Name of the segment.
        head: The head; it is not changed.
        oldest: Unix time; segments with no record since are let go.

    Returns:
        The next head, and the records that the segment holds.

    Raises:
        LacewingdockError: PLATFORM_UNAVAILABLE; INTERNAL when the segment to
            join them to is missing.
    """
    kept = [ref for ref in head.segments if ref.newest >= oldest]
    joined = _joined(store, kept[-1] if kept else None, head.records)
    if joined is not None:
        kept.pop()
    moved = joined or head.records
    ref = _write(store, name, moved)
    return replace(head, records=[], segments=[*kept, ref]), moved


def _write(store: ObjectStore, name: str, records: list[Record]) -> SegmentRef:
    """Write a segment whose name holds the head's term and revision.

    Raises:
        LacewingdockError: PLATFORM_UNAVAILABLE.
    """
    value = msgspec.to_builtins(records)
    try:
        store.put(SEGMENTS, name, value, 0, "claims-segment")
    except LacewingdockError as error:
        if error.kind is not ErrorKind.CONFLICT:
            raise
        # An earlier try of this very segment took effect: nobody else writes
        # this name, and one head has one content.
    newest = max(record.at for record in records)
    return SegmentRef(name, len(msgspec.json.encode(value)), newest)


def _joined(
    store: ObjectStore, last: SegmentRef | None, records: list[Record]
) -> list[Record] | None:
    """Join records to the last segment's; None when they don't fit.

    Small segments would be too many for the head to name.
    """
    size = len(msgspec.json.encode(records))
    if last is None or last.size + size > SEGMENT_BYTES:
        return None
    joined = {record.key: record for record in read_segment(store, last.name)}
    joined.update({record.key: record for record in records})
    return list(joined.values())


def remove_segments(store: ObjectStore, names: list[str]) -> None:
    """Remove segments that no head names any more, if possible.

    One that stays costs space and nothing else.
    """
    for name in names:
        with contextlib.suppress(LacewingdockError):
            found = store.get(SEGMENTS, name, "claims-segment")
            if found.value is not None:
                store.put(
                    SEGMENTS, name, None, found.revision, "claims-segment"
                )
