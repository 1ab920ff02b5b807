"""Support for limiting retries to a share of the requests."""

import threading
from typing import Final

RETRY_SHARE: Final = 0.2
# The requests that one lost upstream leaves behind are retried at once; an
# entry of the largest size has about a dozen open with each.
RETRY_BURST: Final = 32.0


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    When a pool runs out, every request is refused, and with three tries each
    the pool sees three times the load that it could not carry before: it stays
    full of tries after the callers' own load has gone down. A budget bounds
    that to a fifth more, and costs nothing while refusals are rare.

    Attributes:
        share: Retries that each request adds.
        burst: Retries that may be saved up.
        saved: Retries that may be made now.
        requests: Requests counted so far.
    """

    __slots__ = ("_lock", "burst", "requests", "saved", "share")

    def __init__(
        self, share: float = RETRY_SHARE, burst: float = RETRY_BURST
    ) -> None:
        """Start with a full bucket."""
        self.share = share
        self.burst = burst
        self.saved = burst
        self.requests = 0
        self._lock = threading.Lock()

    def count_request(self) -> None:
        """Add a request's share."""
        with self._lock:
            self.requests += 1
            self.saved = min(self.burst, self.saved + self.share)

    def take(self) -> bool:
        """Take one retry; False when there is none."""
        with self._lock:
            if self.saved < 1.0:
                return False
            self.saved -= 1.0
            return True
