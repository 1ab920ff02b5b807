"""Support for what is known of the other routers' load."""

import time
from collections.abc import Callable

from lacewingdock.components.gossip import Message
from lacewingdock.components.gossip.port import FANOUT
from lacewingdock.components.overload.const import FULL_S, FULL_SHARE


class FleetOverload:
    """Which other routers say that they can't keep up.

    Attributes:
        count: Returns the number of routers, including this one.
        heard: Monotonic time of the last message of each router, and whether
            it said that it can't keep up.
    """

    __slots__ = ("count", "heard")

    def __init__(self, count: Callable[[], int]) -> None:
        """Start without a message of any router."""
        self.count = count
        self.heard: dict[str, tuple[float, bool]] = {}

    def receive(self, message: Message) -> None:
        """Record what a router says of itself."""
        self.heard[message.router] = (time.monotonic(), message.overloaded)

    def is_general(self) -> bool:
        """Return whether most other routers can't keep up, or there are none.

        Routers without requests send nothing, so those that are not heard
        count as able to keep up, up to the number that one hears at most.
        """
        others = self.count() - 1
        if others <= 0:
            return True
        old = time.monotonic() - FULL_S
        for router, (at, _) in list(self.heard.items()):
            if at < old:
                self.heard.pop(router, None)
        fresh = [full for _, full in list(self.heard.values())]
        return sum(fresh) >= FULL_SHARE * max(len(fresh), min(others, FANOUT))
