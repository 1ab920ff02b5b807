"""Support for a router's metrics in Prometheus' text.

Loaded when metrics are asked for first; see `gateway/metrics.py`.
"""

from collections.abc import Callable, Iterator
from itertools import accumulate
from typing import Final

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.core import (
    CollectorRegistry,
    CounterMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from lacewingdock.components.gateway.metrics import (
    BUCKETS_S,
    AttemptLabels,
    GatewayMetrics,
    RequestLabels,
    TimeLabels,
    Times,
)
from lacewingdock.components.inspection.beliefs import Beliefs
from lacewingdock.components.inspection.state import RouterState
from lacewingdock.platform.metrics import PlatformCalls
from lacewingdock.platform.object_api import ObjectApi

_BOUNDS: Final = (*(str(bound) for bound in BUCKETS_S), "+Inf")


class Requests(Collector):
    """Collects the counts of requests and attempts.

    Attributes:
        metrics: The counts.
    """

    __slots__ = ("metrics",)

    def __init__(self, metrics: GatewayMetrics) -> None:
        """Take the counts."""
        self.metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield the counts as they are now."""
        found = self.metrics.copy()
        requests = CounterMetricFamily(
            "lacewingdock_gateway_requests",
            "Requests by service, contract of repetition, rank and outcome",
            labels=RequestLabels._fields,
        )
        for labels, count in found.requests.items():
            requests.add_metric(labels, count)
        attempts = CounterMetricFamily(
            "lacewingdock_gateway_attempts",
            "Attempts by state of the upstream instance before, and result",
            labels=AttemptLabels._fields,
        )
        for of, count in found.attempts.items():
            attempts.add_metric(of, count)
        seconds = HistogramMetricFamily(
            "lacewingdock_gateway_request_seconds",
            "Seconds from a whole request to the end of its answer",
            labels=TimeLabels._fields,
        )
        for when, times in found.seconds.items():
            seconds.add_metric(when, _buckets(times), times.total_s)
        yield from (requests, attempts, seconds)


class Exposition:
    """Renders all metrics of a router.

    Attributes:
        registry: The collectors.
    """

    __slots__ = ("registry",)

    def __init__(
        self,
        state: Callable[[], RouterState],
        metrics: GatewayMetrics,
        api: ObjectApi,
    ) -> None:
        """Register what is collected."""
        self.registry = CollectorRegistry()
        self.registry.register(Beliefs(state))
        self.registry.register(Requests(metrics))
        self.registry.register(PlatformCalls(api))

    def render(self) -> tuple[str, bytes]:
        """Return media type and text of all metrics as they are now."""
        return CONTENT_TYPE_LATEST, generate_latest(self.registry)


def _buckets(times: Times) -> list[tuple[str, float]]:
    """Return bounds and counts up to each."""
    return list(zip(_BOUNDS, accumulate(times.counts), strict=True))
