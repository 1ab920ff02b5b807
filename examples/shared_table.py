"""Keep a table that never reverts, written by whoever holds a lease.

The store is a dictionary here; any store with conditional updates will do.
"""

from lacewingdock.library import (
    Delta,
    ErrorKind,
    Item,
    ItemTable,
    LacewingdockError,
    Lease,
    LeaseRecord,
    Stored,
)


class DictStore:
    """A store with conditional updates, in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[str, Stored] = {}
        self.revision = 0

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Read an object; a missing one has revision 0."""
        return self.objects.get(f"{collection}/{name}", Stored(name, 0))

    def put(
        self,
        collection: str,
        name: str,
        value: object,
        expect: int,
        purpose: str,
    ) -> Stored:
        """Write an object if its revision is the expected one."""
        found = self.get(collection, name, purpose).revision
        if found != expect:
            raise LacewingdockError(
                ErrorKind.CONFLICT, f"{name}: revision is {found}"
            )
        self.revision += 1
        stored = Stored(name, self.revision, value)
        self.objects[f"{collection}/{name}"] = stored
        return stored


def hand_over() -> None:
    """Show that a holder that was frozen can't renew what another took."""
    store = DictStore()
    first = Lease("cleaner", store, LeaseRecord(holder="a", incarnation="1"))
    second = Lease("cleaner", store, LeaseRecord(holder="b", incarnation="1"))
    first.read()
    first.take()
    print(f"a holds it with fencing number {first.fencing}")
    second.read()
    second.take()
    print(f"b holds it with fencing number {second.fencing}")
    try:
        first.renew()
    except LacewingdockError as error:
        print(f"a, thawed: {error.kind}")


def spread_news() -> None:
    """Show that late and crossed news ends in the same table."""
    old = Delta(0, 1, [Item("price", 1, b"10")])
    new = Delta(1, 2, [Item("price", 2, b"12")])
    gone = Delta(2, 3, [Item("price", 3, b"")])
    for news in ([old, new, gone], [gone, new, old], [new, old, gone, old]):
        table = ItemTable()
        for delta in news:
            table.join(delta)
        print(f"complete up to {table.upto}, live: {list(table.live())}")


if __name__ == "__main__":
    hand_over()
    spread_news()
