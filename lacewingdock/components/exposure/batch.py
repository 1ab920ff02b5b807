"""Support for what one entry sees of one incoming version."""

from lacewingdock.components.exposure.const import (
    CONTROL_HALF_LIFE,
    ENTRY_HALF_LIFE_MIN,
)
from lacewingdock.components.exposure.increments import Increments, Levels
from lacewingdock.components.exposure.judge import Control


class Batch:
    """Evidence of one roll-out at one entry.

    Attributes:
        levels: What the bets go by; fixed before what they are on.
        control: The old version, as seen here.
        seen: The bets so far.
        requests: Requests of the new version that are not bet on yet.
        failed: Those of them that failed.
        old_requests: Requests of the old version in the same time.
        old_failed: Those of them that failed.
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
        """Start without evidence; `entries` share the comparison."""
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
        """Take a rating of the new or the old version."""
        if not is_new:
            self.control.add_rating(rating)
        elif self.levels.rating is not None:
            self.seen.add_rating(rating, self.levels.rating)

    def settle(self, levels: Levels) -> None:
        """Bet on the requests since the last time; go by `levels` from now.

        An engine that dies fails requests of both versions within seconds,
        before the fleet's level can show it, and two such errors would call
        the new version bad. So the old version's errors here in the same
        seconds raise the level. They are other requests than those bet on,
        so the bet stays fair.
        """
        if self.requests:
            beside = 0.0
            if self.old_requests:
                beside = 2.0 * self.old_failed / self.old_requests
            level = max(self.levels.errors, beside)
            self.seen.add_requests(self.requests, self.failed, level)
        self.requests = self.failed = self.old_requests = self.old_failed = 0
        self.seen.take_control(self.control)
        self.levels = levels
