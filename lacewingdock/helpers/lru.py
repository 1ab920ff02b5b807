"""Support for remembering what was met last, up to a number of things."""

from collections.abc import MutableMapping
from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")


def insert_lru(
    entries: MutableMapping[K, V], key: K, value: V, max_entries: int
) -> None:
    """Put a value last in a mapping, and drop the first beyond a number.

    Args:
        entries: The mapping, in order of use.
        key: The key.
        value: The value.
        max_entries: Entries kept at most.
    """
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > max_entries:
        del entries[next(iter(entries))]
