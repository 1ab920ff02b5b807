"""Retry budget: limits retries to a share of the requests."""

import threading
from typing import Final

# Retries that each request adds to the bucket.
RETRY_SHARE: Final = 0.2
# Size of the bucket in retries. All requests at a lost upstream are retried at
# once; an entry of the largest size has about a dozen open at each upstream.
RETRY_BURST: Final = 32.0


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    An overloaded pool rejects every request. With three attempts each, it gets
    three times the load that it could not serve before, and stays overloaded
    by retries after the callers' load has dropped (a retry storm). The budget
    limits the additional load to a fifth, and has no effect while rejections
    are rare.

    Attributes:
        share: Retries that each request adds.
        burst: Size of the bucket, in retries.
        saved: Retries that are available now.
        requests: Number of requests counted.
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
        """Count a request and add its share of a retry."""
        with self._lock:
            self.requests += 1
            self.saved = min(self.burst, self.saved + self.share)

    def take(self) -> bool:
        """Use one retry; return False if none is available."""
        with self._lock:
            if self.saved < 1.0:
                return False
            self.saved -= 1.0
            return True
