"""Support for what is known of the other routers' load."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from lacewingdock.components.gossip import Message
from lacewingdock.components.gossip.port import FANOUT
from lacewingdock.components.overload.const import FULL_S, FULL_SHARE


@dataclass(slots=True, frozen=True)
class _Report:
    """What a router says of itself.

    Attributes:
        order: Start and number of its message; a later one is larger.
        at: Monotonic time at which the message arrived.
        overloaded: Whether the router can't keep up.
    """

    order: tuple[int, int]
    at: float
    overloaded: bool


class FleetOverload:
    """Which other routers say that they can't keep up.

    Attributes:
        count: Returns the number of routers, including this one.
        heard: The newest report of each router.
    """

    __slots__ = ("count", "heard")

    def __init__(self, count: Callable[[], int]) -> None:
        """Start without a message of any router."""
        self.count = count
        self.heard: dict[str, _Report] = {}

    def receive(self, message: Message) -> None:
        """Record what a router says of itself; datagrams may be reordered."""
        order = (message.start, message.number)
        known = self.heard.get(message.router)
        if known is None or known.order < order:
            self.heard[message.router] = _Report(
                order, time.monotonic(), message.overloaded
            )

    def is_general(self) -> bool:
        """Return whether most other routers can't keep up, or there are none.

        Routers without requests send nothing, so those that are not heard
        count as able to keep up, up to the number that one hears at most.
        """
        others = self.count() - 1
        if others <= 0:
            return True
        old = time.monotonic() - FULL_S
        for router, report in list(self.heard.items()):
            if report.at < old:
                self.heard.pop(router, None)
        fresh = [one.overloaded for one in list(self.heard.values())]
        return sum(fresh) >= FULL_SHARE * max(len(fresh), min(others, FANOUT))
