"""Support for one entry's evidence on one incoming version."""

from lacewingdock.components.exposure.const import (
    CONTROL_HALF_LIFE,
    ENTRY_HALF_LIFE_MIN,
)
from lacewingdock.components.exposure.increments import Increments, Levels
from lacewingdock.components.exposure.judge import Control


class Batch:
    """Evidence of one entry on one roll-out.

    Attributes:
        levels: Levels of the bets, fixed before the observations.
        control: The old version's data at this entry.
        seen: The bets so far.
        requests: Requests of the new version without a bet yet.
        failed: Number of those that failed.
        old_requests: Requests of the old version in the same period.
        old_failed: Number of those that failed.
    """

    __slots__ = (
        "control",
        "failed",
        "levels",
        "old_failed",
        "old_requests",
        "requests",
        "seen",
    )

    def __init__(self, entries: int) -> None:
        """Create an empty batch at one of `entries` entries."""
        half_life = max(CONTROL_HALF_LIFE / entries, ENTRY_HALF_LIFE_MIN)
        self.levels = Levels()
        self.control = Control(half_life)
        self.seen = Increments()
        self.requests = self.failed = self.old_requests = self.old_failed = 0

    def add_request(self, is_new: bool, is_error: bool) -> None:
        """Count a request of the new or the old version."""
        if is_new:
            self.requests += 1
            self.failed += is_error
            return
        self.old_requests += 1
        self.old_failed += is_error
        self.control.add_request(is_error)

    def add_rating(self, is_new: bool, rating: float) -> None:
        """Add a rating of the new or the old version."""
        if not is_new:
            self.control.add_rating(rating)
        elif self.levels.rating is not None:
            self.seen.add_rating(rating, self.levels.rating)

    def place_bets(self, levels: Levels) -> None:
        """Bet on the requests since the last call; use `levels` from now on.

        An engine that crashes fails requests of both versions within seconds,
        before the fleet's level reflects it, and two such errors would be
        enough to judge the new version bad. So the old version's errors at
        this entry in the same period raise the level. Those are other requests
        than the ones bet on, so the bet stays fair.
        """
        if self.requests:
            local_level = 0.0
            if self.old_requests:
                local_level = 2.0 * self.old_failed / self.old_requests
            level = max(self.levels.errors, local_level)
            self.seen.add_requests(self.requests, self.failed, level)
        self.requests = self.failed = self.old_requests = self.old_failed = 0
        self.seen.copy_control(self.control)
        self.levels = levels
