"""Support for the state that all requests of a router share."""

import random
import time
from collections.abc import Callable

from lacewingdock.components.admission.fleet_budget import (
    FleetBudget,
    RetryTerms,
)
from lacewingdock.components.gateway.confidence_threshold import Pressure
from lacewingdock.components.gateway.metrics import GatewayMetrics
from lacewingdock.components.gateway.outcome import refused
from lacewingdock.components.poison_requests import PoisonRequests
from lacewingdock.components.routes import Routes
from lacewingdock.components.traffic_shifting import Shifts
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.components.upstreams.pool import ConnectionPool
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.problem import MEDIA_TYPE, problem_body
from lacewingdock.helpers.server_connection import ServerConnection
from lacewingdock.helpers.unknown_names import UnknownNames
from lacewingdock.platform.wire import refusal_headers
from lacewingdock.world.call import Call, ResponseHead

log = get_logger("gateway")


class Gateway:
    """The state that all requests of a router share.

    Attributes:
        routes: Holds the routing table.
        chooser: Chooses upstream instances.
        pool: Connections to upstream instances.
        shifts: Roll-outs under way.
        suspects: Requests that may be poison requests, since instances failed
            while they ran them.
        metrics: Counts and durations of requests and attempts.
        budgets: Retry budgets by service.
        pressures: Load on each service, seen in its answers.
        retry_terms: This router's share of the fleet's retries.
        random: Random source.
        unknown_headers: Undocumented headers in answers of upstreams.
        odd_values: Headers in answers of upstreams whose values are invalid.
        refuses: Returns whether a request of a priority is refused, since this
            router can't keep up.
        readiness_events: Events set once the state that a request needs is
            loaded: the routing table, the instances, the roll-outs.
    """

    __slots__ = (
        "budgets",
        "chooser",
        "metrics",
        "odd_values",
        "pool",
        "pressures",
        "random",
        "readiness_events",
        "refuses",
        "retry_terms",
        "routes",
        "shifts",
        "suspects",
        "unknown_headers",
    )

    def __init__(
        self,
        routes: Routes,
        chooser: Chooser,
        shifts: Shifts,
        suspects: PoisonRequests,
        metrics: GatewayMetrics,
        retry_terms: RetryTerms,
        source: random.Random,
    ) -> None:
        """Create the shared state with empty pools, budgets and counts."""
        self.routes = routes
        self.chooser = chooser
        self.shifts = shifts
        self.suspects = suspects
        self.metrics = metrics
        self.pool = ConnectionPool()
        self.budgets: dict[str, FleetBudget] = {}
        self.pressures: dict[str, Pressure] = {}
        self.retry_terms = retry_terms
        self.random = source
        self.unknown_headers = UnknownNames("answer")
        self.odd_values = UnknownNames("value")
        self.refuses: Callable[[int], bool] = lambda _: False
        self.readiness_events = [routes.loaded]

    def wait_until_ready(self, timeout_s: float) -> None:
        """Wait until the state that a request needs is loaded after a start."""
        until = time.monotonic() + timeout_s
        for loaded in self.readiness_events:
            loaded.wait(max(until - time.monotonic(), 0.0))

    def budget(self, service: str) -> FleetBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            # Threads that get here at the same time must share one budget.
            budget = FleetBudget(self.retry_terms)
            return self.budgets.setdefault(service, budget)
        return self.budgets[service]

    def update_retry_terms(self, terms: RetryTerms) -> None:
        """Apply this router's share of the fleet's retries; once a second."""
        self.retry_terms = terms
        for budget in list(self.budgets.values()):
            budget.tick(terms)

    def pressure(self, service: str) -> Pressure:
        """Return the load on a service, seen in its answers."""
        return self.pressures.setdefault(service, Pressure())

    def record_head(
        self, instance: UpstreamInstance, head: ResponseHead, sent_at: float
    ) -> None:
        """Record what the head of an answer reports about its instance.

        Args:
            instance: The instance that the request was sent to.
            head: The head of the answer.
            sent_at: Monotonic time at which the request was sent.
        """
        entry = instance.entry
        if not head.is_from_other_instance(entry.id):
            instance.answered(sent_at)
        memory = self.chooser.directory.signals
        if memory.answered(entry, instance.signals, head, sent_at):
            self.chooser.changed.set()
        if head.unknown:
            self.unknown_headers.count_names(entry.id, head.unknown)
        if head.odd:
            self.odd_values.count_names(entry.id, head.odd)

    def refuse(
        self, connection: ServerConnection, call: Call, error: LacewingdockError
    ) -> None:
        """Refuse a request before its route is looked up."""
        log.info("request refused", request=call.id, code=error.kind)
        self.metrics.count_outcome("", None, None, refused(error), 0.0)
        answer_error(connection, error, call.id)

    def refuse_unread(
        self, connection: ServerConnection, error: LacewingdockError
    ) -> None:
        """Refuse a request that could not be parsed or read in time."""
        log.info(
            "request could not be read", code=error.kind, detail=error.detail
        )
        self.metrics.count_outcome("", None, None, refused(error), 0.0)
        connection.keep_alive = False
        answer_error(connection, error, "")


def answer_error(
    connection: ServerConnection, error: LacewingdockError, call_id: str
) -> None:
    """Answer with a problem document and a Retry-After where there is one.

    Raises:
        CallerDisconnected: The connection broke.
    """
    headers = [(b"Content-Type", MEDIA_TYPE.encode())]
    headers += refusal_headers(call_id)
    if error.retry_after_s is not None:
        after = f"{error.retry_after_s:.3f}".encode()
        headers.append((b"Retry-After", after))
    body = problem_body(error, call_id)
    connection.answer(error.answer.status, headers, body)
