"""Metrics of the calls to the platform."""

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from lacewingdock.platform.object_api import ObjectApi


class PlatformCalls(Collector):
    """Prometheus collector of the numbers of calls, by purpose.

    Attributes:
        store: Client whose calls are collected.
    """

    __slots__ = ("store",)

    def __init__(self, store: ObjectApi) -> None:
        """Collect the calls of a client of the store."""
        self.store = store

    def collect(self) -> Iterator[Metric]:
        """Yield the current counters."""
        yield _counter_by_purpose(
            "calls",
            "Calls to the platform; a waiting watch is one",
            self.store.calls,
        )
        yield _counter_by_purpose(
            "calls_failed",
            "Calls to the platform without a usable answer",
            self.store.failures,
        )
        yield CounterMetricFamily(
            "lacewingdock_platform_calls_refused",
            "Calls not made because the daemon's budget was used up",
            value=self.store.budget.refused,
        )


def _counter_by_purpose(name: str, text: str, counts: dict[str, int]) -> Metric:
    found = CounterMetricFamily(
        f"lacewingdock_platform_{name}", text, labels=["purpose"]
    )
    for purpose, count in tuple(counts.items()):
        found.add_metric([purpose], count)
    return found
