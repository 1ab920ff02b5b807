"""Support for counting direct calls.

Requests are counted in plain containers, which are converted when the metrics
are scraped. Loading the metrics library would delay the first answers of a
restarted router, and its counters are several times slower.
"""

import threading
from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from lacewingdock.components.gateway.outcome import Outcome
from lacewingdock.components.upstreams.instance import InstanceState
from lacewingdock.world.route import Repeat

# Upper bounds of the histogram buckets in seconds, from a round trip to the
# longest timeout of a route.
BUCKETS_S: Final = (0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)


class RequestLabels(NamedTuple):
    """Labels of the request counter; each has a small closed set of values.

    Attributes:
        service: Service of the route; empty where no route was found.
        contract: How often the request may run; "none" where no route was
            found.
        rank: Priority of the workspace or route; "none" where unknown.
        end: How the request ended for its caller.
        code: Status of the answer, or the error's code.
    """

    service: str
    contract: str
    rank: str
    end: str
    code: str


class AttemptLabels(NamedTuple):
    """Labels of the attempt counter.

    Attributes:
        state: State of the instance before the attempt.
        result: Class of the attempt's result.
    """

    state: str
    result: str


class TimeLabels(NamedTuple):
    """Labels of the request durations; see `RequestLabels`."""

    contract: str
    rank: str
    end: str


@dataclass(slots=True)
class DurationHistogram:
    """A histogram of durations.

    Attributes:
        counts: Number of durations in each bucket, and above the last bound.
        total_s: Sum of the durations in seconds.
    """

    counts: list[int] = field(
        default_factory=lambda: [0] * (len(BUCKETS_S) + 1)
    )
    total_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Add a duration to its bucket and to the sum."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds


class GatewayMetrics:
    """Counts of requests and attempts.

    Attributes:
        requests: Number of finished requests.
        seconds: Durations from the request to the end of the answer.
        attempts: Number of attempts.
        skipped_answers: Number of answers that were skipped, as they named
            another request or none.
    """

    __slots__ = (
        "_lock",
        "attempts",
        "requests",
        "seconds",
        "skipped_answers",
    )

    def __init__(self) -> None:
        """Create empty counters."""
        self.requests: Counter[RequestLabels] = Counter()
        self.seconds: dict[TimeLabels, DurationHistogram] = {}
        self.attempts: Counter[AttemptLabels] = Counter()
        self.skipped_answers = 0
        self._lock = threading.Lock()

    def count_outcome(
        self,
        service: str,
        contract: Repeat | None,
        rank: int | None,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Count a finished request.

        Args:
            service: Service of the route; empty where no route was found.
            contract: How often the request may run; None where no route was
                found.
            rank: Priority of the workspace or route; None where unknown.
            outcome: How the request ended.
            seconds: Seconds from the request to the end of the answer.
        """
        labels = RequestLabels(
            service,
            contract or "none",
            "none" if rank is None else str(rank),
            outcome.end,
            outcome.code,
        )
        times = TimeLabels(labels.contract, labels.rank, labels.end)
        with self._lock:
            self.requests[labels] += 1
            self.seconds.setdefault(times, DurationHistogram()).add(seconds)

    def count_attempt(
        self, state: InstanceState, result: str, skipped_answers: int = 0
    ) -> None:
        """Count an attempt by the instance's state and the result."""
        with self._lock:
            self.attempts[AttemptLabels(state, result)] += 1
            self.skipped_answers += skipped_answers

    def copy(self) -> "GatewayMetrics":
        """Return a consistent copy of the counters."""
        copied = GatewayMetrics()
        with self._lock:
            copied.requests = self.requests.copy()
            copied.attempts = self.attempts.copy()
            copied.skipped_answers = self.skipped_answers
            copied.seconds = {
                labels: DurationHistogram(list(times.counts), times.total_s)
                for labels, times in self.seconds.items()
            }
        return copied
