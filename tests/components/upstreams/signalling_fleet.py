"""A fleet of routers and instances that send signals, in virtual time.

Choice of an instance, pacing and memory of signals are the real code; network,
instances and callers are simulated.
"""

import math
from dataclasses import dataclass, field

from lacewingdock.components.gateway.placement import (
    NoInstance,
    PlacementRequest,
    find_instance,
)
from lacewingdock.components.pacing import Pacer
from lacewingdock.components.traffic_shifting import VersionRule
from lacewingdock.components.upstreams.choice import Chooser, Reservation
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.world.call import ResponseHead
from lacewingdock.world.host import Bounds
from tests.components.upstreams.entries import entry
from tests.timeline import Timeline

# Longest times in seconds to open a connection, for a request to reach the
# instance, and for the head of the answer to return: a packet is lost on each.
CONNECT_S = 0.4
WAY_S = 0.2
BACK_S = 0.25
# Longest time in seconds for which an instance runs a request.
RUN_S = 1.5
# Seconds after an answer from which its rest has to be obeyed, and how many
# requests may still arrive during the rest.
GRACE_S = 0.5
ALLOWED = 2
# Seconds for which requests may still reach an instance that is leaving.
DRAIN_S = 2.0


@dataclass(slots=True)
class SimulatedInstance:
    """One start of a simulated instance.

    Attributes:
        name: The id.
        host: The address.
        leaves_at: Time from which answers announce that it is leaving.
        sheds: Spans in which it turns requests away, and the rest that it asks
            for, as (from, until, seconds).
    """

    name: str
    host: str
    leaves_at: float = math.inf
    sheds: list[tuple[float, float, float]] = field(default_factory=list)

    def head(self, now):
        """Return the head of an answer to a request at a time."""
        leaving = now >= self.leaves_at
        for since, until, rest_s in self.sheds:
            if since <= now < until:
                return ResponseHead(
                    503, [], not_run=True, rest_s=rest_s, leaving=leaving
                )
        return ResponseHead(200, [], sealed=True, leaving=leaving)


@dataclass(slots=True)
class Arrival:
    """A request that reached an instance.

    Attributes:
        at: Time of arrival.
        placed_at: Time at which the router chose the instance.
        sent_at: Time at which the caller sent the request.
        router: Name of the router.
        start: Number of that router's start.
        instance: Id of the instance.
    """

    at: float
    placed_at: float
    sent_at: float
    router: str
    start: int
    instance: str


@dataclass(slots=True)
class SignalAnswer:
    """An answer that carries a signal.

    Attributes:
        at: Time at which it left the instance.
        received_at: Time at which the router received it.
        router: Name of the router.
        start: Number of that router's start.
        instance: Id of the instance.
        rest_s: Rest asked for, in seconds; None without one.
        leaving: Whether it announces that the instance is leaving.
    """

    at: float
    received_at: float
    router: str
    start: int
    instance: str
    rest_s: float | None
    leaving: bool


class Router:
    """One start of a simulated router."""

    def __init__(self, fleet, name, start):
        self.fleet = fleet
        self.name = name
        self.start = start
        self.alive = True
        self.frozen_until = 0.0
        self.directory = Directory(fleet)
        for one in fleet.instances.values():
            self.apply(one)
        self.chooser = Chooser(self.directory, "a", fleet.rng)
        self.chooser.pacer = Pacer(
            name,
            lambda: [one for one in fleet.routers if one != name],
            lambda: True,
            lambda _: None,
            Bounds,
            fleet.now(),
        )

    def apply(self, one):
        """Apply an instance's entry."""
        self.directory.apply(entry(one.name, host=one.host))

    def later(self, seconds, call, *args):
        """Schedule a call; a freeze postpones it, a restart drops it."""

        def due():
            if not self.alive:
                return
            left_s = self.frozen_until - self.fleet.now()
            if left_s > 0:
                # Calls that came due while frozen run in random order.
                self.later(left_s + self.fleet.random_delay(0.05), call, *args)
            else:
                call(*args)

        self.fleet.after(seconds, due)

    def offer(self, sent_at, again=False):
        """Place a request, as the gateway's `place` does."""
        patience_s = self.fleet.patience_s
        placement_request = PlacementRequest(
            "svc", VersionRule(), 1.0, (), "c", sent_at + patience_s
        )
        found = find_instance(self.chooser, placement_request)
        if isinstance(found, NoInstance):
            self.fleet.refused.append((self.fleet.now(), found.after_s))
        elif isinstance(found, Reservation):
            wait_s = max(found.at - self.fleet.now(), 0.0)
            self.later(wait_s, self.turn, found.instance, sent_at)
        else:
            self.send(found, sent_at)

    def turn(self, instance, sent_at):
        """Send a request whose reserved time has come."""
        if instance.accepts_requests(self.fleet.now()):
            self.send(instance, sent_at)
        else:
            self.chooser.done(instance)
            self.offer(sent_at)

    def send(self, instance, sent_at):
        """Send a request over an idle or a new connection."""
        placed_at = self.fleet.now()
        connect_s = self.fleet.rng.choice(
            [0.0, self.fleet.random_delay(CONNECT_S)]
        )
        self.later(connect_s, self.write, instance, sent_at, placed_at)

    def write(self, instance, sent_at, placed_at):
        """Write a request, unless the instance has stopped accepting them."""
        if not instance.accepts_requests(self.fleet.now()):
            self.chooser.done(instance)
            self.offer(sent_at)
            return
        self.fleet.after(
            self.fleet.random_delay(WAY_S),
            self.fleet.arrives,
            self,
            instance,
            sent_at,
            placed_at,
        )

    def answered(self, instance, head, placed_at, left_at):
        """Handle the head of an answer."""
        self.directory.signals.answered(
            instance.entry, instance.signals, head, placed_at
        )
        self.chooser.done(instance)
        if head.rest_s is not None or head.leaving:
            self.fleet.signal_answers.append(
                SignalAnswer(
                    left_at,
                    self.fleet.now(),
                    self.name,
                    self.start,
                    instance.entry.id,
                    head.rest_s,
                    head.leaving,
                )
            )


class Fleet(Timeline):
    """Simulated routers and instances.

    Attributes:
        instances: The instances by id.
        routers: The routers by name.
        arrivals: Requests that reached instances.
        signal_answers: Answers with signals, as routers received them.
        refused: Time and seconds of Retry-After of each refused request.
        woken: Times at which routers resumed or restarted, by name.
    """

    def __init__(self, count, instances, seed=1, every_s=0.05, patience_s=0.5):
        """Start the routers.

        Args:
            count: Number of routers.
            instances: The instances.
            seed: Seed of all draws.
            every_s: Seconds between two requests to a router.
            patience_s: Seconds for which a request waits for a turn.
        """
        super().__init__(seed)
        self.instances = {one.name: one for one in instances}
        self.every_s = every_s
        self.patience_s = patience_s
        self.arrivals = []
        self.signal_answers = []
        self.refused = []
        self.woken = {}
        self.routers = {f"r-{number}": None for number in range(count)}
        for name in self.routers:
            self.routers[name] = Router(self, name, 0)
            self.after(self.rng.uniform(0.0, every_s), self._offer, name)

    def run(self, until):
        """Run the simulation until a time."""
        for _ in self.steps(until):
            pass

    def arrives(self, router, instance, sent_at, placed_at):
        """Record a request at an instance and schedule the answer."""
        name = instance.entry.id
        self.arrivals.append(
            Arrival(
                self.time, placed_at, sent_at, router.name, router.start, name
            )
        )
        head = self.instances[name].head(self.time)
        run_s = 0.0 if head.not_run else self.random_delay(RUN_S)
        left_at = self.time + run_s
        router.later(
            run_s + self.random_delay(BACK_S),
            router.answered,
            instance,
            head,
            placed_at,
            left_at,
        )

    def restart(self, name):
        """Restart a router, which loses its state."""
        before = self.routers[name]
        before.alive = False
        self.routers[name] = Router(self, name, before.start + 1)
        self.woken.setdefault(name, []).append(self.time)

    def freeze(self, name, for_s):
        """Freeze a router for some seconds."""
        self.routers[name].frozen_until = self.time + for_s
        self.woken.setdefault(name, []).append(self.time + for_s)

    def max_requests_in_rest(self):
        """Return the most requests of one router in a rest asked of it."""
        return max(
            (
                self._count_router_arrivals(
                    answer, answer.at + GRACE_S, answer.at + answer.rest_s
                )
                for answer in self.signal_answers
                if answer.rest_s is not None and not self._excused(answer)
            ),
            default=0,
        )

    def latest_after_leaving(self):
        """Return how late a request was still sent to a leaving instance.

        Returns:
            Most seconds from when the router received the announcement to
            when the caller sent a request that reached the instance; below 0
            where no request was sent after it.
        """
        first = {}
        for answer in self.signal_answers:
            if answer.leaving:
                key = answer.router, answer.start, answer.instance
                first[key] = min(first.get(key, math.inf), answer.received_at)
        return max(
            (
                one.sent_at - first[one.router, one.start, one.instance]
                for one in self.arrivals
                if (one.router, one.start, one.instance) in first
            ),
            default=-math.inf,
        )

    def count_arrivals(self, instance, since, until):
        """Return how many requests reached an instance in a span of time."""
        return sum(
            one.instance == instance and since <= one.at < until
            for one in self.arrivals
        )

    def _count_router_arrivals(self, answer, since, until):
        return sum(
            one.instance == answer.instance
            and one.router == answer.router
            and since < one.at <= until
            for one in self.arrivals
        )

    def _excused(self, answer):
        """Whether the router froze or restarted since the answer."""
        return any(at >= answer.at for at in self.woken.get(answer.router, ()))

    def _offer(self, name):
        router = self.routers[name]
        router.later(0.0, router.offer, self.time)
        self.after(self.every_s, self._offer, name)
