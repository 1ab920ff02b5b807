"""Support for choosing the upstream instance that a request goes to."""

import math
import random
import threading
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.gossip.load import NO_WORK, Work
from lacewingdock.components.pacing import Pacer
from lacewingdock.components.pacing.const import COLD_WEIGHT
from lacewingdock.components.probes import Load
from lacewingdock.components.probes.const import (
    PROBED_INSTANCES,
    QUEUED_REQUEST_WEIGHT,
)
from lacewingdock.components.probes.prober import Prober
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import (
    FAILURES_TO_PASS_OVER,
    TRIAL_AFTER_S,
    Instance,
)

# A failure counts like this many requests more on the instance, so that one
# that fails part of its requests gets few while it is not passed over.
FAILURE_WEIGHT: Final = 4.0
# What another failure domain costs, in requests that run: enough to decide
# between equals, too little to unbalance them.
DISTANCE_WEIGHT: Final = 0.5
# What 1,000 tokens that the largest model still has to read cost, in requests
# that run: reading delays all that run there, at once.
UNREAD_WEIGHT: Final = 1.0
# With fewer instances there is nothing to choose.
MIN_CHOICE: Final = 2


@dataclass(slots=True, frozen=True)
class Turn:
    """A moment at which an instance that takes few takes a request.

    Attributes:
        instance: The instance.
        at: Monotonic time of it.
    """

    instance: Instance
    at: float


class Chooser:
    """Chooses the instance with the least work that this router knows of.

    Attributes:
        directory: The instances.
        failure_domain: Where this router stands.
        random: Source of draws between equals.
        others: Returns what other routers have at an instance, by its mark.
        changed: Set when what this router has at an instance changes.
        prober: Asks instances for their load; None where none can be.
        pacer: Says what may be sent to instances that take few; None where
            they take as much as others, but for a rest.
    """

    __slots__ = (
        "changed",
        "directory",
        "failure_domain",
        "others",
        "pacer",
        "prober",
        "random",
    )

    def __init__(
        self, directory: Directory, failure_domain: str, source: random.Random
    ) -> None:
        """Take the instances and the place of this router."""
        self.directory = directory
        self.failure_domain = failure_domain
        self.random = source
        self.others: Callable[[int], Work] = lambda _: NO_WORK
        self.changed = threading.Event()
        self.prober: Prober | None = None
        self.pacer: Pacer | None = None

    def choose(
        self,
        service: str,
        allowed: Callable[[Instance], bool],
        unread: float,
        tried: Collection[str] = (),
        request: str = "",
    ) -> Instance | None:
        """Return an instance and count the request in, or None.

        Args:
            service: The service.
            allowed: Whether an instance may run the request.
            unread: What it has to read there, in `UNREAD_WEIGHT`'s unit.
            tried: Instances that the request was at, by their starts; one of
                them is taken only where there is no other.
            request: Its id, by which an instance reports that it came.
        """
        now = self.directory.clock.now()
        found = self._admitted(self._open(service, allowed), now)
        fresh = _untried(found, tried)
        if not fresh:
            return None
        asked = self._asked(self._fit(fresh, now), unread, now)
        loads = self._ask(asked)
        # A trial in progress must not be joined by others, nor a turn be taken
        # twice.
        with self.directory.lock:
            chosen = self._of_asked(asked, loads, now)
            if chosen is None or not self._admitted([chosen], now):
                fresh = self._admitted(fresh, now)
                if not fresh:
                    return None
                chosen = self._least(self._fit(fresh, now), now)
            self._count_in(chosen, unread, now)
        if chosen in loads and self.prober is not None:
            self.prober.announce(chosen.entry.host, request, unread)
        return chosen

    def reserve(
        self,
        service: str,
        allowed: Callable[[Instance], bool],
        unread: float,
        by: float,
    ) -> Turn | None:
        """Return the next turn at an instance and count the request in.

        Asked for where `choose` finds nothing else.

        Args:
            service: The service.
            allowed: Whether an instance may run the request.
            unread: As `choose`.
            by: Monotonic time by which the turn must come.

        Returns:
            The turn; None where there is none in time.
        """
        with self.directory.lock:
            now = self.directory.clock.now()
            turn = self._next_turn(self._paced(service, allowed, now), now)
            if turn is None or turn.at > by:
                return None
            self._count_in(turn.instance, unread, turn.at)
        self.changed.set()
        return turn

    def admits(self, name: str) -> bool:
        """Whether the instance with an id takes a request now."""
        found = self.directory.instances.get(name)
        now = self.directory.clock.now()
        return found is not None and bool(self._admitted([found], now))

    def takes_few(self, service: str) -> bool:
        """Whether a service has open instances, and all of them take few."""
        now = self.directory.clock.now()
        is_open = False
        for one in self.directory.of_service(service):
            if one.open:
                is_open = True
                if not one.takes_few(now):
                    return False
        return is_open

    def next_turn_s(
        self,
        service: str,
        allowed: Callable[[Instance], bool] = lambda _: True,
    ) -> float | None:
        """Return in how many seconds an instance that takes few takes one.

        Returns:
            Seconds; until one is warm, or another router has a turn, where
            this one has none before. None where no instance takes few, or one
            takes a request now.
        """
        now = self.directory.clock.now()
        paced = self._paced(service, allowed, now)
        if not paced or self.pacer is None:
            return None
        if self._admitted(self._open(service, allowed), now):
            return None
        after_s = min(self._after_s(self.pacer, one, now) for one in paced)
        return None if after_s == math.inf else after_s

    def has_other(self, service: str, tried: Collection[str]) -> bool:
        """Whether another instance than those tried takes a request now."""
        now = self.directory.clock.now()
        return any(
            one.takes_any(now) and one.entry.incarnation not in tried
            for one in self.directory.of_service(service)
        )

    def replaced(self, instance: Instance, answered_by: str) -> None:
        """Take out an instance at whose address another one answered."""
        self.directory.answered_by_other(instance, answered_by)
        self.changed.set()

    def began(self, instance: Instance, unread: float) -> None:
        """Count a request's prompt as read: its answer began, or it ended."""
        with self.directory.lock:
            instance.unread -= unread
        self.changed.set()

    def done(self, instance: Instance) -> None:
        """Count a request out."""
        with self.directory.lock:
            instance.running -= 1
        self.changed.set()

    def _open(
        self, service: str, allowed: Callable[[Instance], bool]
    ) -> list[Instance]:
        return [
            one
            for one in self.directory.of_service(service)
            if one.open and allowed(one)
        ]

    def _admitted(self, found: list[Instance], now: float) -> list[Instance]:
        """Leave out instances at which it is not this router's turn."""
        pacer = self.pacer
        if pacer is None:
            return [one for one in found if one.takes_any(now)]
        return [one for one in found if pacer.admits(one, now)]

    def _paced(
        self, service: str, allowed: Callable[[Instance], bool], now: float
    ) -> list[Instance]:
        """Return the open instances that take few."""
        found = self._open(service, allowed)
        return [one for one in found if one.takes_few(now)]

    def _after_s(self, pacer: Pacer, one: Instance, now: float) -> float:
        """Return in how many seconds a request may go to an instance."""
        after_s = min(
            pacer.due_at(one, now) - now, pacer.others_turn_s(one, now)
        )
        if one.is_cold(now) and not one.is_limited(now):
            after_s = min(after_s, one.cold_until - now)
        return max(after_s, one.rest.until - now)

    def _next_turn(self, paced: list[Instance], now: float) -> Turn | None:
        """Return this router's next turn at one of some instances, if any."""
        pacer = self.pacer
        if pacer is None:
            return None
        turns = (
            (pacer.due_at(one, now), self.random.random(), one) for one in paced
        )
        at, _, chosen = min(turns, default=(math.inf, 0.0, None))
        return None if chosen is None or at == math.inf else Turn(chosen, at)

    def _count_in(self, chosen: Instance, unread: float, at: float) -> None:
        """Count a request in that goes to an instance at a moment."""
        chosen.running += 1
        chosen.unread += unread
        if chosen.recent_failures(at) >= FAILURES_TO_PASS_OVER:
            chosen.trial_at = at + TRIAL_AFTER_S
        if self.pacer is not None:
            self.pacer.sends(chosen, at)

    def _fit(self, found: list[Instance], now: float) -> list[Instance]:
        """Leave out those that failed lately, unless all did."""
        fit = [
            one
            for one in found
            if one.recent_failures(now) < FAILURES_TO_PASS_OVER
            or (one.trial_at <= now and not one.running)
        ]
        return fit or found

    def _least(self, found: Sequence[Instance], now: float) -> Instance:
        return min(
            found,
            key=lambda one: (self._load(one, now), self.random.random()),
        )

    def _asked(
        self, fit: Sequence[Instance], unread: float, now: float
    ) -> list[Instance]:
        """Return the instances that are asked for their load.

        They are drawn from the better half by what is known here, so that
        those known to be full are not asked.
        """
        if self.prober is None or not unread or len(fit) < MIN_CHOICE:
            return []
        known = sorted(
            fit, key=lambda one: (self._load(one, now), self.random.random())
        )
        better = known[: max(len(known) // 2, PROBED_INSTANCES)]
        return self.random.sample(better, min(PROBED_INSTANCES, len(better)))

    def _ask(self, asked: Sequence[Instance]) -> dict[Instance, Load]:
        """Return what instances say of their load, of those that answer."""
        if self.prober is None or not asked:
            return {}
        loads = self.prober.ask([one.entry.host for one in asked])
        return {
            one: loads[one.entry.host]
            for one in asked
            if one.entry.host in loads
        }

    def _of_asked(
        self,
        asked: Sequence[Instance],
        loads: Mapping[Instance, Load],
        now: float,
    ) -> Instance | None:
        """Return the best of the asked; None where none knows its load.

        Those that are silent get their share by what is known here. Without
        it all requests go to the others, which are full where half of the
        sidecars are away.
        """
        told = [one for one in asked if one in loads and not loads[one].lost]
        silent = [one for one in asked if one not in loads]
        if not told:
            return None
        if self.random.random() * len(asked) < len(silent):
            return self._least(silent, now)
        return min(told, key=lambda one: self._told(one, loads, now))

    def _told(
        self, one: Instance, told: Mapping[Instance, Load], now: float
    ) -> tuple[float, float]:
        """Return what an instance has to do by its own word, and a draw.

        It can't be less than what this router itself has there.
        """
        running = max(told[one].running, one.running)
        load = running + UNREAD_WEIGHT * told[one].unread
        load += QUEUED_REQUEST_WEIGHT * max(running + 1 - one.entry.slots, 0)
        return load + self._against(one, now), self.random.random()

    def _load(self, one: Instance, now: float) -> float:
        """Return what runs on an instance, and what speaks against it."""
        others = self.others(one.mark)
        load: float = one.running + others.running
        load += UNREAD_WEIGHT * (one.unread + others.unread)
        return load + self._against(one, now)

    def _against(self, one: Instance, now: float) -> float:
        """Return what speaks against an instance beside its load."""
        against = FAILURE_WEIGHT * one.recent_failures(now)
        if one.entry.failure_domain != self.failure_domain:
            against += DISTANCE_WEIGHT
        if one.is_cold(now):
            against += COLD_WEIGHT
        return against


def _untried(found: list[Instance], tried: Collection[str]) -> list[Instance]:
    """Return the instances that a request was not at, or all of them."""
    return [one for one in found if one.entry.incarnation not in tried] or found
