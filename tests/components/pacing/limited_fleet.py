"""A fleet of routers before an instance that names limits, in virtual time."""

import math
from collections import deque

from lacewingdock.components.gossip import Message, decode, encode
from lacewingdock.components.gossip.limits import hear_limits, limits_of
from lacewingdock.components.pacing import Pacer
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.world.call import ResponseHead
from lacewingdock.world.host import Bounds
from tests.components.upstreams.entries import entry
from tests.timeline import Timeline

# What the instance bears in any span of `WINDOW_S`, of routers that it told at
# least `TOLD_S` before, from `CONTACT_S` after it first named the limit.
WINDOW_S = 4.0
OVERAGE = 1.5
EXTRA = 5.0
TOLD_S = 0.5
CONTACT_S = 3.0
# Longest ways of a request to the instance, and of its answer's head back.
WAY_S = 0.4
BACK_S = 0.3

# How often a router tells others, and how many of them each time: fewer than
# in a fleet, so that most news comes late.
TELL_S = 0.4
TOLD_EACH = 3

LIMITED = "limited"
OTHER = "other"


class Span:
    """Counts what came in the last `WINDOW_S`, by the limits that were told."""

    def __init__(self):
        self.arrivals = deque()

    def add(self, at, per_s):
        """Take an arrival of a router that was told of a limit, or not."""
        if per_s is not None:
            self.arrivals.append((at, per_s))
        while self.arrivals and self.arrivals[0][0] < at - WINDOW_S:
            self.arrivals.popleft()

    def beyond(self):
        """Return how many came beyond what the largest of the limits allows."""
        most = max((per_s for _, per_s in self.arrivals), default=0.0)
        return len(self.arrivals) - most * WINDOW_S * OVERAGE - EXTRA


class Router:
    """One router: what it knows, and how it chooses."""

    def __init__(self, fleet, name):
        self.name = name
        self.fleet = fleet
        self.directory = Directory(fleet)
        for one in (LIMITED, OTHER):
            self.directory.take(entry(one, host=f"10.0.0.{len(one)}"))
        # It is always the limited one that looks idle.
        self.directory.instances[OTHER].running = 1000
        self.chooser = Chooser(self.directory, "a", fleet.draw)
        self.chooser.pacer = Pacer(
            name,
            lambda: [one for one in fleet.known_to(name) if one != name],
            lambda: True,
            lambda _: None,
            Bounds,
            fleet.now(),
        )

    @property
    def instance(self):
        return self.directory.instances[LIMITED]

    def offer(self):
        """Send a request wherever it goes best."""
        chosen = self.chooser.choose("svc", lambda _: True, 1.0)
        if chosen is not self.instance:
            if chosen is not None:
                self.chooser.done(chosen)
            return
        sent_at = self.fleet.now()
        self.fleet.after(self.fleet.way(WAY_S), self.arrives, sent_at)

    def tell(self, number):
        """Return what it tells other routers; nothing where it knows none."""
        limits = limits_of(self.directory)
        if not limits:
            return None
        return encode(Message(self.name, 0, number, limits=limits))

    def hear(self, data):
        """Take what another router tells."""
        hear_limits(self.directory, decode(data))

    def arrives(self, sent_at):
        """A request reaches the instance, which answers it."""
        fleet = self.fleet
        limit = fleet.limit()
        fleet.arrivals.append((fleet.now(), self.name))
        head = ResponseHead(200, [], sealed=True, limit_per_s=limit)
        fleet.after(fleet.way(BACK_S), self.answered, head, sent_at, fleet.ends)

    def answered(self, head, sent_at, ends):
        """The head of an answer is here, which left after so many ends."""
        self.directory.signals.answered(
            self.instance.entry, self.instance.signals, head, sent_at
        )
        self.chooser.done(self.instance)
        # One that left before a limit ended says nothing of the next one.
        if head.limit_per_s is not None and ends == self.fleet.ends:
            told = self.fleet.told.setdefault(self.name, [])
            if not told or told[-1][1] != head.limit_per_s:
                told.append((self.fleet.now(), head.limit_per_s))


class Fleet(Timeline):
    """Routers that send all they may to one instance.

    Attributes:
        arrivals: When requests reached the instance, and of which router.
        told: When the instance told each router of which limits, since it
            names any.
        ends: How often a limit ended.
        of_told: Requests in the last span of routers that were told.
        of_told_now: The same of those that were told of the present limit.
    """

    def __init__(
        self, count, limits, seed=1, every_s=0.05, view="all", lost=1.0
    ):
        """Start the routers.

        Args:
            count: How many.
            limits: The limits that the instance names, as (time, requests a
                second or None), in order.
            seed: Seed of all draws.
            every_s: Seconds between two requests of a router.
            view: "all" routers know each other; "part" and "few": some know
                two thirds, or nine tenths, of them.
            lost: Part of the routers' messages to each other that are lost.
        """
        super().__init__(seed)
        self.lost = lost
        self.limits = limits
        self.every_s = every_s
        self.arrivals = []
        self.told = {}
        self.ends = 0
        self.of_told, self.of_told_now = Span(), Span()
        names = [f"r-{number}" for number in range(count)]
        part = names[: max(2 * count // 3, 1)]
        few = names[: max(9 * count // 10, 1)]
        views = {"all": [names], "part": [names, part], "few": [names, few]}
        self._known = {name: self.draw.choice(views[view]) for name in names}
        self.routers = {name: Router(self, name) for name in names}
        for name in names:
            self.after(self.draw.uniform(0.0, every_s), self._offer, name)
            if lost < 1.0:
                self.after(self.draw.uniform(0.0, TELL_S), self._tell, name)
        for at, per_s in limits:
            self.after(at, self._moves, per_s)

    def known_to(self, name):
        """Return the routers that one knows, itself too."""
        return self._known[name]

    def limit(self):
        """Return the limit that the instance names now."""
        named = [per_s for at, per_s in self.limits if at <= self.time]
        return named[-1] if named else None

    def restart(self, name):
        """Start a router again: it knows nothing of before."""
        self.routers[name] = Router(self, name)
        self.told.pop(name, None)

    def run(self, until):
        """Let time pass; return by how much the bound was ever exceeded.

        Returns:
            Requests beyond the bound in the worst span; below 0 where there
            was room in all of them.
        """
        worst, seen = -math.inf, 0
        for _ in self.steps(until):
            for at, name in self.arrivals[seen:]:
                worst = max(worst, self._counted(at, name))
            seen = len(self.arrivals)
        return worst

    def _counted(self, at, name):
        """Count an arrival; return by how much the bound is exceeded."""
        told = [
            per_s
            for told_at, per_s in self.told.get(name, ())
            if told_at <= at - TOLD_S
        ]
        last = told[-1] if told else None
        named = self.limit()
        if last is not None and named is not None:
            # One that names a higher limit takes that, whoever is told yet.
            self.of_told.add(at, max(last, named))
        else:
            self.of_told.add(at, last)
        self.of_told_now.add(at, last if last == self.limit() else None)
        if self.time < self._first_named() + CONTACT_S:
            return -math.inf
        return max(self.of_told.beyond(), self.of_told_now.beyond())

    def sent(self, since, until):
        """Return the requests a second that arrived in a span."""
        found = [at for at, _ in self.arrivals if since <= at < until]
        return len(found) / (until - since)

    def _first_named(self):
        """Return when the instance began to name a limit, of any value."""
        first = math.inf
        for at, per_s in self.limits:
            if at > self.time:
                break
            first = math.inf if per_s is None else min(first, at)
        return first

    def _moves(self, per_s):
        """The instance names another limit, or none."""
        self.of_told_now = Span()
        if per_s is None:
            self.told.clear()
            self.ends += 1
            self.of_told = Span()

    def _tell(self, name):
        self.after(TELL_S, self._tell, name)
        data = self.routers[name].tell(len(self.arrivals))
        if data is None:
            return
        for other in self.draw.choices(list(self.routers), k=TOLD_EACH):
            if other != name and self.draw.random() >= self.lost:
                # Some come late.
                way_s = self.draw.choice([0.001, 0.01, 2.0])
                self.after(way_s, self._hear, other, data)

    def _hear(self, name, data):
        self.routers[name].hear(data)

    def _offer(self, name):
        self.routers[name].offer()
        self.after(self.every_s, self._offer, name)
