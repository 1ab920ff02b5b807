"""Mappings that are bounded by evicting the least recently inserted key."""

from collections.abc import MutableMapping
from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")


def insert_lru(
    entries: MutableMapping[K, V], key: K, value: V, max_entries: int
) -> None:
    """Insert a value as the newest entry, and evict the oldest ones.

    Args:
        entries: The mapping, oldest insertion first.
        key: Key to insert; an existing entry becomes the newest.
        value: The value.
        max_entries: Number of entries above which the oldest are evicted.
    """
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > max_entries:
        del entries[next(iter(entries))]
