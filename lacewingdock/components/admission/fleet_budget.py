"""Support for a router's part of the retries that a whole fleet may make."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.admission.retry_budget import RetryBudget

# Of the retries that the operators allow a request, the part that each request
# adds at once, and the part that may be saved up for later ones. Together they
# stay under the whole, so that a span's retries do, wherever it begins.
IMMEDIATE_PART: Final = 0.85
BURST_PART: Final = 0.1


@dataclass(slots=True, frozen=True)
class RetryTerms:
    """What a router may make of a fleet's retries.

    Attributes:
        ratio: Retries allowed a request.
        extra: This router's part of those allowed besides.
        span_s: Span in which they are counted, in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class FleetBudget(RetryBudget):
    """A retry budget whose size follows the fleet's and the traffic.

    The fleet may make so many retries a request and so many besides in any
    span. The first part needs no division, as each router counts its own
    requests; the second is divided by the routers there are. A large fleet's
    part of it is under one retry, so some of the first part is saved up too.

    Attributes:
        counts: Requests counted so far, at each of the last seconds.
    """

    __slots__ = ("counts",)

    def __init__(self, terms: RetryTerms) -> None:
        """Start with the part of the retries besides."""
        super().__init__(
            terms.ratio * IMMEDIATE_PART, terms.extra * IMMEDIATE_PART
        )
        self.counts: deque[int] = deque([0], maxlen=_seconds(terms))

    def tick(self, terms: RetryTerms) -> None:
        """Take the size anew; called once a second."""
        if self.counts.maxlen != _seconds(terms):
            self.counts = deque(self.counts, maxlen=_seconds(terms))
        recent = self.requests - self.counts[0]
        self.counts.append(self.requests)
        saved = BURST_PART * terms.ratio * recent
        self.share = terms.ratio * IMMEDIATE_PART
        self.burst = terms.extra * IMMEDIATE_PART + saved


def _seconds(terms: RetryTerms) -> int:
    return max(int(terms.window_s), 1)
