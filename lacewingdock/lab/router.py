"""A router of the laboratory: the product's decisions, a model's network."""

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
from lacewingdock.components.pacing.const import WAIT_PART
from lacewingdock.components.probes.prober import Prober
from lacewingdock.components.shifts import VersionRule
from lacewingdock.components.upstreams.choice import Chooser, Turn
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import Instance
from lacewingdock.components.upstreams.pool import CONNECT_S
from lacewingdock.lab.deployment import (
    Bounds,
    Deployment,
    Model,
    Traffic,
)
from lacewingdock.lab.engine import Engine, Run
from lacewingdock.lab.policy import Choice, FirstModel
from lacewingdock.lab.world import (
    Answer,
    AskedLoads,
    Request,
    SimulatedClock,
    World,
)
from lacewingdock.world import host
from lacewingdock.world.call import Call, ResponseHead
from lacewingdock.world.route import Repeat, Route, ServiceLimits, Target

SERVICE: Final = "engines"
# Confidence of an answer whose request is just not too hard for its model, what
# each part of the requests that are easier adds to it, and its scatter.
CONFIDENCE_AT_LIMIT: Final = 50.0
CONFIDENCE_SLOPE: Final = 150.0
CONFIDENCE_SCATTER: Final = 11.0
# Tokens that are read cost this part of those that are made.
READ_PRICE_PART: Final = 0.25

Serving = Generator[simpy.Event, Any, "Answer"]


class End(Enum):
    """How an attempt ended.

    Attributes:
        WHOLE: With a whole answer.
        UNSURE: With an answer that was turned down.
        UNREACHED: It reached no engine.
        REPLACED: It met another engine at the address.
        LOST: Without an answer.
    """

    WHOLE = auto()
    UNSURE = auto()
    UNREACHED = auto()
    REPLACED = auto()
    LOST = auto()


@dataclass(slots=True)
class _Progress:
    """How far a request got.

    Attributes:
        tried: Starts of engines that it reached.
        unreached: Attempts that reached none.
        sent: Whether an attempt may have run.
        made: Tokens that were passed on.
        answer: What its caller gets.
    """

    tried: list[str] = field(default_factory=list)
    unreached: int = 0
    sent: bool = False
    made: int = 0
    answer: Answer = field(default_factory=Answer)


class SimulatedRouter:
    """One start of a router.

    Attributes:
        world: What it reaches.
        name: Its name.
        domain: Its failure domain.
        draw: Source of draws.
        directory: The engines that it knows.
        chooser: Chooses among them.
        budgets: Its retry budget.
        lateness: How late answers begin.
        alive: Whether it runs.
        died: Succeeds when it loses power.
    """

    __slots__ = (
        "alive",
        "budgets",
        "chooser",
        "died",
        "directory",
        "domain",
        "draw",
        "lateness",
        "limits",
        "name",
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
        """Start it, knowing nothing."""
        clock = SimulatedClock(world.env)
        self.world = world
        self.name = name
        self.domain = domain
        self.draw = random.Random(f"{seed}/{name}/{world.env.now}")
        engines, bounds = world.deployment.engines, world.deployment.bounds
        self.limits = ServiceLimits(
            SERVICE,
            model_costs={one.name: one.pace for one in engines.models},
            cold_start_s=engines.cold_s,
            cold_per_s=engines.cold_per_s,
        )
        self.directory = Directory(clock)
        self.directory.cold_start_s = lambda _: engines.cold_s
        self.chooser = Chooser(self.directory, domain, self.draw)
        if world.deployment.sidecars and world.policy.choice is Choice.ASKED:
            # What the chooser asks of it is what `AskedLoads` has.
            self.chooser.prober = cast(Prober, AskedLoads(world))
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
        """Take this router's part of the fleet's retries anew."""
        self.budgets.tick(self._terms(bounds))

    def _terms(self, bounds: Bounds) -> RetryTerms:
        deployment = self.world.deployment
        routers = deployment.routers * len(deployment.domains)
        extra = bounds.retry_extra / routers
        return RetryTerms(bounds.retry_ratio, extra, bounds.retry_window_s)

    def budget(self, service: str) -> FleetBudget:
        """Return the retry budget; there is one service."""
        del service
        return self.budgets

    def pressure(self, service: str) -> Pressure:
        """Return how late answers begin; there is one service."""
        del service
        return self.lateness

    def lose_power(self) -> None:
        """End it; callers see their connections break."""
        self.alive = False
        self.died.succeed()

    def serve(self, request: Request) -> Serving:
        """Serve a request to its final answer."""
        call = Call(request.call, b"POST", b"/", "h", "/", any_model=True)
        route = _route(request.traffic, self.world.deployment)
        self.budgets.count_request()
        cascade = Cascade(self, call, route, SERVICE, self.world.env.now)
        self._first_model(cascade)
        progress = _Progress()
        while True:
            instance = yield from self._placed(request, cascade, progress)
            if instance is None:
                return progress.answer
            end = yield from self._attempt(request, cascade, progress, instance)
            if not self._goes_on(request, progress, end):
                if not progress.sent:
                    progress.answer.after_s = RETRY_AFTER_S
                return progress.answer

    def _first_model(self, cascade: Cascade) -> None:
        models = self.world.deployment.engines.models
        match self.world.policy.first:
            case FirstModel.SMALLEST:
                cascade.model = models[0].name
            case FirstModel.LARGEST:
                cascade.model = models[-1].name
            case FirstModel.CASCADE:
                pass

    def _placed(
        self, request: Request, cascade: Cascade, progress: _Progress
    ) -> Generator[simpy.Event, Any, Instance | None]:
        """Return the engine of the next attempt; None where there is none."""
        env, traffic = self.world.env, request.traffic
        unread = self._unread(request, cascade)
        part = WAIT_PART * (1.0 - traffic.priority / (LAST_PRIORITY + 1))
        by = request.end - MIN_LEFT_S
        if not progress.sent:
            by = min(by, env.now + traffic.goal_s * part)
        placement_request = PlacementRequest(
            SERVICE, VersionRule(), unread, progress.tried, request.call, by
        )
        while True:
            found = self._found(placement_request)
            if isinstance(found, NoInstance):
                if not progress.sent:
                    after_s = max(found.after_s or 0.0, RETRY_AFTER_S)
                    spread = self.draw.uniform(1.0, SPREAD_AFTER)
                    progress.answer.after_s = after_s * spread
                return None
            if isinstance(found, Instance):
                return found
            yield env.timeout(max(found.at - env.now, 0.0))
            if found.instance.takes_any(env.now):
                return found.instance
            self.chooser.began(found.instance, unread)
            self.chooser.done(found.instance)

    def _found(
        self, placement_request: PlacementRequest
    ) -> Instance | Turn | NoInstance:
        if self.world.policy.choice is not Choice.RANDOM:
            return find_instance(self.chooser, placement_request)
        found = [one for one in self.directory.of_service(SERVICE) if one.open]
        if not found:
            return NoInstance(None)
        chosen = self.draw.choice(found)
        chosen.running += 1
        chosen.unread += placement_request.unread
        return chosen

    def _unread(self, request: Request, cascade: Cascade) -> float:
        tokens = request.tokens_in + request.traffic.shared_tokens
        return tokens * self.limits.relative_cost(cascade.model) / WORK_UNIT

    def _attempt(
        self,
        request: Request,
        cascade: Cascade,
        progress: _Progress,
        instance: Instance,
    ) -> Generator[simpy.Event, Any, End]:
        """Make one attempt, and take what it shows."""
        unread = self._unread(request, cascade)
        if self.world.policy.first is FirstModel.CASCADE:
            resumes_stream = bool(progress.answer.first_at)
            cascade.on_instance_chosen(instance, resumes_stream=resumes_stream)
        domain = instance.entry.failure_domain
        try:
            yield self.world.env.timeout(self.world.way_s(self.domain, domain))
            self.world.promised(instance.entry.host, -1)
            engine = self.world.engine_at(instance.entry.host)
            if engine is None:
                yield self.world.env.timeout(CONNECT_S)
                progress.unreached += 1
                instance.took_no_connection()
                self.directory.may_be_cold(instance)
                return End.UNREACHED
            if engine.name != instance.entry.id:
                return self._turned_away(instance, engine, progress)
            end = yield from self._run(
                request, cascade, progress, instance, engine
            )
            return end
        finally:
            self.chooser.began(instance, unread)
            self.chooser.done(instance)

    def _turned_away(
        self, instance: Instance, engine: Engine, progress: _Progress
    ) -> End:
        """Take that another engine lives at the address."""
        self.world.turned_away += 1
        if self.world.policy.replaced:
            self.chooser.replaced(instance, engine.name)
            return End.REPLACED
        instance.failed(0.5)
        progress.tried.append(instance.entry.incarnation)
        return End.LOST

    def _run(
        self,
        request: Request,
        cascade: Cascade,
        progress: _Progress,
        instance: Instance,
        engine: Engine,
    ) -> Generator[simpy.Event, Any, End]:
        """Have an engine run a request."""
        env = self.world.env
        model = _model(self.world.deployment, cascade.model)
        run = Run(
            call=request.call,
            model=model,
            subject=request.subject,
            shared_tokens=request.traffic.shared_tokens,
            own_tokens=request.tokens_in + progress.made,
            left=max(request.tokens_out - progress.made, 1),
            priority=request.traffic.priority,
            began=env.event(),
            ended=env.event(),
        )
        progress.tried.append(instance.entry.incarnation)
        sent_at = env.now
        if not engine.submit(run):
            head = ResponseHead(503, [], not_run=True, rest_s=engine.rest_s)
            self._answered(instance, engine, head, sent_at)
            instance.failed(0.5)
            return End.LOST
        progress.sent = True
        tokens = run.left + READ_PRICE_PART * run.own_tokens
        progress.answer.price += tokens / 1000 * model.cost
        left_s = max(request.end - env.now, 0.0)
        yield run.began | env.timeout(left_s) | self.died
        if not (run.began.triggered and run.began.value) or not self.alive:
            engine.cancel(run)
            self._broken(cascade, instance, timed_out=not run.began.triggered)
            return End.LOST
        head = ResponseHead(
            200,
            [],
            sealed=True,
            confidence=self._confidence(request, model),
        )
        self._answered(instance, engine, head, sent_at)
        is_first = not progress.answer.first_at
        accepted = not is_first or self._accepts(cascade, head, progress)
        cascade.record_lateness(
            Unsure(head.confidence or 0.0), env.now if is_first else 0.0
        )
        if not accepted:
            engine.cancel(run)
            cascade.ask_larger(
                instance.entry.id, Unsure(head.confidence or 0.0), left_s
            )
            return End.UNSURE
        if is_first:
            progress.answer.first_at = env.now
        progress.answer.too_hard |= request.hardness > model.quality
        end = yield from self._rest(request, progress, instance, engine, run)
        return end

    def _answered(
        self,
        instance: Instance,
        engine: Engine,
        head: ResponseHead,
        sent_at: float,
    ) -> None:
        """Take what an engine says of itself in an answer."""
        head.limit_per_s = engine.limit_per_s
        head.leaving = engine.leaving
        if self.world.policy.signals:
            self.directory.signals.answered(
                instance.entry, instance.signals, head, sent_at
            )

    def _rest(
        self,
        request: Request,
        progress: _Progress,
        instance: Instance,
        engine: Engine,
        run: Run,
    ) -> Generator[simpy.Event, Any, End]:
        """Pass the rest of a stream on."""
        env, began = self.world.env, self.world.env.now
        left_s = max(request.end - env.now, 0.0)
        yield run.ended | env.timeout(left_s) | self.died
        answer = progress.answer
        answer.longest_gap_s = max(answer.longest_gap_s, run.longest_gap_s)
        progress.made += run.made
        events = max(run.made // engine.spec.event_tokens, 1)
        mean_s = (env.now - began) / events
        self.lateness.slowdown.paused(mean_s)
        if run.ended.triggered and run.ended.value and self.alive:
            answer.whole = True
            self.lateness.slowdown.ended(mean_s)
            instance.succeeded()
            return End.WHOLE
        engine.cancel(run)
        instance.failed(1.0)
        return End.LOST

    def _accepts(
        self, cascade: Cascade, head: ResponseHead, progress: _Progress
    ) -> bool:
        if self.world.policy.first is not FirstModel.CASCADE:
            return True
        return cascade.accepts(head, len(progress.tried))

    def _broken(
        self, cascade: Cascade, instance: Instance, *, timed_out: bool
    ) -> None:
        result: Result = Broken("lost", timed_out=timed_out)
        cascade.record_lateness(result, 0.0)
        instance.failed(1.0)

    def _goes_on(self, request: Request, progress: _Progress, end: End) -> bool:
        """Whether another attempt is made."""
        left_s = request.end - self.world.env.now
        if end is End.WHOLE or not self.alive or left_s < MIN_LEFT_S:
            return False
        match end:
            case End.UNSURE:
                # It took its retry as the answer was turned down.
                return True
            case End.UNREACHED:
                return progress.unreached < MAX_UNREACHED
            case End.REPLACED:
                return self.budgets.take()
        if len(progress.tried) >= request.traffic.attempts:
            return False
        return self.budgets.take()

    def _confidence(self, request: Request, model: Model) -> float:
        easier = model.quality - request.hardness
        mean = CONFIDENCE_AT_LIMIT + CONFIDENCE_SLOPE * easier
        found = self.draw.gauss(mean, CONFIDENCE_SCATTER)
        return min(max(found, 0.0), 100.0)


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
