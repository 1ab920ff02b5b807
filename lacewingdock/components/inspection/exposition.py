"""Exposition of a router's metrics in Prometheus' text format.

Imported at the first request for metrics; see `gateway/metrics.py`.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from itertools import accumulate
from typing import Any, Final

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
    DurationHistogram,
    GatewayMetrics,
    RequestLabels,
    TimeLabels,
)
from lacewingdock.components.inspection.state import RouterState
from lacewingdock.components.inspection.state_collector import StateCollector
from lacewingdock.platform.metrics import PlatformCalls
from lacewingdock.platform.object_api import ObjectApi

_BUCKET_BOUNDS: Final = (*(str(bound) for bound in BUCKETS_S), "+Inf")


class RequestCollector(Collector):
    """Collects the counters of requests and attempts.

    Attributes:
        metrics: The counters of the gateway.
    """

    __slots__ = ("metrics",)

    def __init__(self, metrics: GatewayMetrics) -> None:
        """Build a collector of a gateway's counters."""
        self.metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics with their current values."""
        counters = self.metrics.copy()
        yield _counter(
            "lacewingdock_gateway_requests",
            "Requests by service, contract of repetition, rank and outcome",
            RequestLabels._fields,
            counters.requests,
        )
        yield _counter(
            "lacewingdock_gateway_attempts",
            "Attempts by state of the upstream instance before, and result",
            AttemptLabels._fields,
            counters.attempts,
        )
        yield CounterMetricFamily(
            "lacewingdock_gateway_skipped_answers",
            "Answers skipped, as they named another request or none",
            value=counters.skipped_answers,
        )
        seconds = HistogramMetricFamily(
            "lacewingdock_gateway_request_seconds",
            "Seconds from a whole request to the end of its answer",
            labels=TimeLabels._fields,
        )
        for when, times in counters.seconds.items():
            seconds.add_metric(when, _cumulative_buckets(times), times.total_s)
        yield seconds


class Exposition:
    """Renders all metrics of a router.

    Attributes:
        registry: The registered collectors.
    """

    __slots__ = ("registry",)

    def __init__(
        self,
        state: Callable[[], RouterState],
        metrics: GatewayMetrics,
        api: ObjectApi,
    ) -> None:
        """Register the collectors of a router's metrics."""
        self.registry = CollectorRegistry()
        self.registry.register(StateCollector(state))
        self.registry.register(RequestCollector(metrics))
        self.registry.register(PlatformCalls(api))

    def render(self) -> tuple[str, bytes]:
        """Return media type and text of all metrics with current values."""
        return CONTENT_TYPE_LATEST, generate_latest(self.registry)


def _counter(
    name: str,
    text: str,
    labels: Sequence[str],
    counts: Mapping[Any, int],
) -> Metric:
    """Return a counter metric, with a sample for each set of label values."""
    family = CounterMetricFamily(name, text, labels=labels)
    for values, count in counts.items():
        family.add_metric(values, count)
    return family


def _cumulative_buckets(times: DurationHistogram) -> list[tuple[str, float]]:
    """Return the upper bound and cumulative count of each bucket."""
    return list(zip(_BUCKET_BOUNDS, accumulate(times.counts), strict=True))
