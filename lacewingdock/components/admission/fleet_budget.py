"""A router's share of the retry budget of the whole fleet."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.admission.retry_budget import RetryBudget

# Parts of the configured retry ratio: the part that each request adds to the
# bucket at once, and the part that may be saved up for later. Their sum is
# below 1, so that the retries in any window stay within the ratio.
IMMEDIATE_PART: Final = 0.85
BURST_PART: Final = 0.1


@dataclass(slots=True, frozen=True)
class RetryTerms:
    """A router's share of the fleet's retry budget.

    Attributes:
        ratio: Retries allowed per request.
        extra: This router's share of the retries allowed in each window
            regardless of the number of requests.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class FleetBudget(RetryBudget):
    """A retry budget whose size follows the fleet size and the traffic.

    In any window, the fleet may make a number of retries per request, plus a
    fixed number of extra retries. The ratio needs no division, as each router
    counts its own requests; the extra retries are divided by the number of
    routers. In a large fleet that share is below one retry, so a part of the
    ratio may be saved up as well.

    Attributes:
        counts: Total of requests at each of the last seconds of the window,
            oldest first.
    """

    __slots__ = ("counts",)

    def __init__(self, terms: RetryTerms) -> None:
        """Start with this router's share of the extra retries."""
        super().__init__(
            terms.ratio * IMMEDIATE_PART, terms.extra * IMMEDIATE_PART
        )
        self.counts: deque[int] = deque([0], maxlen=_seconds(terms))

    def tick(self, terms: RetryTerms) -> None:
        """Update the size of the budget; must be called once a second."""
        if self.counts.maxlen != _seconds(terms):
            self.counts = deque(self.counts, maxlen=_seconds(terms))
        recent = self.requests - self.counts[0]
        self.counts.append(self.requests)
        saved = BURST_PART * terms.ratio * recent
        self.share = terms.ratio * IMMEDIATE_PART
        self.burst = terms.extra * IMMEDIATE_PART + saved


def _seconds(terms: RetryTerms) -> int:
    return max(int(terms.window_s), 1)
