"""Support for poison requests, which crash the instances that run them.

A poison request is retried through any router and would crash one instance
after another. Every router records at which instances a request was lost,
publishes these losses to the other routers, and refuses the request once the
losses of all routers include enough crashes.
"""

import math
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from lacewingdock.components.poison_requests.address_check import AddressCheck
from lacewingdock.components.poison_requests.const import (
    CRASHES_TO_HOLD,
    HOLD_S,
    IN_FLIGHT_CRASH_S,
    MAX_HOLD_S,
    MAX_LOGGED,
    MAX_PUBLISHED,
    MAX_SUSPECTS,
    PUBLISH_AFTER_S,
    PUBLISH_EVERY_S,
    PUBLISH_PAUSE_S,
    SUSPECT_EXPIRY_S,
    TRIAL_S,
)
from lacewingdock.components.poison_requests.crash_verdict import (
    CrashVerdict,
    Responder,
    judge_crash,
)
from lacewingdock.components.poison_requests.decision import Decision
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.helpers.digest import digest
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.call import Call

# Names of the instances that lost a request, by the request's fingerprint.
Losses = dict[str, list[str]]

_DECISION_BY_RESPONDER: Final = {
    Responder.ITSELF: Decision.MET_ITSELF,
    Responder.ANOTHER: Decision.MET_ANOTHER,
    Responder.NOTHING: Decision.MET_NOTHING,
    Responder.UNCLEAR: Decision.MET_UNCLEAR,
}

log = get_logger("suspects")


@dataclass(slots=True)
class SuspectRequest:
    """A request that was lost and has not been answered since.

    Attributes:
        own_losses: Instances at which this router lost the request, with the
            monotonic time of each loss.
        peer_losses: Instances at which other routers lost it, with the
            monotonic time at which each report was received.
        hold_s: Length of the present hold in seconds, without jitter.
        held_at: Monotonic time of the first crash of the present series; 0 if
            the request was never held.
        held_until: Monotonic time until which the request is refused.
        crashes: Number of crashed instances on which the hold is based.
        trial: Id of the request that was last let through as a trial.
    """

    own_losses: dict[str, float] = field(default_factory=dict)
    peer_losses: dict[str, float] = field(default_factory=dict)
    hold_s: float = HOLD_S
    held_at: float = 0.0
    held_until: float = 0.0
    crashes: int = 0
    trial: str = ""

    def publishable_until(self, now: float) -> float:
        """Return the monotonic time up to which losses may be published.

        A request that was lost at several instances is unlikely to be answered
        by the next one, so its losses are published without delay.
        """
        losses = len(self.own_losses.keys() | self.peer_losses.keys())
        return now if losses > 1 else now - PUBLISH_AFTER_S

    @property
    def newest_loss_at(self) -> float:
        """Monotonic time of the last loss; minus infinity without losses."""
        return max(
            [*self.own_losses.values(), *self.peer_losses.values()],
            default=-math.inf,
        )


class PoisonRequests:
    """Detects poison requests and refuses them for a time.

    Attributes:
        directory: The upstream instances.
        publish: Publishes losses to the other routers; returns whether the
            publication was stored.
        check_address: Checks which instance answers at an instance's address.
        random: Source of the jitter of holds.
        suspects: Suspect requests by fingerprint, least recently lost first.
        received: Losses in the latest report of each other router.
        published: Losses in this router's latest publication.
        counts: Decisions since the start, for the metrics.
        publish_due: Set when losses are to be published without delay.
    """

    __slots__ = (
        "_lock",
        "check_address",
        "counts",
        "directory",
        "publish",
        "publish_due",
        "published",
        "random",
        "received",
        "suspects",
    )

    def __init__(
        self,
        directory: Directory,
        publish: Callable[[Losses], bool],
        check_address: Callable[[UpstreamInstance], AddressCheck],
        source: random.Random,
    ) -> None:
        """Initialize without suspect requests.

        Args:
            directory: The upstream instances.
            publish: Publishes losses to the other routers; returns whether
                the publication was stored.
            check_address: Checks which instance answers at an instance's
                address.
            source: Source of the jitter of holds.
        """
        self.directory = directory
        self.publish = publish
        self.check_address = check_address
        self.random = source
        self.suspects: dict[str, SuspectRequest] = {}
        self.received: dict[str, Losses] = {}
        self.published: Losses = {}
        self.counts: Counter[str] = Counter()
        self.publish_due = threading.Event()
        self._lock = threading.Lock()

    def holds(self, call: Call, workspace: str) -> bool:
        """Whether to refuse a request because it likely crashes instances.

        The request is not hashed while there are no suspects. After a hold
        ends, one copy of the request is let through as a trial.
        """
        if not self.suspects:
            return False
        fingerprint = fingerprint_of(call, workspace)
        with self._lock:
            suspect = self.suspects.get(fingerprint)
            if suspect is None:
                return False
            if not self._update_hold(fingerprint, suspect):
                self._record_let_through(call, fingerprint, suspect)
                return False
            now = time.monotonic()
            if now < suspect.held_until:
                self.counts[Decision.REFUSED] += 1
                return True
            suspect.held_until = now + TRIAL_S
            suspect.trial = call.id
            self.counts[Decision.TRIED] += 1
        log.info(
            "suspect request let through as a trial",
            request=call.id,
            fingerprint=fingerprint,
        )
        return False

    def is_held(self, call: Call, workspace: str) -> bool:
        """Whether to stop an admitted request because of a hold since then.

        The request that was let through as a trial is never stopped.
        """
        if not self.suspects:
            return False
        fingerprint = fingerprint_of(call, workspace)
        with self._lock:
            suspect = self.suspects.get(fingerprint)
            if suspect is None or suspect.trial == call.id:
                return False
            if not self._update_hold(fingerprint, suspect):
                return False
            self.counts[Decision.STOPPED] += 1
        log.info(
            "suspect request stopped", request=call.id, fingerprint=fingerprint
        )
        return True

    def _record_let_through(
        self, call: Call, fingerprint: str, suspect: SuspectRequest
    ) -> None:
        """Count and log a request that is let through despite losses."""
        self.counts[Decision.LET_THROUGH] += 1
        log.info(
            "suspect request let through",
            request=call.id,
            fingerprint=fingerprint,
            own=sorted(suspect.own_losses),
            told=sorted(suspect.peer_losses),
            crashed=self._crashed(suspect.own_losses),
        )

    def lost(self, call: Call, workspace: str, instance: str) -> bool:
        """Record that an instance closed the connection of a running request.

        Args:
            call: The request.
            workspace: The request's workspace.
            instance: Id of the instance's incarnation.

        Returns:
            Whether the request must not be attempted again.
        """
        fingerprint = fingerprint_of(call, workspace)
        with self._lock:
            suspect = self._suspect(fingerprint)
            suspect.own_losses[instance] = time.monotonic()
            own = dict(suspect.own_losses)
            losses = len(own.keys() | suspect.peer_losses.keys())
            self.counts[Decision.NOTED] += 1
        log.info(
            "loss",
            request=call.id,
            fingerprint=fingerprint,
            upstream=instance,
            known=losses,
        )
        if losses > 1:
            self._verify(own.items())
            self.publish_due.set()
        with self._lock:
            return self._update_hold(fingerprint, suspect)

    def passed_over(self, call: Call, instance: str, why: Decision) -> None:
        """Count and log a failed attempt that does not count as a loss."""
        self.counts[why] += 1
        log.info(
            "failed attempt not counted as a loss",
            request=call.id,
            upstream=instance,
            why=why,
        )

    def answered(self, call: Call, workspace: str) -> None:
        """Drop the losses of a request that got a complete answer."""
        if not self.suspects:
            return
        fingerprint = fingerprint_of(call, workspace)
        with self._lock:
            found = self.suspects.pop(fingerprint, None)
            if found is None:
                return
            self.counts[Decision.CLEARED] += 1
        log.info(
            "suspect request cleared",
            request=call.id,
            fingerprint=fingerprint,
            own=sorted(found.own_losses),
            told=sorted(found.peer_losses),
        )

    def receive(self, router: str, losses: Losses) -> None:
        """Add losses that another router did not report before."""
        with self._lock:
            before = self.received.pop(router, {})
            if losses:
                self.received[router] = losses
            changed: list[str] = []
            for fingerprint, instances in losses.items():
                new = set(instances) - set(before.get(fingerprint, ()))
                if new:
                    suspect = self._suspect(fingerprint)
                    suspect.peer_losses |= dict.fromkeys(new, time.monotonic())
                    self._update_hold(fingerprint, suspect)
                    changed.append(fingerprint)
            self.counts[Decision.HEARD] += len(changed)
        if changed:
            log.info(
                "losses heard",
                router=router,
                requests=len(changed),
                fingerprints=changed[-MAX_LOGGED:],
            )

    def recover(self, losses: Losses) -> None:
        """Restore the losses that an earlier start of this router published.

        They are published again: this start's report replaces the earlier one,
        which some routers may not have received.
        """
        if not losses:
            return
        now = time.monotonic()
        with self._lock:
            for fingerprint, instances in losses.items():
                own = self._suspect(fingerprint).own_losses
                for name in instances:
                    own.setdefault(name, now)
        log.info("losses of an earlier start restored", requests=len(losses))

    def run(self, stopping: threading.Event) -> None:
        """Expire and publish losses until the daemon stops."""
        while not stopping.wait(PUBLISH_PAUSE_S):
            self.publish_due.wait(PUBLISH_EVERY_S - PUBLISH_PAUSE_S)
            self.publish_due.clear()
            try:
                self.round()
            except Exception:
                # If this task ended, no losses would be published any more.
                log.exception("publication of losses failed")

    def round(self) -> None:
        """Drop expired suspects, and publish new losses."""
        now = time.monotonic()
        with self._lock:
            for fingerprint, suspect in list(self.suspects.items()):
                self._drop_survived(suspect)
                if now - suspect.newest_loss_at > SUSPECT_EXPIRY_S:
                    del self.suspects[fingerprint]
            losses = [
                loss
                for suspect in self.suspects.values()
                for loss in suspect.own_losses.items()
                if loss[1] <= suspect.publishable_until(now)
            ]
        self._verify(losses)
        with self._lock:
            found = {
                fingerprint: instances
                for fingerprint, suspect in self.suspects.items()
                if (instances := self._publishable_crashes(suspect, now))
            }
        newest = dict(list(found.items())[-MAX_PUBLISHED:])
        if self._has_unpublished(newest) and self.publish(newest):
            self.published = newest

    def held(self) -> int:
        """Return the number of requests refused at present."""
        now = time.monotonic()
        with self._lock:
            return sum(one.held_until > now for one in self.suspects.values())

    def republish(self) -> None:
        """Publish all losses again, since the store may have lost them."""
        self.published = {}

    def _has_unpublished(self, losses: Losses) -> bool:
        """Whether losses contain any that were not published before.

        Losses that were cleared since are withdrawn with the next publication.
        A publication for that alone would cost a call and change nothing.
        """
        return any(
            set(instances) - set(self.published.get(fingerprint, ()))
            for fingerprint, instances in losses.items()
        )

    def _verify(self, losses: Iterable[tuple[str, float]]) -> None:
        """Check instances that lost a request and whose state is unknown.

        Without this check there is no evidence about an instance that gets no
        other request. If the result is unclear, the next round checks again.

        Args:
            losses: The instances, with the monotonic times of the losses.
        """
        for name, lost_at in losses:
            instance = self.directory.incarnation(name)
            if judge_crash(instance, lost_at) is not CrashVerdict.UNKNOWN:
                continue
            if instance is not None:
                responder = self._check_address(instance)
                log.info(
                    "address checked after a loss",
                    upstream=name,
                    answers=responder,
                    lost_s=round(time.monotonic() - lost_at, 3),
                )

    def _check_address(self, instance: UpstreamInstance) -> Responder:
        """Check an instance's address, and record the result."""
        asked_at = time.monotonic()
        found = self.check_address(instance)
        match found.responder:
            case Responder.ITSELF:
                instance.answered(asked_at)
            case Responder.ANOTHER:
                self.directory.mark_replaced(instance, found.answered_by)
            case Responder.NOTHING:
                instance.record_connect_failure()
        self.counts[_DECISION_BY_RESPONDER[found.responder]] += 1
        return found.responder

    def _drop_survived(self, suspect: SuspectRequest) -> None:
        """Drop losses at instances that survived them.

        The losses would count as crashes once these instances leave as planned.
        """
        for losses in (suspect.own_losses, suspect.peer_losses):
            for name, lost_at in list(losses.items()):
                if self._crash_verdict(name, lost_at) is CrashVerdict.SURVIVED:
                    del losses[name]

    def _suspect(self, fingerprint: str) -> SuspectRequest:
        """Return a request's record, created if missing, as the newest."""
        suspect = self.suspects.pop(fingerprint, None) or SuspectRequest()
        self.suspects[fingerprint] = suspect
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
        return suspect

    def _update_hold(self, fingerprint: str, suspect: SuspectRequest) -> bool:
        """Start or extend a hold when the number of crashes has grown.

        The losses are evaluated again each time: a loss may turn out to be a
        crash long after it was recorded, when the instance's entry expires.

        Returns:
            Whether the crashes suffice for a hold.
        """
        crashes = len(self._crashes(suspect))
        grown, suspect.crashes = crashes > suspect.crashes, crashes
        if crashes < CRASHES_TO_HOLD:
            return False
        if grown:
            self._start_hold(fingerprint, suspect)
        return True

    def _start_hold(self, fingerprint: str, suspect: SuspectRequest) -> None:
        """Refuse a request from now on.

        A crash long after the one that started the hold comes from a trial of
        this or another router, so the next hold is longer.
        """
        now = time.monotonic()
        if now >= suspect.held_at + IN_FLIGHT_CRASH_S:
            if suspect.held_at:
                suspect.hold_s = min(2 * suspect.hold_s, MAX_HOLD_S)
            suspect.held_at = now
        # Jitter lets the result of one router's trial reach the other routers
        # before they start theirs.
        hold_s = suspect.hold_s * (1.0 + self.random.random())
        suspect.held_until = max(suspect.held_until, now + hold_s)
        self.counts[Decision.HELD] += 1
        log.warning(
            "request held back",
            fingerprint=fingerprint,
            own=sorted(suspect.own_losses),
            told=sorted(suspect.peer_losses),
            hold_s=round(hold_s, 1),
        )

    def _crashes(self, suspect: SuspectRequest) -> set[str]:
        """Return the instances that crashed.

        Other routers publish crashes only, so a loss that they reported counts
        unless its instance shows signs of life here.
        """
        peer_crashes = {
            name
            for name, last_received_at in suspect.peer_losses.items()
            if not self._seems_alive(name, last_received_at)
        }
        return peer_crashes.union(self._crashed(suspect.own_losses))

    def _publishable_crashes(
        self, suspect: SuspectRequest, now: float
    ) -> list[str]:
        """Return the crashed instances to publish."""
        return self._crashed(suspect.own_losses, suspect.publishable_until(now))

    def _crashed(
        self, losses: dict[str, float], before: float = math.inf
    ) -> list[str]:
        """Return the instances that crashed when they lost the request.

        Args:
            losses: The instances, with the monotonic times of the losses.
            before: Latest monotonic time of a loss to include.
        """
        return sorted(
            name
            for name, lost_at in losses.items()
            if lost_at <= before and self._has_crashed(name, lost_at)
        )

    def _has_crashed(self, name: str, lost_at: float) -> bool:
        """Whether an instance crashed when it lost a request."""
        return self._crash_verdict(name, lost_at) is CrashVerdict.CRASHED

    def _seems_alive(self, name: str, since: float) -> bool:
        return self._crash_verdict(name, since) in (
            CrashVerdict.SURVIVED,
            CrashVerdict.LIKELY_ALIVE,
        )

    def _crash_verdict(self, name: str, lost_at: float) -> CrashVerdict:
        return judge_crash(self.directory.incarnation(name), lost_at)


def fingerprint_of(call: Call, workspace: str) -> str:
    """Return the hash that all copies of a request share.

    It covers the workspace, the method, the target and the body.
    """
    if not call.fingerprint:
        call.fingerprint = digest(
            workspace.encode(), call.method, call.target, call.body
        )
    return call.fingerprint
