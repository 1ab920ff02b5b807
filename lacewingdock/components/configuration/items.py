"""Support for a table of items that never goes back to an older revision."""

from collections.abc import Iterator

from lacewingdock.links.messages import Delta, Item


class ItemTable:
    """Items by key, each at the highest revision ever seen.

    Joining is idempotent and does not depend on order, so news may come
    late, twice and from any peer without an item going back. Deleted items
    stay as tombstones: without them an older copy would bring them back.

    Attributes:
        items: The items by key, tombstones among them.
        upto: Every change up to this revision is in the table.
    """

    __slots__ = ("items", "upto")

    def __init__(self) -> None:
        """Start empty and complete up to nothing."""
        self.items: dict[str, Item] = {}
        self.upto = 0

    def join(self, delta: Delta) -> bool:
        """Take in what is newer.

        Args:
            delta: Every change after `since` up to `upto`.

        Returns:
            Whether any item changed.
        """
        changed = False
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

    def since(self, revision: int) -> Delta:
        """Return every change after a revision."""
        return Delta(
            revision,
            self.upto,
            [i for i in tuple(self.items.values()) if i.revision > revision],
        )

    def live(self) -> Iterator[tuple[str, bytes]]:
        """Yield key and JSON of the items that were not deleted."""
        for item in tuple(self.items.values()):
            if item.value:
                yield item.key, item.value
