"""Support for what all requests of a router share."""

import random
import time

from lacewingdock.components.admission.fleet_budget import (
    FleetBudget,
    RetryTerms,
)
from lacewingdock.components.gateway.metrics import GatewayMetrics
from lacewingdock.components.gateway.outcome import refused
from lacewingdock.components.gateway.sizing import Pressure
from lacewingdock.components.routes import Routes
from lacewingdock.components.shifts import Shifts
from lacewingdock.components.suspects import Suspects
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.components.upstreams.pool import ConnectionPool
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.problem import MEDIA_TYPE, problem_body
from lacewingdock.helpers.server_connection import ServerConnection
from lacewingdock.helpers.unknown_names import UnknownNames
from lacewingdock.platform.wire import refusal_headers
from lacewingdock.world.call import AnswerHead, Call

log = get_logger("gateway")


class Gateway:
    """What all requests share.

    Attributes:
        routes: The routing table.
        chooser: Chooses upstream instances.
        pool: Connections to them.
        shifts: Roll-outs under way.
        suspects: Requests that were lost at instances.
        metrics: Counters and histograms.
        budgets: Retry budgets by service.
        pressures: How late each service's answers begin.
        retry_terms: What this router may make of the fleet's retries.
        random: Source of draws.
        unknown_headers: What upstreams say that no page explains.
        odd_values: Headers of theirs whose values can't be read.
        essentials: Set once what a request needs is known: the routing table,
            the instances, the roll-outs.
    """

    __slots__ = (
        "budgets",
        "chooser",
        "essentials",
        "metrics",
        "odd_values",
        "pool",
        "pressures",
        "random",
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
        suspects: Suspects,
        metrics: GatewayMetrics,
        retry_terms: RetryTerms,
        source: random.Random,
    ) -> None:
        """Take the parts."""
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
        self.essentials = [routes.loaded]

    def wait_known(self, timeout_s: float) -> None:
        """Wait until what a request needs is known, as at a start."""
        until = time.monotonic() + timeout_s
        for known in self.essentials:
            known.wait(max(until - time.monotonic(), 0.0))

    def budget(self, service: str) -> FleetBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            # Two tasks at once agree on one.
            budget = FleetBudget(self.retry_terms)
            return self.budgets.setdefault(service, budget)
        return self.budgets[service]

    def share_retries(self, terms: RetryTerms) -> None:
        """Take this router's part of the fleet's retries; once a second."""
        self.retry_terms = terms
        for budget in list(self.budgets.values()):
            budget.tick(terms)

    def pressure(self, service: str) -> Pressure:
        """Return how late a service's answers begin."""
        return self.pressures.setdefault(service, Pressure())

    def answered(
        self, instance: UpstreamInstance, head: AnswerHead, sent_at: float
    ) -> None:
        """Take what the head of an answer says of its instance.

        Args:
            instance: The instance that was asked.
            head: The head.
            sent_at: Monotonic time at which the request was sent.
        """
        entry = instance.entry
        if not head.is_by_other(entry.id):
            instance.answered(sent_at)
        memory = self.chooser.directory.signals
        if memory.answered(entry, instance.signals, head, sent_at):
            self.chooser.changed.set()
        if head.unknown:
            self.unknown_headers.met(entry.id, head.unknown)
        if head.odd:
            self.odd_values.met(entry.id, head.odd)

    def refuse(
        self, connection: ServerConnection, call: Call, error: LacewingdockError
    ) -> None:
        """Refuse a request before anything is done about it."""
        log.info("request refused", request=call.id, code=error.kind)
        self.metrics.finished("", None, None, refused(error), 0.0)
        answer_error(connection, error, call.id)

    def refuse_unread(
        self, connection: ServerConnection, error: LacewingdockError
    ) -> None:
        """Refuse a request that could not be read."""
        log.info("request unread", code=error.kind, detail=error.detail)
        self.metrics.finished("", None, None, refused(error), 0.0)
        connection.keep = False
        answer_error(connection, error, "")


def answer_error(
    connection: ServerConnection, error: LacewingdockError, call_id: str
) -> None:
    """Answer with a problem document and when to come back.

    Raises:
        CallerGone: The connection broke.
    """
    headers = [(b"Content-Type", MEDIA_TYPE.encode())]
    headers += refusal_headers(call_id)
    if error.retry_after_s is not None:
        after = f"{error.retry_after_s:.3f}".encode()
        headers.append((b"Retry-After", after))
    body = problem_body(error, call_id)
    connection.answer(error.answer.status, headers, body)
