"""Support for the rest that an upstream instance asks of this router.

A rest is the backoff that an instance asks for with Retry-After when it turns a
request away.
"""

import math
from dataclasses import dataclass
from typing import Final

# Longest rest in seconds. An instance that asks for more gets a request after
# it, and may ask again.
MAX_REST_S: Final = 3600.0
# Routers that were turned away at the same moment return spread over this part
# of the rest after its end, and over so many seconds at most.
RETURN_PART: Final = 0.25
MAX_RETURN_S: Final = 2.0
# Seconds after its return for which a router sends one request at a time, where
# no answer shows sooner that the instance serves again.
CAREFUL_S: Final = 1.0


@dataclass(slots=True)
class Rest:
    """State of one instance's rest, as seen by this router.

    A later request for a shorter rest never shortens a rest in effect. Changes
    require the lock of the signal memory that holds the rest.

    Attributes:
        asked_at: Monotonic time at which the rest was asked for.
        until: Monotonic time until which the instance wants no requests.
        careful_until: Monotonic time until which requests to it are paced.
    """

    asked_at: float = -math.inf
    until: float = -math.inf
    careful_until: float = -math.inf

    @property
    def return_s(self) -> float:
        """Seconds after the rest over which routers return."""
        return min(RETURN_PART * (self.until - self.asked_at), MAX_RETURN_S)

    def extend(self, for_s: float, now: float) -> None:
        """Start or extend the rest.

        Args:
            for_s: Seconds for which the instance wants no requests.
            now: Monotonic time.
        """
        until = now + min(for_s, MAX_REST_S)
        if until <= self.until or until <= now:
            return
        self.asked_at, self.until = now, until
        self.careful_until = until + self.return_s + CAREFUL_S

    def record_served(self, sent_at: float) -> None:
        """End the careful phase if a request sent after the rest was run.

        Args:
            sent_at: Monotonic time at which the request was sent.
        """
        if sent_at >= self.until:
            self.careful_until = -math.inf
