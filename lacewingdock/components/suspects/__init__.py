"""Support for requests that crash the upstream instances that run them.

Such a request comes again, through any router, and would take one instance
after the other down. Every router notes at which instances a request was lost,
tells the others, and refuses it once the sum is clear.
"""

import math
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from lacewingdock.components.suspects.address_check import AddressCheck
from lacewingdock.components.suspects.const import (
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
from lacewingdock.components.suspects.crash_verdict import (
    CrashVerdict,
    Responder,
    judge_crash,
)
from lacewingdock.components.suspects.decision import Decision
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import Instance
from lacewingdock.helpers.digest import digest
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.call import Call

# Instances at which requests were lost, by the requests' fingerprints.
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
    """A request that was lost and not answered since.

    Attributes:
        own: Instances at which this router lost it, with the monotonic time.
        told: Instances at which other routers did, with the time of hearing.
        hold_s: For how long a crash has it held back.
        held_at: Monotonic time of the first crash of the present bout; 0 while
            it was never held back.
        held_until: Monotonic time until which it is held back.
        crashes: Crashed instances that the present hold goes by.
        trial: Id of the request that passed as a trial last.
    """

    own_losses: dict[str, float] = field(default_factory=dict)
    peer_losses: dict[str, float] = field(default_factory=dict)
    hold_s: float = HOLD_S
    held_at: float = 0.0
    held_until: float = 0.0
    crashes: int = 0
    trial: str = ""

    def publishable_until(self, now: float) -> float:
        """Return the monotonic time up to which its losses are told.

        One that was lost at several instances won't be answered at the next.
        """
        losses = len(self.own_losses.keys() | self.peer_losses.keys())
        return now if losses > 1 else now - PUBLISH_AFTER_S

    @property
    def newest_loss_at(self) -> float:
        """Monotonic time of the last loss; long ago where none is left."""
        return max(
            [*self.own_losses.values(), *self.peer_losses.values()],
            default=-math.inf,
        )


class PoisonRequests:
    """The requests that were lost at instances, by fingerprint.

    Attributes:
        directory: The upstream instances.
        publish: Tells the other routers; returns whether they can know.
        reach: Asks at an instance's address; returns who answered.
        random: Source of draws.
        suspects: The requests, the oldest first.
        heard: What each other router told last.
        told: What was told to them last.
        counts: What was decided since the start, for the metrics.
        due: Set when there is something that the others are to know at once.
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
        check_address: Callable[[Instance], AddressCheck],
        source: random.Random,
    ) -> None:
        """Start without suspects."""
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
        """Whether a request is held back, as it crashes what runs it.

        Costs nothing while no request was lost. Once it was held back for
        long enough, one passes as a trial.
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
        log.info("suspect tried", request=call.id, fingerprint=fingerprint)
        return False

    def is_held(self, call: Call, workspace: str) -> bool:
        """Whether an admitted request is held back by now.

        The one that passes as a trial is not.
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
        log.info("suspect stopped", request=call.id, fingerprint=fingerprint)
        return True

    def _record_let_through(
        self, call: Call, fingerprint: str, suspect: SuspectRequest
    ) -> None:
        """Tell that a request goes on that was lost before, and why."""
        self.counts[Decision.LET_THROUGH] += 1
        log.info(
            "suspect let through",
            request=call.id,
            fingerprint=fingerprint,
            own=sorted(suspect.own_losses),
            told=sorted(suspect.peer_losses),
            crashed=self._crashed(suspect.own_losses),
        )

    def lost(self, call: Call, workspace: str, instance: str) -> bool:
        """Note that an instance ended the connection of a request it had.

        Args:
            call: The request.
            workspace: Its workspace.
            instance: The instance, by its start.

        Returns:
            Whether the request is to be run no more.
        """
        fingerprint = fingerprint_of(call, workspace)
        with self._lock:
            suspect = self._suspect(fingerprint)
            suspect.own_losses[instance] = time.monotonic()
            own = dict(suspect.own_losses)
            known = len(own.keys() | suspect.peer_losses.keys())
            self.counts[Decision.NOTED] += 1
        log.info(
            "loss",
            request=call.id,
            fingerprint=fingerprint,
            upstream=instance,
            known=known,
        )
        if known > 1:
            self._verify(own.items())
            self.publish_due.set()
        with self._lock:
            return self._update_hold(fingerprint, suspect)

    def passed_over(self, call: Call, instance: str, why: Decision) -> None:
        """Tell of an attempt that broke and does not count as a loss."""
        self.counts[why] += 1
        log.info(
            "loss passed over", request=call.id, upstream=instance, why=why
        )

    def answered(self, call: Call, workspace: str) -> None:
        """Note that an instance ran a request to a whole answer."""
        if not self.suspects:
            return
        fingerprint = fingerprint_of(call, workspace)
        with self._lock:
            found = self.suspects.pop(fingerprint, None)
            if found is None:
                return
            self.counts[Decision.CLEARED] += 1
        log.info(
            "suspect cleared",
            request=call.id,
            fingerprint=fingerprint,
            own=sorted(found.own_losses),
            told=sorted(found.peer_losses),
        )

    def receive(self, router: str, losses: Losses) -> None:
        """Take what another router told; only what is new in it counts."""
        with self._lock:
            before = self.received.pop(router, {})
            if losses:
                self.received[router] = losses
            heard: list[str] = []
            for fingerprint, instances in losses.items():
                new = set(instances) - set(before.get(fingerprint, ()))
                if new:
                    suspect = self._suspect(fingerprint)
                    suspect.peer_losses |= dict.fromkeys(new, time.monotonic())
                    self._update_hold(fingerprint, suspect)
                    heard.append(fingerprint)
            self.counts[Decision.HEARD] += len(heard)
        if heard:
            log.info(
                "losses heard",
                router=router,
                requests=len(heard),
                fingerprints=heard[-MAX_LOGGED:],
            )

    def recover(self, losses: Losses) -> None:
        """Take what an earlier start of this router told as its own.

        The others are told again: some may not know it, and this start's
        words go in place of it.
        """
        if not losses:
            return
        now = time.monotonic()
        with self._lock:
            for fingerprint, instances in losses.items():
                own = self._suspect(fingerprint).own_losses
                for name in instances:
                    own.setdefault(name, now)
        log.info("losses recovered", requests=len(losses))

    def run(self, stopping: threading.Event) -> None:
        """Look for what is to be forgotten and told until the daemon stops."""
        while not stopping.wait(PUBLISH_PAUSE_S):
            self.publish_due.wait(PUBLISH_EVERY_S - PUBLISH_PAUSE_S)
            self.publish_due.clear()
            try:
                self.round()
            except Exception:
                # Without it no crash would be told to the others any more.
                log.exception("round failed")

    def round(self) -> None:
        """Forget what is old, and tell the others what is new."""
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
        """Return how many requests are held back."""
        now = time.monotonic()
        with self._lock:
            return sum(one.held_until > now for one in self.suspects.values())

    def republish(self) -> None:
        """Tell the others all that counts, since the store may have lost it."""
        self.published = {}

    def _has_unpublished(self, losses: Losses) -> bool:
        """Whether losses hold more than what was told.

        What was answered since is left out when there is other news: a call
        for it alone would cost as much and change nothing.
        """
        return any(
            set(instances) - set(self.published.get(fingerprint, ()))
            for fingerprint, instances in losses.items()
        )

    def _verify(self, losses: Iterable[tuple[str, float]]) -> None:
        """Learn of instances that lost a request whether they crashed.

        Without this, nothing tells where no other request goes there. What
        stays unclear is asked again in the next round.

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
                    "loss verified",
                    upstream=name,
                    answers=responder,
                    lost_s=round(time.monotonic() - lost_at, 3),
                )

    def _check_address(self, instance: Instance) -> Responder:
        """Ask at an instance's address, and take what that shows of it."""
        asked_at = time.monotonic()
        found = self.check_address(instance)
        match found.responder:
            case Responder.ITSELF:
                instance.answered(asked_at)
            case Responder.ANOTHER:
                self.directory.answered_by_other(instance, found.answered_by)
            case Responder.NOTHING:
                instance.took_no_connection()
        self.counts[_DECISION_BY_RESPONDER[found.responder]] += 1
        return found.responder

    def _drop_survived(self, suspect: SuspectRequest) -> None:
        """Drop losses at instances that lived on.

        They would count as crashes once these leave, as planned.
        """
        for losses in (suspect.own_losses, suspect.peer_losses):
            for name, lost_at in list(losses.items()):
                if self._crash_verdict(name, lost_at) is CrashVerdict.SURVIVED:
                    del losses[name]

    def _suspect(self, fingerprint: str) -> SuspectRequest:
        """Return the record of a request, as the newest one."""
        suspect = self.suspects.pop(fingerprint, None) or SuspectRequest()
        self.suspects[fingerprint] = suspect
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
        return suspect

    def _update_hold(self, fingerprint: str, suspect: SuspectRequest) -> bool:
        """Hold a request back, or for longer, as crashes come to be known.

        It goes by what is known now: a loss may turn out to be a crash long
        after it was noted, as the instance's entry runs out.

        Returns:
            Whether enough speaks against it.
        """
        crashes = len(self._crashes(suspect))
        grown, suspect.crashes = crashes > suspect.crashes, crashes
        if crashes < CRASHES_TO_HOLD:
            return False
        if grown:
            self._start_hold(fingerprint, suspect)
        return True

    def _start_hold(self, fingerprint: str, suspect: SuspectRequest) -> None:
        """Hold a request back from now on.

        A crash long after the one that it is held for is a trial's, here or at
        another router: the next trial comes later.
        """
        now = time.monotonic()
        if now >= suspect.held_at + IN_FLIGHT_CRASH_S:
            if suspect.held_at:
                suspect.hold_s = min(2 * suspect.hold_s, MAX_HOLD_S)
            suspect.held_at = now
        # Spread, so that one router's trial tells the others before theirs.
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
        """Return the instances that crashed; tellers saw that theirs did."""
        told = {
            name
            for name, heard_at in suspect.peer_losses.items()
            if not self._seems_alive(name, heard_at)
        }
        return told.union(self._crashed(suspect.own_losses))

    def _publishable_crashes(
        self, suspect: SuspectRequest, now: float
    ) -> list[str]:
        """Return the crashed instances that the others are to know of."""
        return self._crashed(suspect.own_losses, suspect.publishable_until(now))

    def _crashed(
        self, losses: dict[str, float], before: float = math.inf
    ) -> list[str]:
        """Return the instances that crashed when they lost a request.

        Args:
            losses: The instances, with the monotonic times of the losses.
            before: Monotonic time up to which losses count.
        """
        return sorted(
            name
            for name, lost_at in losses.items()
            if lost_at <= before and self._has_crashed(name, lost_at)
        )

    def _has_crashed(self, name: str, lost_at: float) -> bool:
        """Whether a start crashed when it lost a request."""
        return self._crash_verdict(name, lost_at) is CrashVerdict.CRASHED

    def _seems_alive(self, name: str, since: float) -> bool:
        return self._crash_verdict(name, since) in (
            CrashVerdict.SURVIVED,
            CrashVerdict.LIKELY_ALIVE,
        )

    def _crash_verdict(self, name: str, lost_at: float) -> CrashVerdict:
        return judge_crash(self.directory.incarnation(name), lost_at)


def fingerprint_of(call: Call, workspace: str) -> str:
    """Return what repeats of a request have in common: caller, path, body."""
    if not call.fingerprint:
        call.fingerprint = digest(
            workspace.encode(), call.method, call.target, call.body
        )
    return call.fingerprint
