"""Support for instances whose entries came back after their removal.

Either the entry of a running instance expired, or an earlier heartbeat of one
that left was written late. An entry that nobody renews expires again, and the
health check of an instance succeeds until it begins to leave. Both are asked
for: several heartbeats may be written late, and a health check may be wrong.
"""

import random
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.entry_order import HeldEntry
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.backend import UpstreamEntry

# Seconds between rounds that start the checks that are due.
RETURNED_ROUND_S: Final = 0.1
# Checks of one router that run at the same time.
CONCURRENT_CHECKS: Final = 4
# Seconds until an instance that did not confirm its entry is checked again.
RECHECK_S: Final = 1.0
# Time in seconds per router over which the routers' checks of one instance are
# spread: all routers learn of an entry at once, and a check takes a place.
SPREAD_PER_ROUTER_S: Final = 0.004

log = get_logger("upstreams")


class ReturnedInstances:
    """Checks instances whose entries came back, and confirms the entries.

    Attributes:
        directory: The instances; it holds the entries until they are confirmed.
        unrenewed_s: Returns for how many seconds an entry that nobody renews is
            listed at most, as this router sees it.
        is_serving: Returns whether an instance says that it is serving and not
            leaving.
        routers: Returns the number of routers.
        random: Source of random numbers.
        clock: Source of monotonic time.
        due: Monotonic time of the next check, by incarnation.
        checks: Checks made.
        confirmed: Entries that were confirmed.
    """

    __slots__ = (
        "_executor",
        "checks",
        "clock",
        "confirmed",
        "directory",
        "due",
        "is_serving",
        "random",
        "routers",
        "unrenewed_s",
    )

    def __init__(
        self,
        directory: Directory,
        unrenewed_s: Callable[[], float],
        is_serving: Callable[[UpstreamEntry], bool],
        routers: Callable[[], int],
        source: random.Random,
        clock: Clock = STEADY,
    ) -> None:
        """Build it without checks; `round` makes those that are due."""
        self.directory = directory
        self.unrenewed_s = unrenewed_s
        self.is_serving = is_serving
        self.routers = routers
        self.random = source
        self.clock = clock
        self.due: dict[str, float] = {}
        self.checks = 0
        self.confirmed = 0
        self._executor = ThreadPoolExecutor(
            CONCURRENT_CHECKS, thread_name_prefix="returned"
        )

    def round(self) -> None:
        """Start the checks that are due."""
        for entry in self.take_due():
            self._executor.submit(self.check, entry)

    def take_due(self) -> list[UpstreamEntry]:
        """Return the entries to check now, and schedule their next checks."""
        now = self.clock.now()
        held = {one.entry.incarnation: one for one in self.directory.returned()}
        services = Counter(one.entry.service for one in held.values())
        self.due = {
            name: (
                self.due[name]
                if name in self.due
                else self._first_check(one, services[one.entry.service])
            )
            for name, one in held.items()
        }
        found = [name for name, due_at in self.due.items() if due_at <= now]
        for name in found:
            self.due[name] = now + RECHECK_S
        return [held[name].entry for name in found]

    def _first_check(self, held: HeldEntry, count: int) -> float:
        """Return the time of an entry's first check.

        Where more of a service's instances came back than are in use, their
        entries expired together, and requests are refused until then: they are
        checked at once.

        Args:
            held: The entry.
            count: Number of held entries of its service.
        """
        spread_s = self.random.uniform(
            0.0, SPREAD_PER_ROUTER_S * self.routers()
        )
        others = self.directory.of_service(held.entry.service)
        if sum(one.open for one in others) < count:
            return held.since + spread_s
        return held.since + self.unrenewed_s() + spread_s

    def check(self, entry: UpstreamEntry) -> None:
        """Check an instance, and confirm its entry if it is serving."""
        self.checks += 1
        try:
            serving = self.is_serving(entry)
        except Exception:
            # Nobody reads the result of this task.
            log.exception("check failed", upstream=entry.id)
            return
        log.info(
            "returned instance checked", upstream=entry.id, serving=serving
        )
        if serving:
            self.confirmed += 1
            self.directory.confirm(entry.incarnation)
