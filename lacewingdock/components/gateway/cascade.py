"""Support for which of a route's models answers a request."""

from typing import Final, Protocol

from lacewingdock.components.admission.fleet_budget import FleetBudget
from lacewingdock.components.gateway.attempt import Broken, Result, Unsure
from lacewingdock.components.gateway.sizing import (
    CONFIDENCE_ENOUGH,
    MIN_GOAL_S,
    RELAXED_BELOW,
    Pressure,
)
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.call import AnswerHead, Call
from lacewingdock.world.route import Repeat, Route

# Attempts that a request takes where a larger model is asked after a smaller.
ATTEMPTS_OF_CASCADE: Final = 2
# Retries that must be saved up before a smaller model is asked first: the
# larger one's attempt takes one, and failures shall find some.
CASCADE_RESERVE: Final = 2.0

log = get_logger("gateway")


class Shared(Protocol):
    """What all requests of a router share, as far as models hang on it."""

    chooser: Chooser

    def budget(self, service: str) -> FleetBudget:
        """Return the retry budget of a service."""

    def pressure(self, service: str) -> Pressure:
        """Return how late a service's answers begin."""


class Cascade:
    """The models of one request: a small one first, the largest where needed.

    Attributes:
        gateway: What all requests share.
        call: The request.
        route: Its route.
        service: The service it goes to.
        started: Monotonic time at which it came.
        model: The model that answers; empty where the router does not choose.
        enough: Confidence that was last asked of a smaller model.
    """

    __slots__ = (
        "call",
        "enough",
        "gateway",
        "model",
        "route",
        "service",
        "started",
    )

    def __init__(
        self,
        gateway: Shared,
        call: Call,
        route: Route,
        service: str,
        started: float,
    ) -> None:
        """Choose the first model."""
        self.gateway = gateway
        self.call = call
        self.route = route
        self.service = service
        self.started = started
        self.enough = CONFIDENCE_ENOUGH
        self.model = self._first() if call.any_model and route.models else ""

    @property
    def is_largest(self) -> bool:
        """Whether no larger model can be asked."""
        return not self.model or self.model == self.route.models[-1]

    def accepts(self, head: AnswerHead, attempts: int) -> bool:
        """Whether an answer's first words show that it is good enough.

        Args:
            head: The answer's head.
            attempts: Attempts that reached an instance, this one too.
        """
        if self.is_largest or attempts >= self.route.max_attempts:
            return True
        self.enough = self.gateway.pressure(self.service).enough(
            self.route.gap_s
        )
        if head.confidence is None or head.confidence >= self.enough:
            return True
        return not self.gateway.budget(self.service).take()

    def ask_larger(self, upstream: str, result: Unsure, left_s: float) -> None:
        """Have the largest model answer instead of an unsure smaller one."""
        before, self.model = self.model, self.route.models[-1]
        log.info(
            "larger model",
            request=self.call.id,
            upstream=upstream,
            model=before,
            confidence=result.confidence,
            enough=round(self.enough, 1),
            left_s=round(left_s, 3),
        )

    def placed(self, instance: UpstreamInstance, *, goes_on: bool) -> None:
        """Have the largest model answer at an instance that names a limit.

        There each attempt counts alike, and its time does not: an answer that
        is dropped as unsure would take one of few turns, and another one
        elsewhere.

        Args:
            instance: Where the next attempt goes.
            goes_on: Whether it goes on with a stream, which must keep its own
                model.
        """
        now = self.gateway.chooser.directory.clock.now()
        if self.model and not goes_on and instance.is_limited(now):
            self.model = self.route.models[-1]

    def feel(self, result: Result, began_at: float) -> None:
        """Take how late an answer began, or did not.

        The largest model's always counts; a smaller one's only where it is
        late itself, since it is far faster and would hide the other.

        Args:
            result: What came of an attempt.
            began_at: Monotonic time of its first event; 0 where none came.
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

    def _first(self) -> str:
        """Return the smallest model where a larger one may be asked after.

        That takes two attempts, and one more that may fail. Where all
        instances take few each attempt takes a turn, and turns are few.
        """
        models = self.route.models
        may_ask_on = (
            self.route.repeat is Repeat.RESUMABLE
            and self.route.max_attempts > ATTEMPTS_OF_CASCADE
            and self.gateway.budget(self.service).saved >= CASCADE_RESERVE
            and not self.gateway.chooser.is_paced(self.service)
        )
        return models[0] if may_ask_on else models[-1]
