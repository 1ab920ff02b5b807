"""Discrete-event simulation of a deployment's day."""

import itertools
import math
import random
from collections import Counter
from collections.abc import Generator
from typing import Any, Final

import simpy

from lacewingdock.components.gossip import Message
from lacewingdock.components.gossip.limits import apply_limits, limit_rows
from lacewingdock.components.gossip.load import NO_WORK, Work
from lacewingdock.components.probes import Load
from lacewingdock.lab.deployment import (
    Deployment,
    Fault,
    FaultKind,
    Spread,
    Traffic,
)
from lacewingdock.lab.engine import Engine
from lacewingdock.lab.policy import InstanceChoice, Policy
from lacewingdock.lab.results import Day, Outcome, Row
from lacewingdock.lab.router import SERVICE, SimulatedRouter
from lacewingdock.lab.world import Answer, CallerRequest
from lacewingdock.world.backend import UpstreamEntry

# Seconds between exchanges of load reports among routers; the mean age of a
# report in a fleet.
GOSSIP_INTERVAL_S: Final = 0.1
# Seconds between updates of a router's part of the fleet's retry budget.
TICK_S: Final = 1.0
# Longest wait of a refused caller, as a share of the time until its timeout.
RETRY_WAIT_SHARE: Final = 1 / 3
# Seconds, beyond a router's start time, after which a caller tries another
# router, and the interval at which it checks whether the router answers.
CONNECT_TIMEOUT_S: Final = 1.0
CONNECT_POLL_S: Final = 0.05
# Share of the credit that an answer earns if the request was too hard for its
# model.
TOO_HARD_CREDIT_SHARE: Final = 0.05
# Seconds that the simulation runs on after the last request, so that the
# longest answers end.
DRAIN_S: Final = 30.0

Steps = Generator[simpy.Event, Any, None]


class Simulation:
    """Simulation of a deployment's day under one routing policy.

    Attributes:
        env: The simulation environment.
        deployment: The simulated deployment.
        policy: The routing policy.
        seed: Seed of all random generators.
        engines: The engine at each address; None while it has no power.
        entries: The registry entries that routers see, by engine id.
        routers: The routers by name; a router without power is not alive.
        rows: Requests that ended.
        turned_away: Attempts that reached another engine at an address.
        limited_most: Peak number of requests that reached a limited engine
            within 4 s.
        unwanted: Requests that reached engines that were leaving or asked for
            rest.
        cold_most: Peak number of requests that reached a cold engine within a
            second.
    """

    def __init__(
        self, deployment: Deployment, policy: Policy, seed: int
    ) -> None:
        """Build a simulation of a deployment; `run` runs it."""
        self.env = simpy.Environment()
        self.deployment = deployment
        self.policy = policy
        self.seed = seed
        self.engines: dict[str, Engine | None] = {}
        self.entries: dict[str, UpstreamEntry] = {}
        self.routers: dict[str, SimulatedRouter] = {}
        self.rows: list[Row] = []
        self.turned_away = 0
        self.cold_most = 0
        self.limited_most = 0
        self.unwanted = 0
        self._rng = random.Random(seed)
        self._domains: dict[str, str] = {}
        self._in_flight: Counter[str] = Counter()
        self._ids = itertools.count()
        self._cordoned: set[str] = set()
        self._rate_factor = 1.0
        self._reported_running: dict[str, Counter[int]] = {}

    def run(self) -> Day:
        """Run the simulation and return its results."""
        for domain in self.deployment.domains:
            for number in range(self.deployment.engines.per_domain):
                host = f"{domain}-e{number}"
                self._domains[host] = domain
                self._start_engine(host, cold=False, listed_after_s=0.0)
            for number in range(self.deployment.routers):
                self._start_router(f"{domain}-r{number}", domain)
        self.env.process(self._gossip_load())
        self.env.process(self._tick())
        for traffic in self.deployment.traffic:
            self.env.process(self._generate_requests(traffic))
        for fault in self.deployment.faults:
            self.env.process(self._inject_fault(fault))
        self.env.run(self.deployment.seconds + DRAIN_S)
        self._record_cold_peaks(self.engines.values())
        return Day(
            self.policy.name,
            self.seed,
            self.rows,
            self.cold_most,
            self.turned_away,
            self.limited_most,
        )

    def engine_at(self, host: str) -> Engine | None:
        """Return the engine that runs at an address, if any."""
        return self.engines.get(host)

    def load_at(self, host: str) -> Load | None:
        """Return a sidecar's load report; None if it does not answer."""
        engine = self.engines.get(host)
        if engine is None:
            return None
        running = len(engine.running) + len(engine.waiting)
        return Load(0, running + self._in_flight[host], engine.unread)

    def add_in_flight(self, host: str, count: int) -> None:
        """Add to the number of requests in flight to an address."""
        self._in_flight[host] = max(self._in_flight[host] + count, 0)

    def delay_s(self, domain: str, other: str) -> float:
        """Return the one-way delay between two failure domains, in seconds."""
        links = self.deployment.links
        delay_ms = links.within_ms if domain == other else links.between_ms
        return delay_ms / 1000

    def _start_engine(
        self, host: str, *, cold: bool, listed_after_s: float
    ) -> None:
        spec, now = self.deployment.engines, self.env.now
        name = f"{host}.{next(self._ids)}"
        cold_until = now + spec.cold_s if cold else 0.0
        self.engines[host] = Engine(self.env, spec, name, cold_until)
        self.env.process(
            self._add_entry(host, name, cold_until, listed_after_s)
        )

    def _add_entry(
        self, host: str, name: str, cold_until: float, after_s: float
    ) -> Steps:
        """Add an engine's registry entry at all routers after a delay."""
        yield self.env.timeout(after_s)
        engine = self.engines[host]
        if engine is None or engine.name != name:
            return
        left_s = max(cold_until - self.env.now, 0.0)
        entry = UpstreamEntry(
            id=name,
            service=SERVICE,
            host=host,
            port=1,
            failure_domain=self._domains[host],
            version="v1",
            slots=self.deployment.engines.slots,
            cold_left_s=left_s,
            created=next(self._ids),
        )
        self.entries[name] = entry
        for router in self.routers.values():
            router.directory.apply(entry)

    def _lose_engine(self, host: str) -> None:
        engine = self.engines[host]
        if engine is None:
            return
        self._record_cold_peaks([engine])
        engine.lose_power()
        self.engines[host] = None
        self.env.process(self._expire_entry(engine.name))

    def _expire_entry(self, name: str) -> Steps:
        """Remove the entry of a lost engine at all routers once it expires."""
        yield self.env.timeout(self.deployment.links.entry_stays_s)
        if self.entries.pop(name, None) is None:
            return
        for router in self.routers.values():
            router.directory.remove(name, doubtful=False)

    def _start_router(self, name: str, domain: str) -> None:
        router = SimulatedRouter(
            self, name, domain, lambda: list(self.routers), self.seed
        )
        for entry in self.entries.values():
            router.directory.apply(entry)
        router.directory.cordon(frozenset(self._cordoned))
        router.chooser.others = lambda mark: self._others(name, mark)
        self.routers[name] = router

    def _others(self, name: str, mark: int) -> Work:
        """Return the work of other routers at an engine, as last reported."""
        if self.policy.choice is InstanceChoice.RANDOM:
            return NO_WORK
        running = sum(
            running_by_mark[mark]
            for other, running_by_mark in self._reported_running.items()
            if other != name
        )
        return Work(running)

    def _gossip_load(self) -> Steps:
        while True:
            self._reported_running = {
                name: Counter(
                    {
                        one.mark: one.running
                        for one in router.directory.instances.values()
                        if one.running
                    }
                )
                for name, router in self.routers.items()
                if router.alive
            }
            self._gossip_limits()
            yield self.env.timeout(GOSSIP_INTERVAL_S)

    def _gossip_limits(self) -> None:
        for name, router in self.routers.items():
            limits = limit_rows(router.directory)
            if not limits:
                continue
            message = Message(name, 0, 0, limits=limits)
            for other in self.routers.values():
                if other is not router:
                    apply_limits(other.directory, message)

    def _tick(self) -> Steps:
        bounds = self.deployment.bounds
        while True:
            yield self.env.timeout(TICK_S)
            for router in self.routers.values():
                router.tick(bounds)

    def _generate_requests(self, traffic: Traffic) -> Steps:
        """Generate the requests of a route as a Poisson process."""
        rng = random.Random(f"{self.seed}/{traffic.name}")
        while True:
            yield self.env.timeout(
                rng.expovariate(traffic.per_s * self._rate_factor)
            )
            if self.env.now >= self.deployment.seconds:
                return
            request = CallerRequest(
                call=f"c-{next(self._ids)}",
                traffic=traffic,
                subject=f"{traffic.name}-{rng.randrange(traffic.subjects)}",
                tokens_in=_tokens(rng, traffic.tokens_in),
                tokens_out=_tokens(rng, traffic.tokens_out),
                hardness=rng.random(),
                end=self.env.now + traffic.timeout_s,
            )
            self.env.process(self._send_request(request, rng.random()))

    def _send_request(
        self, request: CallerRequest, router_draw: float
    ) -> Steps:
        """Send a request; retry if it is refused or its router fails."""
        began, price = self.env.now, 0.0
        names = sorted(self.routers)
        answer = Answer()
        for number in range(request.traffic.retries + 1):
            # Callers are spread unevenly over the routers, and retry at another
            # router.
            index = (
                int(router_draw * router_draw * len(names)) + 7 * number
            ) % len(names)
            router = yield from self._connect(names[index])
            if router is None:
                continue
            answer = yield self.env.process(router.serve(request))
            price += answer.price
            if answer.complete or (answer.after_s is None and router.alive):
                break
            left_s = request.end - self.env.now
            wait_s = min(answer.after_s or 0.0, left_s * RETRY_WAIT_SHARE)
            yield self.env.timeout(max(wait_s, 0.0))
        self._record_outcome(request, began, answer, price)

    def _connect(
        self, name: str
    ) -> Generator[simpy.Event, Any, SimulatedRouter | None]:
        """Return a router once it answers; None if it times out."""
        # The port is open long before the router answers, so a caller waits
        # for the router's start as well.
        deadline = self.env.now + CONNECT_TIMEOUT_S + self.deployment.start_s
        yield self.env.timeout(self.deployment.links.callers_ms / 1000)
        while not self.routers[name].alive:
            if self.env.now >= deadline:
                return None
            yield self.env.timeout(CONNECT_POLL_S)
        return self.routers[name]

    def _record_outcome(
        self,
        request: CallerRequest,
        began: float,
        answer: Answer,
        price: float,
    ) -> None:
        traffic = request.traffic
        first_s = (
            answer.first_event_at - began if answer.first_event_at else math.inf
        )
        credit, outcome = 0.0, Outcome.FAILED
        if answer.complete:
            is_late = (
                first_s > traffic.goal_s or answer.longest_gap_s > traffic.gap_s
            )
            outcome = Outcome.LATE if is_late else Outcome.ON_TIME
            credit = traffic.late_worth if is_late else traffic.worth
            credit *= TOO_HARD_CREDIT_SHARE if answer.too_hard else 1.0
        elif answer.after_s is not None:
            outcome = Outcome.REFUSED
        self.rows.append(
            Row(
                traffic.name,
                began,
                outcome,
                traffic.worth,
                credit,
                first_s,
                price,
            )
        )

    def _inject_fault(self, fault: Fault) -> Steps:
        """Inject a fault at its time, and end it after its duration."""
        yield self.env.timeout(fault.at_s)
        match fault.kind:
            case FaultKind.BURST:
                self._rate_factor *= fault.factor
                yield self.env.timeout(fault.for_s)
                self._rate_factor /= fault.factor
            case FaultKind.ENGINES_LOST:
                yield from self._lose_engines(
                    self._sample_hosts(fault), fault.for_s
                )
            case FaultKind.ROUTERS_LOST:
                yield from self._lose_routers(fault.for_s)
            case FaultKind.ALL_LOST:
                self.env.process(
                    self._lose_engines(list(self.engines), fault.for_s)
                )
                yield from self._lose_routers(fault.for_s)
            case FaultKind.CORDON:
                yield from self._cordon_domain(fault)
            case FaultKind.ENGINES_LIMITED:
                yield from self._limit_engines(fault)
            case FaultKind.ENGINES_RESTING:
                yield from self._rest_engines(fault)
            case FaultKind.ENGINES_LEAVING:
                yield from self._announce_leaving(fault)

    def _sample_hosts(self, fault: Fault) -> list[str]:
        hosts = sorted(self.engines)
        count = round(fault.share * len(hosts))
        return self._rng.sample(hosts, count)

    def _lose_engines(self, hosts: list[str], for_s: float) -> Steps:
        for host in hosts:
            self._lose_engine(host)
        yield self.env.timeout(for_s)
        late_s = self.deployment.links.entry_late_s
        for host in hosts:
            self._start_engine(host, cold=True, listed_after_s=late_s)

    def _limit_engines(self, fault: Fault) -> Steps:
        affected = [self.engines[host] for host in self._sample_hosts(fault)]
        for engine in affected:
            if engine is not None:
                engine.limit_per_s = fault.per_s
                engine.limited_from = self.env.now
        yield self.env.timeout(fault.for_s)
        for engine in affected:
            if engine is not None:
                engine.limit_per_s = None
                self.limited_most = max(self.limited_most, engine.limited.peak)

    def _rest_engines(self, fault: Fault) -> Steps:
        affected = [self.engines[host] for host in self._sample_hosts(fault)]
        for engine in affected:
            if engine is not None:
                engine.rest_s = fault.rest_s
        yield self.env.timeout(fault.for_s)
        for engine in affected:
            if engine is not None:
                engine.rest_s = None
                self.unwanted += engine.unwanted

    def _announce_leaving(self, fault: Fault) -> Steps:
        hosts = self._sample_hosts(fault)
        for host in hosts:
            if (engine := self.engines[host]) is not None:
                engine.leaving = True
        yield self.env.timeout(fault.for_s)
        for host in hosts:
            if (engine := self.engines[host]) is not None:
                self.unwanted += engine.unwanted
        yield from self._lose_engines(hosts, fault.for_s)

    def _lose_routers(self, for_s: float) -> Steps:
        for router in self.routers.values():
            router.lose_power()
        yield self.env.timeout(for_s + self.deployment.start_s)
        for name, router in list(self.routers.items()):
            self._start_router(name, router.domain)

    def _cordon_domain(self, fault: Fault) -> Steps:
        domain = fault.domain or self.deployment.domains[0]
        self._cordoned.add(domain)
        self._set_cordons()
        yield self.env.timeout(fault.for_s)
        for host, engine in self.engines.items():
            if engine is not None and self._domains[host] == domain:
                engine.cold_until = self.env.now + engine.spec.cold_s
        self._cordoned.discard(domain)
        self._set_cordons()

    def _set_cordons(self) -> None:
        for router in self.routers.values():
            router.directory.cordon(frozenset(self._cordoned))

    def _record_cold_peaks(self, engines: Any) -> None:
        for engine in engines:
            if engine is not None:
                self.cold_most = max(self.cold_most, engine.cold.peak)


def _tokens(rng: random.Random, spread: Spread) -> int:
    """Return a random number of tokens, at least one."""
    mu = math.log(spread.mean) - spread.sigma**2 / 2
    return max(round(rng.lognormvariate(mu, spread.sigma)), 1)


def simulate_day(deployment: Deployment, policy: Policy, seed: int) -> Day:
    """Simulate a day of a deployment and return its results."""
    return Simulation(deployment, policy, seed).run()
