"""Support for the metrics of direct calls."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Histogram

from lacewingdock.components.gateway.outcome import Outcome
from lacewingdock.components.upstreams.directory import InstanceState
from lacewingdock.world.route import Repeat

# From a round trip to the longest timeout of a route.
BUCKETS_S: Final = (0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)


class GatewayMetrics:
    """Counters and histograms; label values come from small closed sets.

    Attributes:
        requests: Requests by service, contract of repetition, rank and
            outcome.
        seconds: Time to the end of the answer by contract, rank and end.
        attempts: Attempts by state of the instance and result.
    """

    __slots__ = ("attempts", "requests", "seconds")

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self.requests = Counter(
            "lacewingdock_gateway_requests",
            "Requests by service, contract of repetition, rank and outcome",
            ["service", "contract", "rank", "end", "code"],
            registry=registry,
        )
        self.seconds = Histogram(
            "lacewingdock_gateway_request_seconds",
            "Seconds from a whole request to the end of its answer",
            ["contract", "rank", "end"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "lacewingdock_gateway_attempts",
            "Attempts by state of the upstream instance before, and result",
            ["state", "result"],
            registry=registry,
        )

    def finished(
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
        of = (contract or "none", "none" if rank is None else str(rank))
        self.requests.labels(service, *of, outcome.end, outcome.code).inc()
        self.seconds.labels(*of, outcome.end).observe(seconds)

    def attempted(self, state: InstanceState, result: str) -> None:
        """Count an attempt."""
        self.attempts.labels(state, result).inc()
