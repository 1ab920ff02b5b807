"""Support for a table of items that never goes back to an older revision."""

import threading
from collections.abc import Iterator
from typing import Final

from lacewingdock.const import MAX_FRAME_BYTES
from lacewingdock.links.messages import Delta, Item

# Far below what a frame may hold, so that one delta never keeps a link from
# its beats for long.
DELTA_BYTES: Final = min(256 * 1024, MAX_FRAME_BYTES // 8)
ITEM_OVERHEAD_BYTES: Final = 64


class ItemTable:
    """Items by key, each at the highest revision ever seen.

    Joining is idempotent and does not depend on order, so news may come
    late, twice and from any peer without an item going back. Deleted items
    stay as tombstones: without them an older copy would bring them back.
    Safe to use from any task.

    Attributes:
        items: The items by key, tombstones among them.
        upto: Every change up to this revision is in the table.
    """

    __slots__ = ("_lock", "items", "upto")

    def __init__(self) -> None:
        """Start empty and complete up to nothing."""
        self.items: dict[str, Item] = {}
        self.upto = 0
        self._lock = threading.Lock()

    def join(self, delta: Delta) -> bool:
        """Take in what is newer.

        Args:
            delta: Every change after `since` up to `upto`.

        Returns:
            Whether any item changed.
        """
        changed = False
        with self._lock:
            for item in delta.items:
                known = self.items.get(item.key)
                if known is None or item.revision > known.revision:
                    self.items[item.key] = item
                    changed = True
            # A delta that starts beyond what is known leaves a gap: its items
            # are good, but the table isn't complete up to its end.
            if delta.since <= self.upto:
                self.upto = max(self.upto, delta.upto)
        return changed

    def since(self, revision: int) -> list[Delta]:
        """Return every change after a revision, in parts that fit a frame.

        Only the last part claims to be complete. An earlier one can't claim
        even the revisions it carries: an item that changed twice is in the
        table at its later revision only, so a peer that got no further than
        that part would hold the item from before both changes and would pass
        on, as complete, a table that lacks the first.
        """
        with self._lock:
            upto = self.upto
            items = [i for i in self.items.values() if i.revision > revision]
        parts = _split(items)
        deltas = [Delta(revision, revision, part) for part in parts]
        deltas[-1].upto = max(upto, revision)
        return deltas

    def live(self) -> Iterator[tuple[str, bytes]]:
        """Yield key and JSON of the items that were not deleted."""
        for item in tuple(self.items.values()):
            if item.value:
                yield item.key, item.value


def _split(items: list[Item]) -> list[list[Item]]:
    """Split items into parts of bounded size; there is always one part."""
    parts: list[list[Item]] = [[]]
    size = 0
    for item in items:
        cost = len(item.key) + len(item.value) + ITEM_OVERHEAD_BYTES
        if parts[-1] and size + cost > DELTA_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += cost
    return parts
