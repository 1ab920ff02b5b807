"""Support for an append log that holds each row once, kept in the platform.

A log is a row of slots, each an object that is created once and never
changed: "NAME/00000000", "NAME/00000001" and so on. To append is to create
the first free slot, on the condition that it does not exist. Whoever creates
slot n has read every slot before it in which its rows could be, so no row
gets in twice however many processes append to one log. A log has one writer
as a rule; others come only to append what a dead or silent writer may have
left unwritten.
"""

import base64
import zlib
from collections.abc import Callable
from typing import Any, Final, Protocol

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import ABSENT, Stored

# The platform holds values up to a megabyte; packing only makes them smaller.
MAX_SLOT_BYTES: Final = 900_000
# Slots whose keys a log keeps in memory; older ones are read again if asked.
REMEMBERED_SLOTS: Final = 16


class SlotStore(Protocol):
    """What a log needs of the platform; `ObjectStore` gives it."""

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Read an object; a missing one has revision `ABSENT`."""

    def put(
        self, collection: str, name: str, value: Any, expect: int, purpose: str
    ) -> Stored:
        """Write an object if its revision is the expected one."""


class AppendLog:
    """One process's view of a log; not for several tasks at once.

    Attributes:
        store: The platform.
        collection: The collection that the slots are in.
        name: Name of the log.
        key_of: Tells the key that a row has; equal keys are one row.
        first: The keys of all slots from this one on are in `seen`.
        slot: The first slot that isn't known to be taken.
        seen: Slot by key, of the slots read or written.
    """

    __slots__ = (
        "collection",
        "first",
        "key_of",
        "name",
        "slot",
        "slot_by_key",
        "store",
    )

    def __init__(
        self,
        store: SlotStore,
        collection: str,
        name: str,
        key_of: Callable[[bytes], str],
        first: int = 0,
    ) -> None:
        """Start at a slot; nothing is read or written yet."""
        self.store = store
        self.collection = collection
        self.name = name
        self.key_of = key_of
        self.first = self.slot = first
        self.slot_by_key: dict[str, int] = {}

    def append(self, rows: dict[str, bytes], after: int) -> None:
        """Append the rows that the log doesn't hold yet.

        Args:
            rows: Rows, each valid JSON, by key.
            after: None of them is in a slot before this one.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE. Some rows may be in the
                log; `seen` tells which are known to be. Call again with the
                others: the slot tried last stays the one tried next, so a
                write that arrives late meets its own successor there.
        """
        self._load_keys(after)
        left = {
            key: row for key, row in rows.items() if key not in self.slot_by_key
        }
        while left:
            batch = _first_batch(left)
            self._advance(self._write_slot(batch))
            left = {
                k: row for k, row in left.items() if k not in self.slot_by_key
            }

    def evict_old_keys(self) -> None:
        """Drop the keys of old slots from memory."""
        first = self.slot - REMEMBERED_SLOTS
        if first > self.first:
            self.slot_by_key = {
                k: s for k, s in self.slot_by_key.items() if s >= first
            }
            self.first = first

    def _load_keys(self, after: int) -> None:
        """Read the slots whose keys are not in memory any more."""
        while self.first > after:
            slot = self.first - 1
            for key in self._read(slot):
                self.slot_by_key[key] = slot
            self.first = slot

    def _write_slot(self, batch: dict[str, bytes]) -> list[str]:
        """Create the next slot, or read what another put there."""
        try:
            self.store.put(
                self.collection,
                slot_name(self.name, self.slot),
                pack(list(batch.values())),
                ABSENT,
                "log-append",
            )
        except LacewingdockError as error:
            if error.kind is not ErrorKind.CONFLICT:
                raise
            # Another process was here, or an earlier try of this one whose
            # answer was lost; either way the slot says what is in it.
            return self._read(self.slot)
        return list(batch)

    def _read(self, slot: int) -> list[str]:
        name = slot_name(self.name, slot)
        stored = self.store.get(self.collection, name, "log-read")
        return [self.key_of(row) for row in unpack(stored.value)]

    def _advance(self, keys: list[str]) -> None:
        for key in keys:
            self.slot_by_key[key] = self.slot
        self.slot += 1


def slot_name(name: str, slot: int) -> str:
    """Return the name of a slot's object; names sort as slots do."""
    return f"{name}/{slot:08d}"


def pack(rows: list[bytes]) -> str:
    """Turn JSON rows into the value of a slot: zlib, then base64."""
    return base64.b64encode(
        zlib.compress(b"[" + b",".join(rows) + b"]")
    ).decode()


def unpack(value: Any) -> list[bytes]:
    """Return the JSON rows of a slot's value; none of a tombstone's."""
    if not value:
        return []
    text = zlib.decompress(base64.b64decode(value))
    return [
        bytes(row) for row in msgspec.json.decode(text, type=list[msgspec.Raw])
    ]


def _first_batch(rows: dict[str, bytes]) -> dict[str, bytes]:
    """Return as many of the first rows as one slot holds, at least one."""
    batch: dict[str, bytes] = {}
    size = 0
    for key, row in rows.items():
        size += len(row) + 1
        if batch and size > MAX_SLOT_BYTES:
            break
        batch[key] = row
    return batch
