"""Support for remembering what was met last, up to a number of things."""

from collections.abc import MutableMapping
from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")


def insert_lru(
    known: MutableMapping[K, V], key: K, value: V, most: int
) -> None:
    """Put a value last in a mapping, and drop the first beyond a number.

    Args:
        known: The mapping, in order of use.
        key: The key.
        value: The value.
        most: Entries that are kept at most.
    """
    known.pop(key, None)
    known[key] = value
    while len(known) > most:
        del known[next(iter(known))]
