"""Distributed rate limiting of requests to single instances.

An instance that has just started is cold for some seconds: it can serve only a
certain rate of requests then, and crashes under many more. An overloaded
instance names a rate limit in its answers. Both are bounds on the sum of all
routers' requests. Every router prefers an idle instance, so without a bound
the whole fleet would choose it at once.

Routers do not coordinate. Each one spaces its requests to such an instance so
that the sum stays below the bound in any time window, even if routers are
partitioned or have all restarted. If that would leave a router less than one
request per window, only some routers have a share of each instance. All
routers with the same view of the fleet agree on these by consistent hashing,
and the shares leave room for differing views. The other routers do not send to
a cold instance. The end of a limit shows only in the instance's own answers,
so they probe a limited instance at long intervals.

A rest is the backoff that an instance asks of this router alone, with
Retry-After. After it, requests go there one at a time until one is served.
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
    RING_REFRESH_S,
)
from lacewingdock.components.pacing.ring import Ring
from lacewingdock.components.pacing.shares import (
    Allowance,
    Shares,
    compute_shares,
)
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.helpers.lru import insert_lru
from lacewingdock.world.host import Bounds
from lacewingdock.world.route import ServiceLimits


@dataclass(slots=True, frozen=True)
class RateBound:
    """A bound on the rate of requests to an instance.

    Attributes:
        allowance: Rate and number of requests that the instance accepts.
        since: Monotonic time from which the bound holds.
    """

    allowance: Allowance
    since: float


class Pacer:
    """Schedules this router's requests to instances with a rate bound.

    Attributes:
        name: This router's name.
        names: Returns the names of the other routers.
        known: Returns whether the other routers are listed yet; before that,
            this router has no share of any instance.
        limits: Returns the limits of a service's instances; None if the
            service is not configured.
        bounds: Returns the bounds of the platform's profile.
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
        """Build a pacer for one router that has sent no requests yet."""
        self.started = started
        self.name = name
        self.names = names
        self.known = known
        self.limits = limits
        self.bounds = bounds
        self._ring = Ring((name,))
        self._ring_until = 0.0
        # Time of the last reserved request, possibly in the future, by the
        # instance's incarnation.
        self._sent_at: dict[str, float] = {}

    def admits(self, instance: UpstreamInstance, now: float) -> bool:
        """Return whether a request may be sent to an instance now."""
        if not instance.accepts_requests(now):
            return False
        return not instance.is_paced(now) or self.due_at(instance, now) <= now

    def due_at(self, instance: UpstreamInstance, now: float) -> float:
        """Return when this router may next send to an instance.

        Returns:
            A monotonic time; infinity if this router has no share.
        """
        due = [
            self._due_at(instance, bound, now)
            for bound in self._bounds_of(instance, now)
        ]
        if now < instance.rest.careful_until:
            due.append(self._return_due_at(instance, now))
        return max(due, default=now)

    def others_gap_s(self, instance: UpstreamInstance, now: float) -> float:
        """Return the time within which some router may send to an instance.

        Returns:
            Seconds; infinity if no bound needs an answer to end.
        """
        return min(
            (
                self._shares(bound).gap_s
                for bound in self._bounds_of(instance, now)
                if bound.allowance.ends_by_answer
            ),
            default=math.inf,
        )

    def record_sent(self, instance: UpstreamInstance, at: float) -> None:
        """Record a request that is sent to an instance at a given time."""
        if not instance.is_paced(at):
            return
        start = instance.entry.incarnation
        insert_lru(self._sent_at, start, at, MAX_REMEMBERED)

    def _bounds_of(
        self, instance: UpstreamInstance, now: float
    ) -> list[RateBound]:
        """Return the rate bounds on an instance, if any."""
        found = []
        if instance.is_cold(now) and (cold := self._cold_allowance(instance)):
            found.append(RateBound(cold, instance.cold_from))
        per_s = instance.limit.at(now)
        if per_s is not None:
            max_arrivals = per_s * LIMIT_SPAN_S * LIMIT_OVERAGE + LIMIT_EXTRA
            named = Allowance(
                per_s, max_arrivals, LIMIT_SPAN_S, ends_by_answer=True
            )
            found.append(RateBound(named, instance.limit.since))
        return found

    def _cold_allowance(self, instance: UpstreamInstance) -> Allowance | None:
        """Return the allowance of a cold instance; None without a limit."""
        limits = self.limits(instance.entry.service)
        if limits is None or not limits.cold_per_s:
            return None
        per_s, bounds = limits.cold_per_s, self.bounds()
        max_arrivals = per_s * bounds.cold_overage + bounds.cold_extra
        return Allowance(per_s, max_arrivals, COLD_SPAN_S)

    def _due_at(
        self, instance: UpstreamInstance, bound: RateBound, now: float
    ) -> float:
        """Return when one of the bounds next lets this router send."""
        if not self.known():
            return math.inf
        found = self._shares(bound)
        shares_it = self._has_share(instance, found.routers, now)
        gap_s = found.gap_s if shares_it else found.probe_gap_s
        if gap_s == math.inf:
            return math.inf
        first = self._first_due(instance, bound.since, gap_s)
        return max(first, self._last_sent_at(instance) + gap_s, now)

    def _first_due(
        self, instance: UpstreamInstance, since: float, gap_s: float
    ) -> float:
        """Return when the first request may be sent to an instance.

        The first requests of the routers are staggered. If all came at once,
        right after a restart of all routers, they would add to the requests
        from before it and reach twice the bound in a window.
        """
        return max(since, self.started) + self._phase(instance) * gap_s

    def _return_due_at(self, instance: UpstreamInstance, now: float) -> float:
        """Return when this router may send to an instance after its rest.

        Routers that were refused at the same time return in a staggered way,
        each with a single request, since the instance may refuse that too.
        """
        rest = instance.rest
        first = rest.until + self._phase(instance) * rest.return_s
        return max(first, self._last_sent_at(instance) + RETURN_GAP_S, now)

    def _last_sent_at(self, instance: UpstreamInstance) -> float:
        return self._sent_at.get(instance.entry.incarnation, -math.inf)

    def _phase(self, instance: UpstreamInstance) -> float:
        """Return this router's offset for an instance, from 0 to below 1."""
        digest = zlib.crc32(f"{self.name} {instance.mark}".encode())
        return digest / 2**32

    def _shares(self, bound: RateBound) -> Shares:
        """Return how the routers divide an instance's allowance."""
        return compute_shares(bound.allowance, len(self.names()) + 1)

    def _has_share(
        self, instance: UpstreamInstance, sharing: int, now: float
    ) -> bool:
        """Return whether this router is among those with a share."""
        if now >= self._ring_until:
            names = frozenset(self.names()) | {self.name}
            if names != self._ring.index.keys():
                self._ring = Ring(names)
            self._ring_until = now + RING_REFRESH_S
        return self._ring.has_share(self.name, instance.mark, sharing)
