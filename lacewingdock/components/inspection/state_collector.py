"""Prometheus collector of a router's state."""

from collections import Counter
from collections.abc import Callable, Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from lacewingdock.components.inspection.state import RouterState


class StateCollector(Collector):
    """Collects metrics from a router's state at each scrape.

    Attributes:
        state: Returns the router's current state.
    """

    __slots__ = ("state",)

    def __init__(self, state: Callable[[], RouterState]) -> None:
        """Build a collector of the state that a function returns."""
        self.state = state

    def describe(self) -> Iterator[Metric]:
        """Yield nothing, so that registration does not read the state."""
        return iter(())

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics with their current values."""
        state = self.state()
        yield _single_gauge(
            "active_requests", "Requests in progress", state.active
        )
        yield from _load_metrics(state)
        yield _single_gauge(
            "configuration_version",
            "Version of the configuration in force; 0 without",
            state.configuration or 0,
        )
        yield _single_gauge(
            "store_away",
            "1 while the store does not answer this router",
            state.store_away,
        )
        yield _single_gauge(
            "store_doubtful",
            "1 while a missing entry need not mean that something is gone",
            state.store_doubtful,
        )
        yield from _poison_request_metrics(state)
        yield from _store_metrics(state)
        yield from _era_metrics(state)
        yield _counter(
            "told_bytes",
            "Bytes of messages to other routers that links carried",
            state.told_bytes,
        )
        yield _counter(
            "messages_refused",
            "Datagrams that no router known here sent",
            state.messages_refused,
        )
        yield _single_gauge(
            "watches_store",
            "1 while this router watches the store itself",
            state.watches,
        )
        yield _single_gauge(
            "listeners",
            "Routers that take the store's news from this one",
            state.listeners,
        )
        yield _counter(
            "news_fetched",
            "News of the store fetched from other routers",
            state.news_fetched,
        )
        yield _counter(
            "returned_checks",
            "Checks of instances whose entries came back after their removal",
            state.returned_checks,
        )
        yield _counter(
            "returned_confirmed",
            "Instances that said in such a check that they serve",
            state.returned_confirmed,
        )
        yield _counter(
            "replaced_seen",
            "Instances at whose addresses others answered a request",
            state.replaced_seen,
        )
        yield _counter(
            "replaced_told",
            "Such instances that other routers told of",
            state.replaced_told,
        )
        yield _counter(
            "probes_asked",
            "Questions to instances for their load",
            state.probes_asked,
        )
        yield _counter(
            "probes_answered",
            "Answers of instances on their load that came in time",
            state.probes_answered,
        )
        yield _counter(
            "leavings_said",
            "Instances that said in an answer to this router that they leave",
            state.leavings_said,
        )
        yield _counter(
            "limits_named",
            "How often an instance began to name a limit to this router",
            state.limits_named,
        )
        yield _counter(
            "rests_asked",
            "How often an instance asked this router for rest, while at none",
            state.rests_asked,
        )
        yield from _unknown_name_metrics(state)
        yield from _cordon_metrics(state)
        yield from _upstream_metrics(state)
        yield from _service_metrics(state)
        yield from _rollout_metrics(state)


def _load_metrics(state: RouterState) -> Iterator[Metric]:
    yield _single_gauge(
        "connections", "Open connections of callers", state.connections
    )
    yield _counter(
        "closed_unread",
        "Connections of callers that were closed unread",
        state.closed_unread,
    )
    yield _single_gauge(
        "late_share",
        "Share of the busy connections whose bytes wait too long to be read",
        state.late_share,
    )


def _era_metrics(state: RouterState) -> Iterator[Metric]:
    yield _single_gauge(
        "store_era",
        "Era that the store's answers name; 0 where they name none",
        state.store_era,
    )
    yield _counter(
        "store_restored",
        "How often the store came back from an older copy",
        state.store_restored,
    )
    yield _counter(
        "older_answers",
        "Answers of the store that were of an earlier era",
        state.older_answers,
    )
    yield _counter(
        "eras_unread",
        "Answers of the store whose era can't be read",
        state.eras_unread,
    )
    yield _single_gauge(
        "older_entries",
        "Instances whose listed entry tells less than is known of them",
        state.older_entries,
    )


def _single_gauge(name: str, text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"lacewingdock_router_{name}", text, value=value)


def _counter(name: str, text: str, value: float) -> Metric:
    return CounterMetricFamily(f"lacewingdock_router_{name}", text, value=value)


def _labelled_gauge(
    name: str, text: str, labels: list[str]
) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"lacewingdock_router_{name}", text, labels=labels)


def _store_metrics(state: RouterState) -> Iterator[Metric]:
    ages = _labelled_gauge(
        "copy_age_seconds",
        "Seconds since the store last said what a kind of objects is",
        ["kind"],
    )
    for copy in state.copies:
        if copy.age_s is not None:
            ages.add_metric([copy.kind], copy.age_s)
    yield ages
    if state.store_returned_s is not None:
        yield _single_gauge(
            "store_returned_seconds",
            "Seconds since the store answered this router again",
            state.store_returned_s,
        )


def _poison_request_metrics(state: RouterState) -> Iterator[Metric]:
    yield _single_gauge(
        "suspects",
        "Requests that were lost and not answered since",
        state.suspects,
    )
    yield _single_gauge(
        "suspects_held",
        "Requests that are held back, as they crash what runs them",
        state.suspects_held,
    )
    decisions = CounterMetricFamily(
        "lacewingdock_router_suspect_decisions",
        "What was decided about lost requests",
        labels=["decision"],
    )
    for name, count in state.suspect_decisions.items():
        decisions.add_metric([name], count)
    yield decisions


def _unknown_name_metrics(state: RouterState) -> Iterator[Metric]:
    uses = CounterMetricFamily(
        "lacewingdock_router_unknown_names",
        "Headers of answers, values of theirs and fields of objects that "
        "nothing here reads",
        labels=["where", "name"],
    )
    for name, count in state.unknown_headers.items():
        uses.add_metric(["answer", name], count)
    for name, count in state.unknown_fields.items():
        uses.add_metric(["object", name], count)
    for name, count in state.odd_values.items():
        uses.add_metric(["value", name], count)
    yield uses


def _cordon_metrics(state: RouterState) -> Iterator[Metric]:
    cordons = _labelled_gauge(
        "cordoned",
        "1 for a failure domain whose instances get nothing new",
        ["failure_domain"],
    )
    for domain in state.cordoned:
        cordons.add_metric([domain], 1)
    yield cordons


def _upstream_metrics(state: RouterState) -> Iterator[Metric]:
    counts = Counter((one.service, one.state) for one in state.upstreams)
    instances = _labelled_gauge(
        "upstreams", "Upstream instances", ["service", "state"]
    )
    for labels, count in counts.items():
        instances.add_metric(list(labels), count)
    yield instances
    limits = _labelled_gauge(
        "limit_per_second",
        "Requests a second that an instance takes from all routers",
        ["service", "upstream"],
    )
    for one in state.upstreams:
        if one.limit_per_s is not None:
            limits.add_metric([one.service, one.upstream], one.limit_per_s)
    yield limits


def _service_metrics(state: RouterState) -> Iterator[Metric]:
    retries = _labelled_gauge("retries_left", "Retries saved up", ["service"])
    lateness = _labelled_gauge(
        "lateness", "How late answers begin, in their goal", ["service"]
    )
    slowdown = _labelled_gauge(
        "slowdown", "Pauses of streams, in times those at rest", ["service"]
    )
    for one in state.services:
        retries.add_metric([one.service], one.retries_left)
        lateness.add_metric([one.service], one.lateness)
        slowdown.add_metric([one.service], one.slowdown)
    yield retries
    yield lateness
    yield slowdown


def _rollout_metrics(state: RouterState) -> Iterator[Metric]:
    answers = _labelled_gauge(
        "roll_out_answers",
        "Answers of the new version that this router saw",
        ["service", "stage", "bad"],
    )
    for one in state.roll_outs:
        good = one.answers - one.bad
        answers.add_metric([one.service, one.stage, "no"], good)
        answers.add_metric([one.service, one.stage, "yes"], one.bad)
    yield answers
