"""A fleet of routers and an instance that names limits, in virtual time."""

import math
from collections import deque

from lacewingdock.components.gossip import Message, decode, encode
from lacewingdock.components.gossip.limits import apply_limits, limit_rows
from lacewingdock.components.pacing import Pacer
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.world.call import ResponseHead
from lacewingdock.world.host import Bounds
from tests.components.upstreams.entries import entry
from tests.timeline import Timeline

# Bound on the requests that arrive in any window of `WINDOW_S` seconds, as
# `OVERAGE` times the limit and `EXTRA` requests, from routers to which the
# instance named its limit at least `NOTICE_S` seconds before. It holds from
# `CONTACT_S` seconds after the instance first named a limit.
WINDOW_S = 4.0
OVERAGE = 1.5
EXTRA = 5.0
NOTICE_S = 0.5
CONTACT_S = 3.0
# Longest transit times in seconds of a request to the instance, and of the head
# of its answer back.
MAX_TRANSIT_S = 0.4
MAX_RETURN_S = 0.3

# Seconds between two gossip messages of a router, and their recipients: fewer
# than in a real fleet, so that most limits spread late.
GOSSIP_INTERVAL_S = 0.4
GOSSIP_RECIPIENTS = 3

LIMITED = "limited"
OTHER = "other"


class Span:
    """Arrivals in the last `WINDOW_S`, with the limit sent to each router."""

    def __init__(self):
        self.arrivals = deque()

    def add(self, at, per_s):
        """Record an arrival; `per_s` is None if its router had no limit."""
        if per_s is not None:
            self.arrivals.append((at, per_s))
        while self.arrivals and self.arrivals[0][0] < at - WINDOW_S:
            self.arrivals.popleft()

    def beyond(self):
        """Return the number of arrivals beyond the largest limit's bound."""
        most = max((per_s for _, per_s in self.arrivals), default=0.0)
        return len(self.arrivals) - most * WINDOW_S * OVERAGE - EXTRA


class Router:
    """One router with its directory, load balancing and pacer."""

    def __init__(self, fleet, name):
        self.name = name
        self.fleet = fleet
        self.directory = Directory(fleet)
        for one in (LIMITED, OTHER):
            self.directory.apply(entry(one, host=f"10.0.0.{len(one)}"))
        # The limited instance always looks idle in comparison.
        self.directory.instances[OTHER].running = 1000
        self.chooser = Chooser(self.directory, "a", fleet.rng)
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
        """Send a request to the instance that load balancing chooses."""
        chosen = self.chooser.choose("svc", lambda _: True, 1.0)
        if chosen is not self.instance:
            if chosen is not None:
                self.chooser.done(chosen)
            return
        sent_at = self.fleet.now()
        self.fleet.after(
            self.fleet.random_delay(MAX_TRANSIT_S), self.deliver, sent_at
        )

    def compose_message(self, number):
        """Return a gossip message with its limits; None if it has none."""
        limits = limit_rows(self.directory)
        if not limits:
            return None
        return encode(Message(self.name, 0, number, limits=limits))

    def receive(self, data):
        """Apply a gossip message of another router."""
        apply_limits(self.directory, decode(data))

    def deliver(self, sent_at):
        """Deliver a request to the instance, which answers it."""
        fleet = self.fleet
        limit = fleet.limit()
        fleet.arrivals.append((fleet.now(), self.name))
        head = ResponseHead(200, [], sealed=True, limit_per_s=limit)
        fleet.after(
            fleet.random_delay(MAX_RETURN_S),
            self.answered,
            head,
            sent_at,
            fleet.ends,
        )

    def answered(self, head, sent_at, ends):
        """Apply an answer's head that was sent after `ends` ends of limits."""
        self.directory.signals.answered(
            self.instance.entry, self.instance.signals, head, sent_at
        )
        self.chooser.done(self.instance)
        # A head that was sent before a limit ended does not name the next one.
        if head.limit_per_s is not None and ends == self.fleet.ends:
            received_limits = self.fleet.received_limits.setdefault(
                self.name, []
            )
            if (
                not received_limits
                or received_limits[-1][1] != head.limit_per_s
            ):
                received_limits.append((self.fleet.now(), head.limit_per_s))


class Fleet(Timeline):
    """Routers that send as many requests as they may to one instance.

    Attributes:
        arrivals: Arrivals at the instance, as (time, router).
        received_limits: Limits that each router received since the instance
            last named none, as (time, requests a second), by router.
        ends: Number of limits that ended.
        of_informed: Recent requests of routers that received a limit.
        of_informed_now: Recent requests of routers that received the current
            limit.
    """

    def __init__(
        self, count, limits, seed=1, every_s=0.05, view="all", lost=1.0
    ):
        """Start the routers.

        Args:
            count: Number of routers.
            limits: The limits that the instance names, as (time, requests a
                second or None), in order.
            seed: Seed of all random draws.
            every_s: Seconds between two requests of a router.
            view: "all": each router lists all others. "part" and "few": some
                routers list only two thirds, or nine tenths, of them.
            lost: Share of the gossip messages that are lost.
        """
        super().__init__(seed)
        self.lost = lost
        self.limits = limits
        self.every_s = every_s
        self.arrivals = []
        self.received_limits = {}
        self.ends = 0
        self.of_informed, self.of_informed_now = Span(), Span()
        names = [f"r-{number}" for number in range(count)]
        part = names[: max(2 * count // 3, 1)]
        few = names[: max(9 * count // 10, 1)]
        views = {"all": [names], "part": [names, part], "few": [names, few]}
        self._known = {name: self.rng.choice(views[view]) for name in names}
        self.routers = {name: Router(self, name) for name in names}
        for name in names:
            self.after(self.rng.uniform(0.0, every_s), self._offer, name)
            if lost < 1.0:
                self.after(
                    self.rng.uniform(0.0, GOSSIP_INTERVAL_S),
                    self._gossip,
                    name,
                )
        for at, per_s in limits:
            self.after(at, self._change_limit, per_s)

    def known_to(self, name):
        """Return the routers that a router lists, including itself."""
        return self._known[name]

    def limit(self):
        """Return the limit that the instance currently names."""
        named = [per_s for at, per_s in self.limits if at <= self.time]
        return named[-1] if named else None

    def restart(self, name):
        """Restart a router without its earlier state."""
        self.routers[name] = Router(self, name)
        self.received_limits.pop(name, None)

    def run(self, until):
        """Run the simulation up to a time.

        Returns:
            Requests beyond the bound in the worst window; below 0 if all
            windows stayed below it.
        """
        worst, seen = -math.inf, 0
        for _ in self.steps(until):
            for at, name in self.arrivals[seen:]:
                worst = max(worst, self._counted(at, name))
            seen = len(self.arrivals)
        return worst

    def _counted(self, at, name):
        """Record an arrival; return the number of requests beyond the bound."""
        received_limits = [
            per_s
            for received_at, per_s in self.received_limits.get(name, ())
            if received_at <= at - NOTICE_S
        ]
        last = received_limits[-1] if received_limits else None
        named = self.limit()
        if last is not None and named is not None:
            # An instance accepts a raised limit from routers yet unaware of it.
            self.of_informed.add(at, max(last, named))
        else:
            self.of_informed.add(at, last)
        self.of_informed_now.add(at, last if last == self.limit() else None)
        if self.time < self._first_named() + CONTACT_S:
            return -math.inf
        return max(self.of_informed.beyond(), self.of_informed_now.beyond())

    def sent(self, since, until):
        """Return the rate of arrivals in a period, in requests a second."""
        found = [at for at, _ in self.arrivals if since <= at < until]
        return len(found) / (until - since)

    def _first_named(self):
        """Return since when the instance has named limits without a break."""
        first = math.inf
        for at, per_s in self.limits:
            if at > self.time:
                break
            first = math.inf if per_s is None else min(first, at)
        return first

    def _change_limit(self, per_s):
        """Change the limit that the instance names, or end it."""
        self.of_informed_now = Span()
        if per_s is None:
            self.received_limits.clear()
            self.ends += 1
            self.of_informed = Span()

    def _gossip(self, name):
        self.after(GOSSIP_INTERVAL_S, self._gossip, name)
        data = self.routers[name].compose_message(len(self.arrivals))
        if data is None:
            return
        for other in self.rng.choices(list(self.routers), k=GOSSIP_RECIPIENTS):
            if other != name and self.rng.random() >= self.lost:
                # Some messages arrive late.
                way_s = self.rng.choice([0.001, 0.01, 2.0])
                self.after(way_s, self._receive, other, data)

    def _receive(self, name, data):
        self.routers[name].receive(data)

    def _offer(self, name):
        self.routers[name].offer()
        self.after(self.every_s, self._offer, name)
