"""Support for choosing which of a route's models answers a request."""

from typing import Final, Protocol

from lacewingdock.components.admission.fleet_budget import FleetBudget
from lacewingdock.components.gateway.attempt import Broken, Result, Unsure
from lacewingdock.components.gateway.confidence_threshold import (
    CONFIDENCE_ENOUGH,
    MIN_GOAL_S,
    RELAXED_BELOW,
    Pressure,
)
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.call import Call, ResponseHead
from lacewingdock.world.route import Repeat, Route

# Attempts of a request where the largest model is asked after a smaller one.
ATTEMPTS_OF_CASCADE: Final = 2
# Retries that the retry budget must hold before a smaller model is asked first:
# asking the larger model takes one, and some must remain for failures.
CASCADE_RESERVE: Final = 2.0

log = get_logger("gateway")


class CascadeContext(Protocol):
    """The state shared by all requests that the choice of a model needs."""

    chooser: Chooser

    def budget(self, service: str) -> FleetBudget:
        """Return the retry budget of a service."""

    def pressure(self, service: str) -> Pressure:
        """Return the load on a service, seen in its answers."""


class Cascade:
    """The model cascade of one request: a small model, then the largest.

    Attributes:
        gateway: The state that all requests share.
        call: The request.
        route: The request's route.
        service: The service that the request is routed to.
        started: Monotonic time at which the request was received.
        model: The model that answers; empty where the router does not choose.
        required_confidence: Confidence last required of a smaller model.
    """

    __slots__ = (
        "call",
        "gateway",
        "model",
        "required_confidence",
        "route",
        "service",
        "started",
    )

    def __init__(
        self,
        gateway: CascadeContext,
        call: Call,
        route: Route,
        service: str,
        started: float,
        *,
        may_escalate: bool = True,
    ) -> None:
        """Choose the first model of a request.

        Args:
            gateway: The state that all requests share.
            call: The request.
            route: The request's route.
            service: The service that the request is routed to.
            started: Monotonic time at which the request was received.
            may_escalate: Whether a larger model may be asked after a smaller
                one.
        """
        self.gateway = gateway
        self.call = call
        self.route = route
        self.service = service
        self.started = started
        self.required_confidence = CONFIDENCE_ENOUGH
        self.model = (
            self._first_model(may_escalate=may_escalate)
            if call.any_model and route.models
            else ""
        )

    @property
    def is_largest(self) -> bool:
        """Return whether no larger model can be asked."""
        return not self.model or self.model == self.route.models[-1]

    def accepts(self, head: ResponseHead, attempts: int) -> bool:
        """Return whether an answer is accepted, by the confidence in its head.

        A rejected answer takes one retry from the retry budget; without a
        retry left, any answer is accepted.

        Args:
            head: The answer's head.
            attempts: Number of attempts that reached an instance, including
                this one.
        """
        if self.is_largest or attempts >= self.route.max_attempts:
            return True
        self.required_confidence = self.gateway.pressure(
            self.service
        ).required_confidence(self.route.gap_s)
        if (
            head.confidence is None
            or head.confidence >= self.required_confidence
        ):
            return True
        return not self.gateway.budget(self.service).take()

    def ask_larger(self, upstream: str, result: Unsure, left_s: float) -> None:
        """Choose the largest model after an unsure answer of a smaller one."""
        before, self.model = self.model, self.route.models[-1]
        log.info(
            "largest model is asked after an unsure answer",
            request=self.call.id,
            upstream=upstream,
            model=before,
            confidence=result.confidence,
            enough=round(self.required_confidence, 1),
            left_s=round(left_s, 3),
        )

    def on_instance_chosen(
        self, instance: UpstreamInstance, *, resumes_stream: bool
    ) -> None:
        """Choose the largest model where the instance has a rate limit.

        A rate limit counts attempts and not their cost: an answer that is
        discarded as unsure would use up a turn at this instance, and the next
        attempt another turn elsewhere.

        Args:
            instance: The instance of the next attempt.
            resumes_stream: Whether the attempt resumes a stream, which must
                keep its model.
        """
        now = self.gateway.chooser.directory.clock.now()
        if self.model and not resumes_stream and instance.is_limited(now):
            self.model = self.route.models[-1]

    def record_lateness(self, result: Result, began_at: float) -> None:
        """Record the lateness of an attempt's answer.

        The largest model's lateness always counts. A smaller model is far
        faster and would hide the largest model's lateness, so its answers count
        only where they are late themselves. Without a first event only a
        timeout counts.

        Args:
            result: The attempt's result.
            began_at: Monotonic time of the first event; 0 where none came.
        """
        if not self.model:
            return
        if not began_at:
            if not (isinstance(result, Broken) and result.timed_out):
                return
            began_at = self.gateway.chooser.directory.clock.now()
        part = (began_at - self.started) / max(self.route.goal_s, MIN_GOAL_S)
        if self.is_largest or part >= RELAXED_BELOW:
            self.gateway.pressure(self.service).add(part)

    def _first_model(self, *, may_escalate: bool) -> str:
        """Return the smallest model if the largest can be asked afterwards.

        A cascade needs two attempts, and one more in case of a failure. Where
        all instances are paced, each attempt takes one of few turns, so the
        largest model is asked at once.
        """
        models = self.route.models
        may_escalate = (
            may_escalate
            and self.route.repeat is Repeat.RESUMABLE
            and self.route.max_attempts > ATTEMPTS_OF_CASCADE
            and self.gateway.budget(self.service).saved >= CASCADE_RESERVE
            and not self.gateway.chooser.is_paced(self.service)
        )
        return models[0] if may_escalate else models[-1]
