"""Support for orders of a store that is back from an older copy of itself."""

import time

from lacewingdock.world.backend import ShiftOrder


class RestoredOrders:
    """Orders as the store's copy has them, until it has all again.

    The copy may show the order before the last one, or one without the end
    that a router wrote. The operator's orders are written again within
    seconds, and the routers' ends by the routers that know them.

    Attributes:
        deferred: Orders to other targets than those known, with the time at
            which each service's was seen first.
        unwritten: Services whose order ended, by a status that the store lost,
            with the time from which it is written again.
    """

    __slots__ = ("deferred", "unwritten")

    def __init__(self) -> None:
        """Start without any."""
        self.deferred: dict[str, tuple[float, ShiftOrder]] = {}
        self.unwritten: dict[str, float] = {}

    def defer(self, order: ShiftOrder) -> None:
        """Leave an order until the store has all orders again."""
        seen_at, _ = self.deferred.get(order.service, (time.monotonic(), order))
        self.deferred[order.service] = seen_at, order

    def forget(self, service: str) -> None:
        """Forget a service's order: a later one counts."""
        self.deferred.pop(service, None)
        self.unwritten.pop(service, None)

    def pop_deferred(self) -> list[tuple[float, ShiftOrder]]:
        """Return the orders that were left, with the seconds since."""
        now = time.monotonic()
        found, self.deferred = list(self.deferred.values()), {}
        return [(now - seen_at, order) for seen_at, order in found]

    def schedule_end_write(self, service: str, after_s: float) -> None:
        """Have the end of a service's order written again after a while."""
        self.unwritten.setdefault(service, time.monotonic() + after_s)

    def due_writes(self) -> list[str]:
        """Return the services whose orders' ends are to be written now."""
        now = time.monotonic()
        return [name for name, at in self.unwritten.items() if at <= now]
