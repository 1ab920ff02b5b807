"""Writes a router's entry to the store and removes those of gone routers."""

import random
import threading
from collections.abc import Callable, Mapping
from typing import Final

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.routers import ANNOUNCE_EVERY_S, Routers
from lacewingdock.components.traffic_shifting import Shifts
from lacewingdock.components.traffic_shifting.const import KIND_REPORTS
from lacewingdock.world.host import HostProfile
from lacewingdock.world.router_entry import KIND_ROUTERS

# Seconds until a failed announcement is retried. The entry is needed only in
# outages of the store, when routers fetch copies from each other.
ANNOUNCE_RETRY_S: Final = 1.0
# Share of the platform's writes per second that the routers may use, all
# together, when they announce themselves again after the store was restored
# from an older copy.
ANNOUNCE_WRITES_SHARE: Final = 0.2


class Announcer:
    """Announces a router, and removes the stored objects of gone routers.

    Attributes:
        host: Returns the current settings of this instance.
        routers: The registry of routers.
        shifts: Roll-outs, whose stored reports outlive their routers.
        mirrors: The mirrors by kind.
        random: Source of random numbers.
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
        """Build an announcer from a router's components; `run` announces."""
        self.host = host
        self.routers = routers
        self.shifts = shifts
        self.mirrors = mirrors
        self.random = source

    def run(self, stopping: threading.Event) -> None:
        """Announce this router periodically until the daemon stops."""
        wait_s = 0.0
        while not stopping.is_set():
            if self.routers.due.wait(wait_s):
                self.routers.due.clear()
                stopping.wait(self._jitter_s())
            if not self.routers.announce():
                wait_s = ANNOUNCE_RETRY_S
                continue
            self._remove_gone()
            # Jitter, so that not all routers remove stale objects at once.
            wait_s = ANNOUNCE_EVERY_S * self.random.uniform(0.5, 1.0)

    def _jitter_s(self) -> float:
        """Return a random delay that spreads the writes of all routers.

        Returns:
            Seconds to wait before this router announces itself.
        """
        writes_per_s = self.host().platform_writes_per_s * ANNOUNCE_WRITES_SHARE
        return self.random.uniform(0.0, self.routers.count() / writes_per_s)

    def _remove_gone(self) -> None:
        """Remove entries and reports of gone routers from the store."""
        routers, reports = (
            self.mirrors[kind].snapshot()
            for kind in (KIND_ROUTERS, KIND_REPORTS)
        )
        if routers is None or reports is None or self.shifts.running:
            return
        self.routers.remove_gone()
        known = {self.host().instance, *routers.objects}
        self.shifts.reporter.remove_gone(reports.objects.values(), known)
