"""A fleet of routers before instances that say what they want, in virtual time.

Each router's own choice of an instance, its turns and its memory of what
instances said are the product's; ways, instances and callers are simulated.
"""

import math
from dataclasses import dataclass, field

from lacewingdock.components.gateway.placement import (
    NoInstance,
    PlacementRequest,
    find_instance,
)
from lacewingdock.components.pacing import Pacer
from lacewingdock.components.shifts import VersionRule
from lacewingdock.components.upstreams.choice import Chooser, Turn
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.world.call import ResponseHead
from lacewingdock.world.host import Bounds
from tests.components.upstreams.entries import entry
from tests.timeline import Timeline

# Longest time to open a connection, and longest ways of a request and of its
# answer's head: with a packet lost on each.
CONNECT_S = 0.4
WAY_S = 0.2
BACK_S = 0.25
# How long an instance runs a request at most.
RUN_S = 1.5
# What a rest is counted from after the answer that asked for it, and how many
# requests may come in it.
GRACE_S = 0.5
ALLOWED = 2
# How long a request may reach an instance that said that it leaves.
DRAIN_S = 2.0


@dataclass(slots=True)
class Instance:
    """A start of an instance.

    Attributes:
        name: Its id.
        host: Its address.
        leaves_at: Time from which it says that it leaves.
        sheds: When it turns requests away, and for how long it wants none, as
            (from, until, seconds).
    """

    name: str
    host: str
    leaves_at: float = math.inf
    sheds: list[tuple[float, float, float]] = field(default_factory=list)

    def head(self, now):
        """Return the head of its answer to a request."""
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
        at: When.
        placed_at: When its router chose the instance.
        sent_at: When its caller sent it.
        router: The router.
        start: That router's start.
        instance: The instance's id.
    """

    at: float
    placed_at: float
    sent_at: float
    router: str
    start: int
    instance: str


@dataclass(slots=True)
class Word:
    """An answer by which an instance said something.

    Attributes:
        at: When it left the instance.
        heard_at: When its router had it.
        router: The router.
        start: That router's start.
        instance: The instance's id.
        rest_s: The rest that it asked for; None where it asked for none.
        leaving: Whether it said that it leaves.
    """

    at: float
    heard_at: float
    router: str
    start: int
    instance: str
    rest_s: float | None
    leaving: bool


class Router:
    """One start of a router."""

    def __init__(self, fleet, name, start):
        self.fleet = fleet
        self.name = name
        self.start = start
        self.alive = True
        self.frozen_until = 0.0
        self.directory = Directory(fleet)
        for one in fleet.instances.values():
            self.take(one)
        self.chooser = Chooser(self.directory, "a", fleet.draw)
        self.chooser.pacer = Pacer(
            name,
            lambda: [one for one in fleet.routers if one != name],
            lambda: True,
            lambda _: None,
            Bounds,
            fleet.now(),
        )

    def take(self, one):
        """Take an instance's entry."""
        self.directory.take(entry(one.name, host=one.host))

    def later(self, seconds, call, *args):
        """Call something later, once the router is awake, if it lives."""

        def due():
            if not self.alive:
                return
            left_s = self.frozen_until - self.fleet.now()
            if left_s > 0:
                # Whatever came meanwhile is handled in any order.
                self.later(left_s + self.fleet.way(0.05), call, *args)
            else:
                call(*args)

        self.fleet.after(seconds, due)

    def offer(self, sent_at, again=False):
        """Place a request, as `place` does."""
        patience_s = self.fleet.patience_s
        placement_request = PlacementRequest(
            "svc", VersionRule(), 1.0, (), "c", sent_at + patience_s
        )
        found = find_instance(self.chooser, placement_request)
        if isinstance(found, NoInstance):
            self.fleet.refused.append((self.fleet.now(), found.after_s))
        elif isinstance(found, Turn):
            wait_s = max(found.at - self.fleet.now(), 0.0)
            self.later(wait_s, self.turn, found.instance, sent_at)
        else:
            self.send(found, sent_at)

    def turn(self, instance, sent_at):
        """A request's turn at an instance has come."""
        if instance.takes_any(self.fleet.now()):
            self.send(instance, sent_at)
        else:
            self.chooser.done(instance)
            self.offer(sent_at)

    def send(self, instance, sent_at):
        """Open a connection, or use one, and send a request."""
        placed_at = self.fleet.now()
        connect_s = self.fleet.draw.choice([0.0, self.fleet.way(CONNECT_S)])
        self.later(connect_s, self.write, instance, sent_at, placed_at)

    def write(self, instance, sent_at, placed_at):
        """Write a request, unless the instance wants none any more."""
        if not instance.takes_any(self.fleet.now()):
            self.chooser.done(instance)
            self.offer(sent_at)
            return
        self.fleet.after(
            self.fleet.way(WAY_S),
            self.fleet.arrives,
            self,
            instance,
            sent_at,
            placed_at,
        )

    def answered(self, instance, head, placed_at, left_at):
        """The head of an answer is here."""
        self.directory.signals.answered(
            instance.entry, instance.signals, head, placed_at
        )
        self.chooser.done(instance)
        if head.rest_s is not None or head.leaving:
            self.fleet.words.append(
                Word(
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
    """Routers and instances.

    Attributes:
        instances: The instances by id.
        routers: The routers by name.
        arrivals: Requests that reached instances.
        words: Answers that said something, as routers had them.
        refused: Requests that found no place: when, and after how many seconds
            they were told to come back.
        woken: When routers woke, or started again, by name.
    """

    def __init__(self, count, instances, seed=1, every_s=0.05, patience_s=0.5):
        """Start the routers.

        Args:
            count: How many.
            instances: The instances.
            seed: Seed of all draws.
            every_s: Seconds between two requests of a router.
            patience_s: Seconds for which a request waits for a turn.
        """
        super().__init__(seed)
        self.instances = {one.name: one for one in instances}
        self.every_s = every_s
        self.patience_s = patience_s
        self.arrivals = []
        self.words = []
        self.refused = []
        self.woken = {}
        self.routers = {f"r-{number}": None for number in range(count)}
        for name in self.routers:
            self.routers[name] = Router(self, name, 0)
            self.after(self.draw.uniform(0.0, every_s), self._offer, name)

    def run(self, until):
        """Let time pass."""
        for _ in self.steps(until):
            pass

    def arrives(self, router, instance, sent_at, placed_at):
        """A request reaches an instance, which answers it."""
        name = instance.entry.id
        self.arrivals.append(
            Arrival(
                self.time, placed_at, sent_at, router.name, router.start, name
            )
        )
        head = self.instances[name].head(self.time)
        run_s = 0.0 if head.not_run else self.way(RUN_S)
        left_at = self.time + run_s
        router.later(
            run_s + self.way(BACK_S),
            router.answered,
            instance,
            head,
            placed_at,
            left_at,
        )

    def restart(self, name):
        """Start a router again: it knows nothing of before."""
        before = self.routers[name]
        before.alive = False
        self.routers[name] = Router(self, name, before.start + 1)
        self.woken.setdefault(name, []).append(self.time)

    def freeze(self, name, for_s):
        """Let a router stand still."""
        self.routers[name].frozen_until = self.time + for_s
        self.woken.setdefault(name, []).append(self.time + for_s)

    def worst_rest(self):
        """Return the most requests that came in a rest that was asked for."""
        return max(
            (
                self._came(word, word.at + GRACE_S, word.at + word.rest_s)
                for word in self.words
                if word.rest_s is not None and not self._excused(word)
            ),
            default=0,
        )

    def latest_after_leaving(self):
        """Return how long after an instance's word a request still reached it.

        Returns:
            Seconds from the time at which the router had the word to when the
            caller sent the request; below 0 where none did.
        """
        first = {}
        for word in self.words:
            if word.leaving:
                key = word.router, word.start, word.instance
                first[key] = min(first.get(key, math.inf), word.heard_at)
        return max(
            (
                one.sent_at - first[one.router, one.start, one.instance]
                for one in self.arrivals
                if (one.router, one.start, one.instance) in first
            ),
            default=-math.inf,
        )

    def came(self, instance, since, until):
        """Return how many requests reached an instance in a span."""
        return sum(
            one.instance == instance and since <= one.at < until
            for one in self.arrivals
        )

    def _came(self, word, since, until):
        return sum(
            one.instance == word.instance
            and one.router == word.router
            and since < one.at <= until
            for one in self.arrivals
        )

    def _excused(self, word):
        """Whether a router slept or started again since it was told."""
        return any(at >= word.at for at in self.woken.get(word.router, ()))

    def _offer(self, name):
        router = self.routers[name]
        router.later(0.0, router.offer, self.time)
        self.after(self.every_s, self._offer, name)
