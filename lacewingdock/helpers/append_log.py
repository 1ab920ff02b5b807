"""Append-only log in the platform's store that holds each row exactly once.

A log is a sequence of slots, each an object that is created once and never
changed: "NAME/00000000", "NAME/00000001" and so on. A writer appends by
creating the first free slot, on the condition that the object does not exist
yet. Before it creates slot n, it has read every earlier slot that could hold
its rows, so no row is written twice however many processes append to one log.
A log normally has one writer; other processes append only the rows that a
dead or unresponsive writer may have left unwritten.
"""

import base64
import zlib
from collections.abc import Callable
from typing import Any, Final, Protocol

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import ABSENT, Stored

# Bytes of JSON in one slot. The platform limits values to a megabyte, and
# compression only makes them smaller.
MAX_SLOT_BYTES: Final = 900_000
# Slots whose keys stay in memory; older slots are read again when needed.
REMEMBERED_SLOTS: Final = 16


class SlotStore(Protocol):
    """Store operations that a log uses; `ObjectStore` implements them."""

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Read an object; a missing object has revision `ABSENT`."""

    def put(
        self, collection: str, name: str, value: Any, expect: int, purpose: str
    ) -> Stored:
        """Write an object if its revision equals `expect`."""


class AppendLog:
    """One process's view of a log; not thread-safe.

    Attributes:
        store: The platform's object store.
        collection: Collection of the slot objects.
        name: Name of the log.
        key_of: Returns the key of a row; rows with equal keys are duplicates.
        first: First slot whose keys, like those of all later slots, are in
            `slot_by_key`.
        slot: The next slot to create; all earlier slots exist.
        slot_by_key: Slot number by row key, for the slots read or written.
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
        """Start at slot `first`, without reading or writing anything."""
        self.store = store
        self.collection = collection
        self.name = name
        self.key_of = key_of
        self.first = self.slot = first
        self.slot_by_key: dict[str, int] = {}

    def append(self, rows: dict[str, bytes], after: int) -> None:
        """Append the rows that the log does not contain yet.

        Args:
            rows: Rows, each valid JSON, by key.
            after: First slot that may contain any of these rows already.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE. Some rows may be in the
                log; `slot_by_key` holds those that are confirmed. Call again
                with the others: the retry uses the same slot, so a delayed
                write of the first attempt conflicts with it there instead of
                adding the rows a second time.
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
        """Drop the keys of all but the last `REMEMBERED_SLOTS` slots."""
        first = self.slot - REMEMBERED_SLOTS
        if first > self.first:
            self.slot_by_key = {
                k: s for k, s in self.slot_by_key.items() if s >= first
            }
            self.first = first

    def _load_keys(self, after: int) -> None:
        """Read the evicted keys of the slots from `after` on again."""
        while self.first > after:
            slot = self.first - 1
            for key in self._read(slot):
                self.slot_by_key[key] = slot
            self.first = slot

    def _write_slot(self, batch: dict[str, bytes]) -> list[str]:
        """Create the next slot, or read it if it exists already.

        Returns:
            The keys of the rows in the slot.
        """
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
            # Another process created the slot, or an earlier attempt of this
            # process did and its answer was lost; the slot's rows decide.
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
    """Return the name of a slot's object; names sort in slot order."""
    return f"{name}/{slot:08d}"


def pack(rows: list[bytes]) -> str:
    """Encode JSON rows as the value of a slot: zlib, then base64."""
    return base64.b64encode(
        zlib.compress(b"[" + b",".join(rows) + b"]")
    ).decode()


def unpack(value: Any) -> list[bytes]:
    """Decode the JSON rows of a slot's value; a tombstone has none."""
    if not value:
        return []
    text = zlib.decompress(base64.b64decode(value))
    return [
        bytes(row) for row in msgspec.json.decode(text, type=list[msgspec.Raw])
    ]


def _first_batch(rows: dict[str, bytes]) -> dict[str, bytes]:
    """Return the leading rows that fit into one slot, at least one row."""
    batch: dict[str, bytes] = {}
    size = 0
    for key, row in rows.items():
        size += len(row) + 1
        if batch and size > MAX_SLOT_BYTES:
            break
        batch[key] = row
    return batch
