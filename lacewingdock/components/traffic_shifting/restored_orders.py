"""Support for orders in a store that was restored from an older copy."""

import time

from lacewingdock.world.backend import ShiftOrder


class RestoredOrders:
    """Orders read from a restored store that may be outdated.

    The restored copy may hold the order before the latest one, or an order
    without the final status that a router wrote. The operator's orders are
    written again within seconds, and the final statuses by the routers that
    have them in memory.

    Attributes:
        deferred: Orders whose target differs from that of the latest order, by
            service, with the monotonic time at which the first was seen.
        unwritten: Services whose orders' final status the store lost, with the
            monotonic time from which it is written again.
    """

    __slots__ = ("deferred", "unwritten")

    def __init__(self) -> None:
        """Initialize without orders."""
        self.deferred: dict[str, tuple[float, ShiftOrder]] = {}
        self.unwritten: dict[str, float] = {}

    def defer(self, order: ShiftOrder) -> None:
        """Defer an order until the store has all orders again."""
        seen_at, _ = self.deferred.get(order.service, (time.monotonic(), order))
        self.deferred[order.service] = seen_at, order

    def forget(self, service: str) -> None:
        """Drop a service's pending order, as a later one replaces it."""
        self.deferred.pop(service, None)
        self.unwritten.pop(service, None)

    def pop_deferred(self) -> list[tuple[float, ShiftOrder]]:
        """Remove and return the deferred orders, with the seconds deferred."""
        now = time.monotonic()
        found, self.deferred = list(self.deferred.values()), {}
        return [(now - seen_at, order) for seen_at, order in found]

    def schedule_end_write(self, service: str, after_s: float) -> None:
        """Schedule writing a final status again, after some seconds."""
        self.unwritten.setdefault(service, time.monotonic() + after_s)

    def due_writes(self) -> list[str]:
        """Return the services whose final status is due to be written."""
        now = time.monotonic()
        return [name for name, at in self.unwritten.items() if at <= now]
