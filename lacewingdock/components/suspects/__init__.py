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

from lacewingdock.components.suspects.const import (
    CRASHES_TO_HOLD,
    FORGET_S,
    HOLD_S,
    MAX_HOLD_S,
    MAX_LOGGED,
    MAX_SUSPECTS,
    MAX_TOLD,
    SETTLE_S,
    TELL_AFTER_S,
    TELL_EVERY_S,
    TELL_PAUSE_S,
    TRIAL_S,
)
from lacewingdock.components.suspects.decision import Decision
from lacewingdock.components.suspects.look import Found
from lacewingdock.components.suspects.verdict import Fate, Look, fate_of
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.helpers.digest import digest
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.call import Call

# Instances at which requests were lost, by the requests' fingerprints.
Losses = dict[str, list[str]]

_MET: Final = {
    Look.ITSELF: Decision.MET_ITSELF,
    Look.ANOTHER: Decision.MET_ANOTHER,
    Look.NOTHING: Decision.MET_NOTHING,
    Look.UNCLEAR: Decision.MET_UNCLEAR,
}

log = get_logger("suspects")


@dataclass(slots=True)
class Suspect:
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

    own: dict[str, float] = field(default_factory=dict)
    told: dict[str, float] = field(default_factory=dict)
    hold_s: float = HOLD_S
    held_at: float = 0.0
    held_until: float = 0.0
    crashes: int = 0
    trial: str = ""

    def told_up_to(self, now: float) -> float:
        """Return the monotonic time up to which its losses are told.

        One that was lost at several instances won't be answered at the next.
        """
        losses = len(self.own.keys() | self.told.keys())
        return now if losses > 1 else now - TELL_AFTER_S

    @property
    def newest(self) -> float:
        """Monotonic time of the last loss; long ago where none is left."""
        return max([*self.own.values(), *self.told.values()], default=-math.inf)


class Suspects:
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
        "counts",
        "directory",
        "due",
        "heard",
        "publish",
        "random",
        "reach",
        "suspects",
        "told",
    )

    def __init__(
        self,
        directory: Directory,
        publish: Callable[[Losses], bool],
        reach: Callable[[UpstreamInstance], Found],
        source: random.Random,
    ) -> None:
        """Start without suspects."""
        self.directory = directory
        self.publish = publish
        self.reach = reach
        self.random = source
        self.suspects: dict[str, Suspect] = {}
        self.heard: dict[str, Losses] = {}
        self.told: Losses = {}
        self.counts: Counter[str] = Counter()
        self.due = threading.Event()
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
            if not self._judge(fingerprint, suspect):
                self._let_through(call, fingerprint, suspect)
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
            if not self._judge(fingerprint, suspect):
                return False
            self.counts[Decision.STOPPED] += 1
        log.info("suspect stopped", request=call.id, fingerprint=fingerprint)
        return True

    def _let_through(
        self, call: Call, fingerprint: str, suspect: Suspect
    ) -> None:
        """Tell that a request goes on that was lost before, and why."""
        self.counts[Decision.LET_THROUGH] += 1
        log.info(
            "suspect let through",
            request=call.id,
            fingerprint=fingerprint,
            own=sorted(suspect.own),
            told=sorted(suspect.told),
            crashed=self._crashed(suspect.own),
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
            suspect.own[instance] = time.monotonic()
            own = dict(suspect.own)
            known = len(own.keys() | suspect.told.keys())
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
            self.due.set()
        with self._lock:
            return self._judge(fingerprint, suspect)

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
            own=sorted(found.own),
            told=sorted(found.told),
        )

    def hear(self, router: str, losses: Losses) -> None:
        """Take what another router told; only what is new in it counts."""
        with self._lock:
            before = self.heard.pop(router, {})
            if losses:
                self.heard[router] = losses
            heard: list[str] = []
            for fingerprint, instances in losses.items():
                new = set(instances) - set(before.get(fingerprint, ()))
                if new:
                    suspect = self._suspect(fingerprint)
                    suspect.told |= dict.fromkeys(new, time.monotonic())
                    self._judge(fingerprint, suspect)
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
                own = self._suspect(fingerprint).own
                for name in instances:
                    own.setdefault(name, now)
        log.info("losses recovered", requests=len(losses))

    def run(self, stopping: threading.Event) -> None:
        """Look for what is to be forgotten and told until the daemon stops."""
        while not stopping.wait(TELL_PAUSE_S):
            self.due.wait(TELL_EVERY_S - TELL_PAUSE_S)
            self.due.clear()
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
                self._drop_proved(suspect)
                if now - suspect.newest > FORGET_S:
                    del self.suspects[fingerprint]
            losses = [
                loss
                for suspect in self.suspects.values()
                for loss in suspect.own.items()
                if loss[1] <= suspect.told_up_to(now)
            ]
        self._verify(losses)
        with self._lock:
            found = {
                fingerprint: instances
                for fingerprint, suspect in self.suspects.items()
                if (instances := self._told_of(suspect, now))
            }
        newest = dict(list(found.items())[-MAX_TOLD:])
        if self._is_news(newest) and self.publish(newest):
            self.told = newest

    def held(self) -> int:
        """Return how many requests are held back."""
        now = time.monotonic()
        with self._lock:
            return sum(one.held_until > now for one in self.suspects.values())

    def tell_again(self) -> None:
        """Tell the others all that counts, since the store may have lost it."""
        self.told = {}

    def _is_news(self, losses: Losses) -> bool:
        """Whether losses hold more than what was told.

        What was answered since is left out when there is other news: a call
        for it alone would cost as much and change nothing.
        """
        return any(
            set(instances) - set(self.told.get(fingerprint, ()))
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
            if fate_of(instance, lost_at) is not Fate.UNKNOWN:
                continue
            if instance is not None:
                look = self._look(instance)
                log.info(
                    "loss verified",
                    upstream=name,
                    answers=look,
                    lost_s=round(time.monotonic() - lost_at, 3),
                )

    def _look(self, instance: UpstreamInstance) -> Look:
        """Ask at an instance's address, and take what that shows of it."""
        asked_at = time.monotonic()
        found = self.reach(instance)
        match found.look:
            case Look.ITSELF:
                instance.answered(asked_at)
            case Look.ANOTHER:
                self.directory.mark_replaced(instance, found.answered_by)
            case Look.NOTHING:
                instance.record_connect_failure()
        self.counts[_MET[found.look]] += 1
        return found.look

    def _drop_proved(self, suspect: Suspect) -> None:
        """Drop losses at instances that lived on.

        They would count as crashes once these leave, as planned.
        """
        for losses in (suspect.own, suspect.told):
            for name, lost_at in list(losses.items()):
                if self._fate(name, lost_at) is Fate.PROVED:
                    del losses[name]

    def _suspect(self, fingerprint: str) -> Suspect:
        """Return the record of a request, as the newest one."""
        suspect = self.suspects.pop(fingerprint, None) or Suspect()
        self.suspects[fingerprint] = suspect
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
        return suspect

    def _judge(self, fingerprint: str, suspect: Suspect) -> bool:
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
            self._hold(fingerprint, suspect)
        return True

    def _hold(self, fingerprint: str, suspect: Suspect) -> None:
        """Hold a request back from now on.

        A crash long after the one that it is held for is a trial's, here or at
        another router: the next trial comes later.
        """
        now = time.monotonic()
        if now >= suspect.held_at + SETTLE_S:
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
            own=sorted(suspect.own),
            told=sorted(suspect.told),
            hold_s=round(hold_s, 1),
        )

    def _crashes(self, suspect: Suspect) -> set[str]:
        """Return the instances that crashed; tellers saw that theirs did."""
        told = {
            name
            for name, last_received_at in suspect.told.items()
            if not self._shows_life(name, last_received_at)
        }
        return told.union(self._crashed(suspect.own))

    def _told_of(self, suspect: Suspect, now: float) -> list[str]:
        """Return the crashed instances that the others are to know of."""
        return self._crashed(suspect.own, suspect.told_up_to(now))

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
        return self._fate(name, lost_at) is Fate.CRASHED

    def _shows_life(self, name: str, since: float) -> bool:
        return self._fate(name, since) in (Fate.PROVED, Fate.LIVES)

    def _fate(self, name: str, lost_at: float) -> Fate:
        return fate_of(self.directory.incarnation(name), lost_at)


def fingerprint_of(call: Call, workspace: str) -> str:
    """Return what repeats of a request have in common: caller, path, body."""
    if not call.fingerprint:
        call.fingerprint = digest(
            workspace.encode(), call.method, call.target, call.body
        )
    return call.fingerprint
