"""Support for the metrics of direct calls."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Histogram

# From a round trip to the longest timeout of a route.
BUCKETS_S: Final = (0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)


class GatewayMetrics:
    """Counters and histograms; label values come from small closed sets.

    Attributes:
        requests: Requests by service and outcome.
        seconds: Time to the end of the answer by service.
        attempts: Attempts by result.
    """

    __slots__ = ("attempts", "requests", "seconds")

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self.requests = Counter(
            "lacewingdock_gateway_requests",
            "Requests by service and outcome",
            ["service", "outcome"],
            registry=registry,
        )
        self.seconds = Histogram(
            "lacewingdock_gateway_request_seconds",
            "Seconds from a whole request to the end of its answer",
            ["service"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "lacewingdock_gateway_attempts",
            "Attempts at upstream instances by result",
            ["result"],
            registry=registry,
        )

    def finished(self, service: str, outcome: str, seconds: float) -> None:
        """Count a request that got its final answer."""
        self.requests.labels(service, outcome).inc()
        self.seconds.labels(service).observe(seconds)

    def attempted(self, result: str) -> None:
        """Count an attempt that reached an upstream."""
        self.attempts.labels(result).inc()
