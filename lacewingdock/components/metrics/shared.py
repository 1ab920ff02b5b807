"""Metrics that the entry and the sidecar share."""

from collections.abc import Callable, Iterator, Mapping

import prometheus_client
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from lacewingdock.components.metrics.const import PREFIX
from lacewingdock.components.peers import Peers
from lacewingdock.const import VERSION
from lacewingdock.core import Daemon


class CallbackCounter(Collector):
    """A counter whose values a callback returns on each scrape.

    Attributes:
        family: Metric name, help text and label names.
        read: Returns the counts by label value.
    """

    def __init__(
        self,
        name: str,
        help_text: str,
        labels: list[str],
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Create a counter with at most one label."""
        self.family = (PREFIX + name, help_text, labels)
        self.read = read

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the counter family (called on each scrape)."""
        name, help_text, labels = self.family
        family = CounterMetricFamily(name, help_text, labels=labels)
        for value, count in tuple(self.read().items()):
            family.add_metric([value][: len(labels)], count)
        yield family


def register_gauge(
    daemon: Daemon, name: str, help_text: str, value: Callable[[], float]
) -> None:
    """Register a gauge whose value a callback returns on each scrape."""
    prometheus_client.Gauge(
        PREFIX + name, help_text, registry=daemon.metrics
    ).set_function(value)


def register_shared_metrics(daemon: Daemon, peers: Peers) -> None:
    """Register the build, process, link and platform call metrics."""
    prometheus_client.ProcessCollector(registry=daemon.metrics)
    prometheus_client.Info(
        f"{PREFIX}build", "Version and role", registry=daemon.metrics
    ).info({"version": VERSION, "role": daemon.me.role})
    daemon.metrics.register(
        CallbackCounter(
            "platform_calls",
            "Calls to the platform; a waiting watch is one",
            ["purpose"],
            lambda: daemon.store.calls,
        )
    )
    register_gauge(
        daemon, "links_open", "Links that stand", lambda: len(peers.links)
    )
    register_gauge(
        daemon,
        "links_busy",
        "Links with answers outstanding",
        lambda: sum(link.busy.value > 0 for link in tuple(peers.links)),
    )
