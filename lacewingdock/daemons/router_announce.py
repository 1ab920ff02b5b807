"""Support for a router's entry in the store, and for those of routers gone."""

import random
import threading
from collections.abc import Callable, Mapping
from typing import Final

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.routers import ANNOUNCE_EVERY_S, Routers
from lacewingdock.components.shifts import Shifts
from lacewingdock.components.shifts.const import KIND_REPORTS
from lacewingdock.world.host import HostProfile
from lacewingdock.world.router_entry import KIND_ROUTERS

# How soon a failed announcement is tried again; it is needed in outages only.
ANNOUNCE_RETRY_S: Final = 1.0
# After the store's return from a copy all routers announce themselves again;
# that takes at most this part of the platform's writes a second.
ANNOUNCE_WRITES_SHARE: Final = 0.2


class Announcer:
    """Announces a router, and removes what is left of those that are gone.

    Attributes:
        host: Returns what the platform says of this instance.
        routers: The routers.
        shifts: Roll-outs, whose reports outlive their routers.
        mirrors: The mirrors by kind.
        random: Source of draws.
    """

    __slots__ = ("host", "mirrors", "random", "routers", "shifts")

    def __init__(
        self,
        host: Callable[[], HostProfile],
        routers: Routers,
        shifts: Shifts,
        mirrors: Mapping[str, Mirror],
        source: random.Random,
    ) -> None:
        """Take the parts; `run` announces."""
        self.host = host
        self.routers = routers
        self.shifts = shifts
        self.mirrors = mirrors
        self.random = source

    def run(self, stopping: threading.Event) -> None:
        """Announce this router, again and again, until the daemon stops."""
        wait_s = 0.0
        while not stopping.is_set():
            if self.routers.due.wait(wait_s):
                self.routers.due.clear()
                stopping.wait(self._jitter_s())
            if not self.routers.announce():
                wait_s = ANNOUNCE_RETRY_S
                continue
            self._remove_gone()
            # Spread, so that not all remove what is gone at once.
            wait_s = ANNOUNCE_EVERY_S * self.random.uniform(0.5, 1.0)

    def _jitter_s(self) -> float:
        """Return how long to wait where all routers announce themselves."""
        writes_per_s = self.host().platform_writes_per_s * ANNOUNCE_WRITES_SHARE
        return self.random.uniform(0.0, self.routers.count() / writes_per_s)

    def _remove_gone(self) -> None:
        """Remove what routers left in the store that are gone for good."""
        routers, reports = (
            self.mirrors[kind].snapshot()
            for kind in (KIND_ROUTERS, KIND_REPORTS)
        )
        if routers is None or reports is None or self.shifts.running:
            return
        self.routers.remove_gone()
        known = {self.host().instance, *routers.objects}
        self.shifts.reporter.remove_gone(reports.objects.values(), known)
