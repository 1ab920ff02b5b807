"""Support for choosing the upstream instance that a request goes to."""

import math
import random
import threading
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.gossip.load import NO_WORK, Work
from lacewingdock.components.pacing import Pacer
from lacewingdock.components.pacing.const import COLD_PENALTY
from lacewingdock.components.probes import Load
from lacewingdock.components.probes.const import (
    PROBED_INSTANCES,
    QUEUED_REQUEST_WEIGHT,
)
from lacewingdock.components.probes.prober import Prober
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import (
    EJECTION_FAILURES,
    TRIAL_AFTER_S,
    UpstreamInstance,
)

# Load added for each recent failure, in running requests: an instance that
# fails part of its requests gets few of them even while it is not ejected.
FAILURE_WEIGHT: Final = 4.0
# Load added to an instance in another failure domain, in running requests:
# enough to break ties, too little to unbalance the failure domains.
DISTANCE_WEIGHT: Final = 0.5
# Load of 1,000 prompt tokens that the largest model still has to read, in
# running requests: prefill delays every request that runs on the instance.
UNREAD_WEIGHT: Final = 1.0
# Fewest instances for which load probes are sent: with fewer there is no
# choice.
MIN_CHOICE: Final = 2


@dataclass(slots=True, frozen=True)
class Reservation:
    """A reserved moment for sending a request to a paced instance.

    Attributes:
        instance: The instance.
        at: Monotonic time from which the request may be sent.
    """

    instance: UpstreamInstance
    at: float


class Chooser:
    """Chooses the least loaded instance of a service, as seen by this router.

    Attributes:
        directory: The upstream instances.
        failure_domain: Failure domain of this router.
        random: Source of random numbers that break ties.
        others: Returns the load that other routers have at an instance, by
            its mark.
        changed: Set when the load that this router has at an instance
            changes.
        prober: Asks instances for their load; None without load probes.
        pacer: Limits the rate of requests to paced instances; None where
            instances are not paced, and only a rest is obeyed.
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
        """Create a chooser for a router in a failure domain."""
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
        allowed: Callable[[UpstreamInstance], bool],
        unread: float,
        tried: Collection[str] = (),
        request: str = "",
    ) -> UpstreamInstance | None:
        """Return an instance, with the request added to its load, or None.

        Args:
            service: The service.
            allowed: Returns whether an instance may run the request.
            unread: Prompt tokens that the instance has to read, in thousands,
                as for `UNREAD_WEIGHT`.
            tried: Incarnations of the instances that the request was already
                sent to; they are chosen only where there is no other.
            request: Id of the request, with which the instance recognises its
                arrival.
        """
        now = self.directory.clock.now()
        found = self._admitted(self._open_instances(service, allowed), now)
        untried = _untried(found, tried)
        if not untried:
            return None
        candidates = self._probe_candidates(
            self._without_ejected(untried, now), unread, now
        )
        loads = self._probe(candidates)
        # The lock prevents a second trial request to an ejected instance, and
        # two requests with the same pacing slot.
        with self.directory.lock:
            chosen = self._least_reported(candidates, loads, now)
            if chosen is None or not self._admitted([chosen], now):
                untried = self._admitted(untried, now)
                if not untried:
                    return None
                chosen = self._least_loaded(
                    self._without_ejected(untried, now), now
                )
            self._add_request(chosen, unread, now)
        if chosen in loads and self.prober is not None:
            self.prober.announce(chosen.entry.host, request, unread)
        return chosen

    def reserve(
        self,
        service: str,
        allowed: Callable[[UpstreamInstance], bool],
        unread: float,
        by: float,
    ) -> Reservation | None:
        """Reserve the next sending time at a paced instance for a request.

        Called where `choose` finds no instance. The request is added to the
        load of the instance at once.

        Args:
            service: The service.
            allowed: Returns whether an instance may run the request.
            unread: As for `choose`.
            by: Latest monotonic time for sending.

        Returns:
            The reservation; None where no instance is free by then.
        """
        with self.directory.lock:
            now = self.directory.clock.now()
            turn = self._next_reservation(
                self._paced(service, allowed, now), now
            )
            if turn is None or turn.at > by:
                return None
            self._add_request(turn.instance, unread, turn.at)
        self.changed.set()
        return turn

    def admits(self, name: str) -> bool:
        """Whether the instance with this id accepts a request now."""
        found = self.directory.instances.get(name)
        now = self.directory.clock.now()
        return found is not None and bool(self._admitted([found], now))

    def is_paced(self, service: str) -> bool:
        """Whether a service has open instances and all of them are paced."""
        now = self.directory.clock.now()
        is_open = False
        for instance in self.directory.of_service(service):
            if instance.open:
                is_open = True
                if not instance.is_paced(now):
                    return False
        return is_open

    def next_send_s(
        self,
        service: str,
        allowed: Callable[[UpstreamInstance], bool] = lambda _: True,
    ) -> float | None:
        """Return the seconds until a paced instance accepts a request.

        Returns:
            Seconds until this router may send; or, if that is sooner, until an
            instance is warm or another router may send. None where no
            instance is paced, or one accepts a request now.
        """
        now = self.directory.clock.now()
        paced = self._paced(service, allowed, now)
        if not paced or self.pacer is None:
            return None
        if self._admitted(self._open_instances(service, allowed), now):
            return None
        after_s = min(
            self._ready_in_s(self.pacer, instance, now) for instance in paced
        )
        return None if after_s == math.inf else after_s

    def has_untried_instance(
        self, service: str, tried: Collection[str]
    ) -> bool:
        """Whether an instance not tried yet accepts a request now."""
        now = self.directory.clock.now()
        return any(
            instance.accepts_requests(now)
            and instance.entry.incarnation not in tried
            for instance in self.directory.of_service(service)
        )

    def replaced(self, instance: UpstreamInstance, answered_by: str) -> None:
        """Remove an instance at whose address another instance answered."""
        self.directory.mark_replaced(instance, answered_by)
        self.changed.set()

    def began(self, instance: UpstreamInstance, unread: float) -> None:
        """Count a request's prompt as read: its answer began, or it ended.

        Args:
            instance: The instance of the request.
            unread: The load that `choose` added for the prompt.
        """
        with self.directory.lock:
            instance.unread -= unread
        self.changed.set()

    def done(self, instance: UpstreamInstance) -> None:
        """Remove a request that ended from an instance's load."""
        with self.directory.lock:
            instance.running -= 1
        self.changed.set()

    def _open_instances(
        self, service: str, allowed: Callable[[UpstreamInstance], bool]
    ) -> list[UpstreamInstance]:
        return [
            instance
            for instance in self.directory.of_service(service)
            if instance.open and allowed(instance)
        ]

    def _admitted(
        self, found: list[UpstreamInstance], now: float
    ) -> list[UpstreamInstance]:
        """Return the instances to which this router may send now."""
        pacer = self.pacer
        if pacer is None:
            return [
                instance for instance in found if instance.accepts_requests(now)
            ]
        return [instance for instance in found if pacer.admits(instance, now)]

    def _paced(
        self,
        service: str,
        allowed: Callable[[UpstreamInstance], bool],
        now: float,
    ) -> list[UpstreamInstance]:
        """Return the open instances that are paced."""
        found = self._open_instances(service, allowed)
        return [instance for instance in found if instance.is_paced(now)]

    def _ready_in_s(
        self, pacer: Pacer, instance: UpstreamInstance, now: float
    ) -> float:
        """Return the seconds until a router may send to an instance."""
        after_s = min(
            pacer.due_at(instance, now) - now,
            pacer.others_gap_s(instance, now),
        )
        if instance.is_cold(now) and not instance.is_limited(now):
            after_s = min(after_s, instance.cold_until - now)
        return max(after_s, instance.rest.until - now)

    def _next_reservation(
        self, paced: list[UpstreamInstance], now: float
    ) -> Reservation | None:
        """Return this router's next possible reservation, if any."""
        pacer = self.pacer
        if pacer is None:
            return None
        reservations = (
            (pacer.due_at(instance, now), self.random.random(), instance)
            for instance in paced
        )
        at, _, chosen = min(reservations, default=(math.inf, 0.0, None))
        return (
            None
            if chosen is None or at == math.inf
            else Reservation(chosen, at)
        )

    def _add_request(
        self, chosen: UpstreamInstance, unread: float, at: float
    ) -> None:
        """Add a request, sent at a monotonic time, to an instance's load."""
        chosen.running += 1
        chosen.unread += unread
        if chosen.recent_failures(at) >= EJECTION_FAILURES:
            chosen.trial_at = at + TRIAL_AFTER_S
        if self.pacer is not None:
            self.pacer.record_sent(chosen, at)

    def _without_ejected(
        self, found: list[UpstreamInstance], now: float
    ) -> list[UpstreamInstance]:
        """Leave out ejected instances, unless all are ejected.

        An ejected instance is kept when its trial is due and no request of
        this router runs there.
        """
        healthy = [
            instance
            for instance in found
            if instance.recent_failures(now) < EJECTION_FAILURES
            or (instance.trial_at <= now and not instance.running)
        ]
        return healthy or found

    def _least_loaded(
        self, found: Sequence[UpstreamInstance], now: float
    ) -> UpstreamInstance:
        return min(
            found,
            key=lambda instance: (
                self._load(instance, now),
                self.random.random(),
            ),
        )

    def _probe_candidates(
        self, healthy: Sequence[UpstreamInstance], unread: float, now: float
    ) -> list[UpstreamInstance]:
        """Return the instances to probe for their load.

        They are drawn from the half with the lower load as seen here, so that
        instances known to be full are not probed.
        """
        if self.prober is None or not unread or len(healthy) < MIN_CHOICE:
            return []
        by_load = sorted(
            healthy,
            key=lambda instance: (
                self._load(instance, now),
                self.random.random(),
            ),
        )
        better = by_load[: max(len(by_load) // 2, PROBED_INSTANCES)]
        return self.random.sample(better, min(PROBED_INSTANCES, len(better)))

    def _probe(
        self, candidates: Sequence[UpstreamInstance]
    ) -> dict[UpstreamInstance, Load]:
        """Return the reported loads of the instances that answer a probe."""
        if self.prober is None or not candidates:
            return {}
        loads = self.prober.ask(
            [instance.entry.host for instance in candidates]
        )
        return {
            instance: loads[instance.entry.host]
            for instance in candidates
            if instance.entry.host in loads
        }

    def _least_reported(
        self,
        candidates: Sequence[UpstreamInstance],
        loads: Mapping[UpstreamInstance, Load],
        now: float,
    ) -> UpstreamInstance | None:
        """Return the best probed instance; None where none reports its load.

        Instances that do not answer get their share of the requests, by the
        load as seen here. Without it all requests go to the instances that
        answer, which are full where half of the sidecars are away.
        """
        reported = [
            instance
            for instance in candidates
            if instance in loads and not loads[instance].lost
        ]
        silent = [instance for instance in candidates if instance not in loads]
        if not reported:
            return None
        if self.random.random() * len(candidates) < len(silent):
            return self._least_loaded(silent, now)
        return min(
            reported,
            key=lambda instance: self._reported_load(instance, loads, now),
        )

    def _reported_load(
        self,
        instance: UpstreamInstance,
        reported: Mapping[UpstreamInstance, Load],
        now: float,
    ) -> tuple[float, float]:
        """Return the load from an instance's own report, and a tie-breaker.

        The load is at least what this router itself has running there.
        """
        running = max(reported[instance].running, instance.running)
        load = running + UNREAD_WEIGHT * reported[instance].unread
        load += QUEUED_REQUEST_WEIGHT * max(
            running + 1 - instance.entry.slots, 0
        )
        return load + self._penalty(instance, now), self.random.random()

    def _load(self, instance: UpstreamInstance, now: float) -> float:
        """Return the load of an instance as seen here, with its penalty."""
        others = self.others(instance.mark)
        load: float = instance.running + others.running
        load += UNREAD_WEIGHT * (instance.unread + others.unread)
        return load + self._penalty(instance, now)

    def _penalty(self, instance: UpstreamInstance, now: float) -> float:
        """Return the load added for failures, distance and a cold start."""
        penalty = FAILURE_WEIGHT * instance.recent_failures(now)
        if instance.entry.failure_domain != self.failure_domain:
            penalty += DISTANCE_WEIGHT
        if instance.is_cold(now):
            penalty += COLD_PENALTY
        return penalty


def _untried(
    found: list[UpstreamInstance], tried: Collection[str]
) -> list[UpstreamInstance]:
    """Return the instances not tried yet, or all where all were tried."""
    return [
        instance
        for instance in found
        if instance.entry.incarnation not in tried
    ] or found
