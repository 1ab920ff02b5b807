"""Simulated router: the product's routing decisions on a simulated network."""

import random
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any, Final, cast

import simpy

from lacewingdock.components.admission.fleet_budget import (
    FleetBudget,
    RetryTerms,
)
from lacewingdock.components.gateway.attempt import Broken, Result, Unsure
from lacewingdock.components.gateway.cascade import Cascade
from lacewingdock.components.gateway.confidence_threshold import Pressure
from lacewingdock.components.gateway.exchange import (
    LAST_PRIORITY,
    MAX_UNREACHED,
    MIN_LEFT_S,
    WORK_UNIT,
)
from lacewingdock.components.gateway.placement import (
    NoInstance,
    PlacementRequest,
    find_instance,
)
from lacewingdock.components.gateway.refusal import (
    RETRY_AFTER_S,
    SPREAD_AFTER,
)
from lacewingdock.components.pacing import Pacer
from lacewingdock.components.pacing.const import MAX_WAIT_SHARE
from lacewingdock.components.probes.prober import Prober
from lacewingdock.components.traffic_shifting import VersionRule
from lacewingdock.components.upstreams.choice import Chooser, Reservation
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.components.upstreams.pool import CONNECT_S
from lacewingdock.lab.deployment import (
    Bounds,
    Deployment,
    Model,
    Traffic,
)
from lacewingdock.lab.engine import Engine, EngineRun
from lacewingdock.lab.policy import FirstModel, InstanceChoice
from lacewingdock.lab.world import (
    Answer,
    CallerRequest,
    SimulatedClock,
    SimulatedProber,
    World,
)
from lacewingdock.world import host
from lacewingdock.world.call import Call, ResponseHead
from lacewingdock.world.route import Repeat, Route, ServiceLimits, Target

SERVICE: Final = "engines"
# Mean confidence, in percent, of an answer to the hardest request that its
# model can handle, the rise of that mean for each unit by which the model's
# quality exceeds the hardness, and the standard deviation of the confidence.
CONFIDENCE_AT_LIMIT: Final = 50.0
CONFIDENCE_SLOPE: Final = 150.0
CONFIDENCE_SCATTER: Final = 11.0
# Price of a prompt token as a share of the price of a generated token.
PROMPT_PRICE_SHARE: Final = 0.25

Serving = Generator[simpy.Event, Any, "Answer"]


class AttemptEnd(Enum):
    """How an attempt ended.

    Attributes:
        COMPLETE: With a complete answer.
        UNSURE: With an answer that was discarded for its low confidence.
        UNREACHED: Without a connection to an engine.
        REPLACED: At another start of an engine at the same address.
        LOST: Without a complete answer.
    """

    COMPLETE = auto()
    UNSURE = auto()
    UNREACHED = auto()
    REPLACED = auto()
    LOST = auto()


@dataclass(slots=True)
class _Progress:
    """Progress of a request over all its attempts.

    Attributes:
        tried: Incarnations of the engines that the request reached.
        unreached: Attempts that reached no engine.
        sent: Whether an engine may have run the request.
        generated: Tokens that were passed on to the caller.
        answer: The answer to the caller.
    """

    tried: list[str] = field(default_factory=list)
    unreached: int = 0
    sent: bool = False
    generated: int = 0
    answer: Answer = field(default_factory=Answer)


class SimulatedRouter:
    """One start of a router.

    Attributes:
        world: Environment of the router.
        name: Name of the router.
        domain: Failure domain of the router.
        rng: Random generator.
        directory: The engines listed at this router.
        chooser: Chooses an engine for a request.
        budgets: The router's retry budget.
        limits: Limits and model costs of the simulated service.
        lateness: Lateness of the answers' first events.
        alive: Whether the router has power.
        died: Succeeds when the router loses power.
    """

    __slots__ = (
        "alive",
        "budgets",
        "chooser",
        "died",
        "directory",
        "domain",
        "lateness",
        "limits",
        "name",
        "rng",
        "world",
    )

    def __init__(
        self,
        world: World,
        name: str,
        domain: str,
        names: Callable[[], list[str]],
        seed: int,
    ) -> None:
        """Start a router without listed engines."""
        clock = SimulatedClock(world.env)
        self.world = world
        self.name = name
        self.domain = domain
        self.rng = random.Random(f"{seed}/{name}/{world.env.now}")
        engines, bounds = world.deployment.engines, world.deployment.bounds
        self.limits = ServiceLimits(
            SERVICE,
            model_costs={one.name: one.pace for one in engines.models},
            cold_start_s=engines.cold_s,
            cold_per_s=engines.cold_per_s,
        )
        self.directory = Directory(clock)
        self.directory.cold_start_s = lambda _: engines.cold_s
        self.chooser = Chooser(self.directory, domain, self.rng)
        if (
            world.deployment.sidecars
            and world.policy.choice is InstanceChoice.PROBED
        ):
            # The chooser uses only those methods that `SimulatedProber` has.
            self.chooser.prober = cast(Prober, SimulatedProber(world))
        if world.policy.slow_start:
            self.chooser.pacer = Pacer(
                name,
                names,
                lambda: True,
                lambda _: self.limits,
                lambda: host.Bounds(
                    cold_overage=bounds.cold_overage,
                    cold_extra=bounds.cold_extra,
                ),
                world.env.now,
            )
        self.budgets = FleetBudget(self._terms(bounds))
        self.lateness = Pressure(clock)
        self.alive = True
        self.died = world.env.event()

    def tick(self, bounds: Bounds) -> None:
        """Recompute this router's part of the fleet's retry budget."""
        self.budgets.tick(self._terms(bounds))

    def _terms(self, bounds: Bounds) -> RetryTerms:
        deployment = self.world.deployment
        routers = deployment.routers * len(deployment.domains)
        extra = bounds.retry_extra / routers
        return RetryTerms(bounds.retry_ratio, extra, bounds.retry_window_s)

    def budget(self, service: str) -> FleetBudget:
        """Return the retry budget of the only service."""
        del service
        return self.budgets

    def pressure(self, service: str) -> Pressure:
        """Return the lateness of answers of the only service."""
        del service
        return self.lateness

    def lose_power(self) -> None:
        """Stop the router at once; its callers' connections break."""
        self.alive = False
        self.died.succeed()

    def serve(self, request: CallerRequest) -> Serving:
        """Serve a request, with retries, and return the final answer."""
        call = Call(request.call, b"POST", b"/", "h", "/", any_model=True)
        route = _route(request.traffic, self.world.deployment)
        self.budgets.count_request()
        cascade = Cascade(self, call, route, SERVICE, self.world.env.now)
        self._set_first_model(cascade)
        progress = _Progress()
        while True:
            instance = yield from self._await_instance(
                request, cascade, progress
            )
            if instance is None:
                return progress.answer
            end = yield from self._attempt(request, cascade, progress, instance)
            if not self._should_retry(request, progress, end):
                if not progress.sent:
                    progress.answer.after_s = RETRY_AFTER_S
                return progress.answer

    def _set_first_model(self, cascade: Cascade) -> None:
        models = self.world.deployment.engines.models
        match self.world.policy.first:
            case FirstModel.SMALLEST:
                cascade.model = models[0].name
            case FirstModel.LARGEST:
                cascade.model = models[-1].name
            case FirstModel.CASCADE:
                pass

    def _await_instance(
        self, request: CallerRequest, cascade: Cascade, progress: _Progress
    ) -> Generator[simpy.Event, Any, UpstreamInstance | None]:
        """Return the engine for the next attempt; None if none is available."""
        env, traffic = self.world.env, request.traffic
        unread = self._unread(request, cascade)
        wait_share = MAX_WAIT_SHARE * (
            1.0 - traffic.priority / (LAST_PRIORITY + 1)
        )
        deadline = request.end - MIN_LEFT_S
        if not progress.sent:
            deadline = min(deadline, env.now + traffic.goal_s * wait_share)
        placement_request = PlacementRequest(
            SERVICE,
            VersionRule(),
            unread,
            progress.tried,
            request.call,
            deadline,
        )
        while True:
            choice = self._choose_instance(placement_request)
            if isinstance(choice, NoInstance):
                if not progress.sent:
                    after_s = max(choice.after_s or 0.0, RETRY_AFTER_S)
                    spread = self.rng.uniform(1.0, SPREAD_AFTER)
                    progress.answer.after_s = after_s * spread
                return None
            if isinstance(choice, UpstreamInstance):
                return choice
            yield env.timeout(max(choice.at - env.now, 0.0))
            if choice.instance.accepts_requests(env.now):
                return choice.instance
            self.chooser.began(choice.instance, unread)
            self.chooser.done(choice.instance)

    def _choose_instance(
        self, placement_request: PlacementRequest
    ) -> UpstreamInstance | Reservation | NoInstance:
        if self.world.policy.choice is not InstanceChoice.RANDOM:
            return find_instance(self.chooser, placement_request)
        candidates = [
            one for one in self.directory.of_service(SERVICE) if one.open
        ]
        if not candidates:
            return NoInstance(None)
        chosen = self.rng.choice(candidates)
        chosen.running += 1
        chosen.unread += placement_request.unread
        return chosen

    def _unread(self, request: CallerRequest, cascade: Cascade) -> float:
        tokens = request.tokens_in + request.traffic.shared_tokens
        return tokens * self.limits.relative_cost(cascade.model) / WORK_UNIT

    def _attempt(
        self,
        request: CallerRequest,
        cascade: Cascade,
        progress: _Progress,
        instance: UpstreamInstance,
    ) -> Generator[simpy.Event, Any, AttemptEnd]:
        """Make one attempt, and record its result for the engine."""
        unread = self._unread(request, cascade)
        if self.world.policy.first is FirstModel.CASCADE:
            resumes_stream = bool(progress.answer.first_event_at)
            cascade.on_instance_chosen(instance, resumes_stream=resumes_stream)
        domain = instance.entry.failure_domain
        try:
            yield self.world.env.timeout(
                self.world.delay_s(self.domain, domain)
            )
            self.world.add_in_flight(instance.entry.host, -1)
            engine = self.world.engine_at(instance.entry.host)
            if engine is None:
                yield self.world.env.timeout(CONNECT_S)
                progress.unreached += 1
                instance.record_connect_failure()
                self.directory.assume_cold(instance)
                return AttemptEnd.UNREACHED
            if engine.name != instance.entry.id:
                return self._record_replacement(instance, engine, progress)
            end = yield from self._run(
                request, cascade, progress, instance, engine
            )
            return end
        finally:
            self.chooser.began(instance, unread)
            self.chooser.done(instance)

    def _record_replacement(
        self, instance: UpstreamInstance, engine: Engine, progress: _Progress
    ) -> AttemptEnd:
        """Record that another engine answered at the address."""
        self.world.turned_away += 1
        if self.world.policy.replaced:
            self.chooser.replaced(instance, engine.name)
            return AttemptEnd.REPLACED
        instance.failed(0.5)
        progress.tried.append(instance.entry.incarnation)
        return AttemptEnd.LOST

    def _run(
        self,
        request: CallerRequest,
        cascade: Cascade,
        progress: _Progress,
        instance: UpstreamInstance,
        engine: Engine,
    ) -> Generator[simpy.Event, Any, AttemptEnd]:
        """Run a request on an engine until its answer ends."""
        env = self.world.env
        model = _model(self.world.deployment, cascade.model)
        run = EngineRun(
            call=request.call,
            model=model,
            subject=request.subject,
            shared_tokens=request.traffic.shared_tokens,
            own_tokens=request.tokens_in + progress.generated,
            remaining=max(request.tokens_out - progress.generated, 1),
            priority=request.traffic.priority,
            began=env.event(),
            ended=env.event(),
        )
        progress.tried.append(instance.entry.incarnation)
        sent_at = env.now
        if not engine.submit(run):
            head = ResponseHead(503, [], not_run=True, rest_s=engine.rest_s)
            self._apply_signals(instance, engine, head, sent_at)
            instance.failed(0.5)
            return AttemptEnd.LOST
        progress.sent = True
        tokens = run.remaining + PROMPT_PRICE_SHARE * run.own_tokens
        progress.answer.price += tokens / 1000 * model.cost
        left_s = max(request.end - env.now, 0.0)
        yield run.began | env.timeout(left_s) | self.died
        if not (run.began.triggered and run.began.value) or not self.alive:
            engine.cancel(run)
            self._record_failure(
                cascade, instance, timed_out=not run.began.triggered
            )
            return AttemptEnd.LOST
        head = ResponseHead(
            200,
            [],
            sealed=True,
            confidence=self._confidence(request, model),
        )
        self._apply_signals(instance, engine, head, sent_at)
        is_first = not progress.answer.first_event_at
        accepted = not is_first or self._accepts_answer(cascade, head, progress)
        cascade.record_lateness(
            Unsure(head.confidence or 0.0), env.now if is_first else 0.0
        )
        if not accepted:
            engine.cancel(run)
            cascade.ask_larger(
                instance.entry.id, Unsure(head.confidence or 0.0), left_s
            )
            return AttemptEnd.UNSURE
        if is_first:
            progress.answer.first_event_at = env.now
        progress.answer.too_hard |= request.hardness > model.quality
        end = yield from self._stream_rest(
            request, progress, instance, engine, run
        )
        return end

    def _apply_signals(
        self,
        instance: UpstreamInstance,
        engine: Engine,
        head: ResponseHead,
        sent_at: float,
    ) -> None:
        """Apply the limit, rest and leaving notice in an engine's answer."""
        head.limit_per_s = engine.limit_per_s
        head.leaving = engine.leaving
        if self.world.policy.signals:
            self.directory.signals.answered(
                instance.entry, instance.signals, head, sent_at
            )

    def _stream_rest(
        self,
        request: CallerRequest,
        progress: _Progress,
        instance: UpstreamInstance,
        engine: Engine,
        run: EngineRun,
    ) -> Generator[simpy.Event, Any, AttemptEnd]:
        """Pass the rest of an answer's stream on to the caller."""
        env, began = self.world.env, self.world.env.now
        left_s = max(request.end - env.now, 0.0)
        yield run.ended | env.timeout(left_s) | self.died
        answer = progress.answer
        answer.longest_gap_s = max(answer.longest_gap_s, run.longest_gap_s)
        progress.generated += run.generated
        events = max(run.generated // engine.spec.event_tokens, 1)
        mean_s = (env.now - began) / events
        self.lateness.slowdown.paused(mean_s)
        if run.ended.triggered and run.ended.value and self.alive:
            answer.complete = True
            self.lateness.slowdown.ended(mean_s)
            instance.succeeded()
            return AttemptEnd.COMPLETE
        engine.cancel(run)
        instance.failed(1.0)
        return AttemptEnd.LOST

    def _accepts_answer(
        self, cascade: Cascade, head: ResponseHead, progress: _Progress
    ) -> bool:
        if self.world.policy.first is not FirstModel.CASCADE:
            return True
        return cascade.accepts(head, len(progress.tried))

    def _record_failure(
        self, cascade: Cascade, instance: UpstreamInstance, *, timed_out: bool
    ) -> None:
        result: Result = Broken("lost", timed_out=timed_out)
        cascade.record_lateness(result, 0.0)
        instance.failed(1.0)

    def _should_retry(
        self, request: CallerRequest, progress: _Progress, end: AttemptEnd
    ) -> bool:
        """Return whether another attempt is made."""
        left_s = request.end - self.world.env.now
        if end is AttemptEnd.COMPLETE or not self.alive or left_s < MIN_LEFT_S:
            return False
        match end:
            case AttemptEnd.UNSURE:
                # The cascade took this retry from the budget when it discarded
                # the answer.
                return True
            case AttemptEnd.UNREACHED:
                return progress.unreached < MAX_UNREACHED
            case AttemptEnd.REPLACED:
                return self.budgets.take()
        if len(progress.tried) >= request.traffic.attempts:
            return False
        return self.budgets.take()

    def _confidence(self, request: CallerRequest, model: Model) -> float:
        easier = model.quality - request.hardness
        mean = CONFIDENCE_AT_LIMIT + CONFIDENCE_SLOPE * easier
        confidence = self.rng.gauss(mean, CONFIDENCE_SCATTER)
        return min(max(confidence, 0.0), 100.0)


def _route(traffic: Traffic, deployment: Deployment) -> Route:
    return Route(
        name=traffic.name,
        host="h",
        prefix="/",
        targets=(Target(SERVICE),),
        repeat=Repeat.RESUMABLE,
        streaming=True,
        timeout_s=traffic.timeout_s,
        goal_s=traffic.goal_s,
        gap_s=traffic.gap_s,
        priority=traffic.priority,
        models=tuple(one.name for one in deployment.engines.models),
        max_attempts=traffic.attempts,
    )


def _model(deployment: Deployment, name: str) -> Model:
    return next(one for one in deployment.engines.models if one.name == name)
