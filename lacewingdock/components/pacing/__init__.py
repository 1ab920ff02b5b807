"""Support for sending an instance no more than it takes of all routers.

An instance that has just started is cold for some seconds: it bears a number
of requests a second then and crashes under many more. One in need names a
limit in its answers. Both are bounds on all routers together, and an idle
instance is what each router likes best: without a bound, all of a fleet choose
it in the same moment.

No router asks another. Each spaces its requests to such an instance out, so
that the sum stays below the bound in any span, also where routers are cut off
or have all started again. Where that would leave a router less than one in a
span, some of them have a share of each instance, on which all agree that know
the same routers, with room for those that do not; the others leave the
instance to them. Of a limit only the instance's own answers tell that it is
over, so the others too ask it, at long intervals.

What an instance asks of this router alone is simpler: after a rest that it
wanted, requests go there one at a time until one is served.
"""

import math
import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass

from lacewingdock.components.pacing.const import (
    COLD_SPAN_S,
    LIMIT_EXTRA,
    LIMIT_OVERAGE,
    LIMIT_SPAN_S,
    MAX_REMEMBERED,
    RETURN_GAP_S,
    RING_S,
)
from lacewingdock.components.pacing.ring import Ring
from lacewingdock.components.pacing.shares import Allowance, Shares, shares
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.helpers.recent import remember
from lacewingdock.world.host import Bounds
from lacewingdock.world.route import ServiceLimits


@dataclass(slots=True, frozen=True)
class Bound:
    """A bound on the requests to an instance.

    Attributes:
        allowance: What it takes.
        since: Monotonic time from which that holds.
    """

    allowance: Allowance
    since: float


class Pacer:
    """Says when this router may send to an instance that takes few requests.

    Attributes:
        name: This router's name.
        names: Returns the names of the other routers.
        known: Returns whether it knows the other routers; before, it has no
            share of anything.
        limits: Returns what a service's instances bear; None if not known.
        bounds: Returns what the router is held to.
        started: Monotonic time of this router's start.
    """

    __slots__ = (
        "_ring",
        "_ring_until",
        "_sent_at",
        "bounds",
        "known",
        "limits",
        "name",
        "names",
        "started",
    )

    def __init__(
        self,
        name: str,
        names: Callable[[], Collection[str]],
        known: Callable[[], bool],
        limits: Callable[[str], ServiceLimits | None],
        bounds: Callable[[], Bounds],
        started: float,
    ) -> None:
        """Take the parts; no instance takes few before it is said."""
        self.started = started
        self.name = name
        self.names = names
        self.known = known
        self.limits = limits
        self.bounds = bounds
        self._ring = Ring((name,))
        self._ring_until = 0.0
        # The latest turn, which may be yet to come, by instance start.
        self._sent_at: dict[str, float] = {}

    def admits(self, instance: UpstreamInstance, now: float) -> bool:
        """Whether a request may be sent to an instance now."""
        if not instance.accepts_requests(now):
            return False
        return not instance.is_paced(now) or self.due_at(instance, now) <= now

    def due_at(self, instance: UpstreamInstance, now: float) -> float:
        """Return when this router may next send to an instance.

        Returns:
            A monotonic time; infinity where it has no share.
        """
        due = [
            self._due_at(instance, bound, now)
            for bound in self._bounds_of(instance, now)
        ]
        if now < instance.rest.careful_until:
            due.append(self._back_at(instance, now))
        return max(due, default=now)

    def others_turn_s(self, instance: UpstreamInstance, now: float) -> float:
        """Return within how long some router has a turn at an instance.

        Returns:
            Seconds; infinity where its bound ends without being asked.
        """
        return min(
            (
                self._shares(bound).gap_s
                for bound in self._bounds_of(instance, now)
                if bound.allowance.ends_by_answer
            ),
            default=math.inf,
        )

    def sends(self, instance: UpstreamInstance, at: float) -> None:
        """Count a request that goes to an instance at a moment."""
        if not instance.is_paced(at):
            return
        start = instance.entry.incarnation
        remember(self._sent_at, start, at, MAX_REMEMBERED)

    def _bounds_of(self, instance: UpstreamInstance, now: float) -> list[Bound]:
        """Return the bounds on an instance; none where it takes any number."""
        found = []
        if instance.is_cold(now) and (cold := self._of_cold(instance)):
            found.append(Bound(cold, instance.cold_from))
        per_s = instance.limit.at(now)
        if per_s is not None:
            most = per_s * LIMIT_SPAN_S * LIMIT_OVERAGE + LIMIT_EXTRA
            named = Allowance(per_s, most, LIMIT_SPAN_S, ends_by_answer=True)
            found.append(Bound(named, instance.limit.since))
        return found

    def _of_cold(self, instance: UpstreamInstance) -> Allowance | None:
        """Return what a cold instance bears; None where that is any number."""
        limits = self.limits(instance.entry.service)
        if limits is None or not limits.cold_per_s:
            return None
        per_s, bounds = limits.cold_per_s, self.bounds()
        most = per_s * bounds.cold_overage + bounds.cold_extra
        return Allowance(per_s, most, COLD_SPAN_S)

    def _due_at(
        self, instance: UpstreamInstance, bound: Bound, now: float
    ) -> float:
        """Return when this router may next send by one of the bounds."""
        if not self.known():
            return math.inf
        found = self._shares(bound)
        shares_it = self._is_near(instance, found.routers, now)
        gap_s = found.gap_s if shares_it else found.rest_gap_s
        if gap_s == math.inf:
            return math.inf
        first = self._first_due(instance, bound.since, gap_s)
        return max(first, self._last_sent_at(instance) + gap_s, now)

    def _first_due(
        self, instance: UpstreamInstance, since: float, gap_s: float
    ) -> float:
        """Return when the first request may be sent to an instance.

        Routers take their first turns one after the other. All at once, with
        what was sent before all of them started again, would be twice what may
        arrive in a span.
        """
        return max(since, self.started) + self._phase(instance) * gap_s

    def _back_at(self, instance: UpstreamInstance, now: float) -> float:
        """Return when this router may send to an instance after its rest.

        Routers that it turned away together come back one after the other,
        and each with one request, since it may turn that away as well.
        """
        rest = instance.rest
        first = rest.until + self._phase(instance) * rest.return_s
        return max(first, self._last_sent_at(instance) + RETURN_GAP_S, now)

    def _last_sent_at(self, instance: UpstreamInstance) -> float:
        return self._sent_at.get(instance.entry.incarnation, -math.inf)

    def _phase(self, instance: UpstreamInstance) -> float:
        """Return this router's part of a span that routers divide, from 0."""
        digest = zlib.crc32(f"{self.name} {instance.mark}".encode())
        return digest / 2**32

    def _shares(self, bound: Bound) -> Shares:
        """Return how the requests to an instance are shared."""
        return shares(bound.allowance, len(self.names()) + 1)

    def _is_near(
        self, instance: UpstreamInstance, sharing: int, now: float
    ) -> bool:
        """Whether this router is among those that have a share."""
        if now >= self._ring_until:
            names = frozenset(self.names()) | {self.name}
            if names != self._ring.index.keys():
                self._ring = Ring(names)
            self._ring_until = now + RING_S
        return self._ring.is_near(self.name, instance.mark, sharing)
