"""Support for counting direct calls.

The counts are plain, and turned into metrics when they are asked for: loading
the metrics library takes time in which a restarted router answers nobody, and
it counts a request several times as slowly.
"""

import threading
from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from lacewingdock.components.gateway.outcome import Outcome
from lacewingdock.components.upstreams.instance import InstanceState
from lacewingdock.world.route import Repeat

# From a round trip to the longest timeout of a route.
BUCKETS_S: Final = (0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)


class RequestLabels(NamedTuple):
    """What requests are counted by; values come from small closed sets.

    Attributes:
        service: Where it went; empty where no route was found.
        contract: How often it may run; "none" where no route was found.
        rank: Rank of its workspace or route; "none" where none is known.
        end: How it ended, as its caller saw it.
        code: Status of the answer, or the error's code.
    """

    service: str
    contract: str
    rank: str
    end: str
    code: str


class AttemptLabels(NamedTuple):
    """What attempts are counted by.

    Attributes:
        state: State of the instance before.
        result: What came of it.
    """

    state: str
    result: str


class TimeLabels(NamedTuple):
    """What times are counted by; see `RequestLabels`."""

    contract: str
    rank: str
    end: str


@dataclass(slots=True)
class DurationHistogram:
    """A histogram of times.

    Attributes:
        counts: Times in each bucket, and beyond the last.
        total_s: Their sum.
    """

    counts: list[int] = field(
        default_factory=lambda: [0] * (len(BUCKETS_S) + 1)
    )
    total_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Count a time."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds


class GatewayMetrics:
    """Counts of requests and attempts.

    Attributes:
        requests: Requests.
        seconds: Times to the end of the answer.
        attempts: Attempts.
    """

    __slots__ = ("_lock", "attempts", "requests", "seconds")

    def __init__(self) -> None:
        """Start at nothing."""
        self.requests: Counter[RequestLabels] = Counter()
        self.seconds: dict[TimeLabels, DurationHistogram] = {}
        self.attempts: Counter[AttemptLabels] = Counter()
        self._lock = threading.Lock()

    def count_outcome(
        self,
        service: str,
        contract: Repeat | None,
        rank: int | None,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Count a request that got its final answer.

        Args:
            service: Where it went; empty where no route was found.
            contract: How often it may run; None where no route was found.
            rank: Rank of its workspace or route; None where none is known.
            outcome: How it ended.
            seconds: How long it took.
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

    def count_attempt(self, state: InstanceState, result: str) -> None:
        """Count an attempt."""
        with self._lock:
            self.attempts[AttemptLabels(state, result)] += 1

    def copy(self) -> "GatewayMetrics":
        """Return the counts as they are now."""
        found = GatewayMetrics()
        with self._lock:
            found.requests = self.requests.copy()
            found.attempts = self.attempts.copy()
            found.seconds = {
                labels: DurationHistogram(list(times.counts), times.total_s)
                for labels, times in self.seconds.items()
            }
        return found
