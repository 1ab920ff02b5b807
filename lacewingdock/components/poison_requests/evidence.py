"""Support for the evidence against the traits of lost requests."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from lacewingdock.components.poison_requests.const import (
    GOSSIP_S,
    MAX_ANSWERED_PARTS,
    MAX_CLEARED,
    MAX_GOSSIPED,
    MAX_GOSSIPED_CRASHES,
    MAX_SUSPECTS,
    PART_ANSWERED_S,
    PUBLISH_AFTER_S,
)
from lacewingdock.components.poison_requests.crash_checker import CrashChecker
from lacewingdock.components.poison_requests.crash_verdict import CrashVerdict
from lacewingdock.components.poison_requests.culprits import AccusedTrait
from lacewingdock.components.poison_requests.report import Losses
from lacewingdock.components.poison_requests.traits import is_part
from lacewingdock.helpers.lru import insert_lru


@dataclass(slots=True)
class Suspect:
    """A trait whose requests were lost, and not answered since.

    Attributes:
        own_losses: Instances at which this router lost a request with the
            trait, with the monotonic time of each loss.
        peer_losses: Instances at which other routers lost one, with the
            monotonic time at which each report was received.
        unconfirmed: Instances among the own losses that seemed to answer in
            full, but closed the connection instead of ending the answer.
        recurrent: Whether a request was lost that was sent after another loss,
            here or at another router.
        crashes: The crashed instances, as of the last evaluation.
    """

    own_losses: dict[str, float] = field(default_factory=dict)
    peer_losses: dict[str, float] = field(default_factory=dict)
    unconfirmed: set[str] = field(default_factory=set)
    recurrent: bool = False
    crashes: frozenset[str] = frozenset()

    @property
    def instances(self) -> set[str]:
        """Instances that lost a request."""
        return self.own_losses.keys() | self.peer_losses.keys()

    @property
    def losses(self) -> int:
        """Number of instances that lost a request."""
        if not self.peer_losses:
            return len(self.own_losses)
        return len(self.instances)

    @property
    def first_loss_at(self) -> float:
        """Monotonic time of the first loss; infinity without losses."""
        times = [*self.own_losses.values(), *self.peer_losses.values()]
        return min(times, default=math.inf)

    @property
    def newest_loss_at(self) -> float:
        """Monotonic time of the last loss; minus infinity without losses."""
        times = [*self.own_losses.values(), *self.peer_losses.values()]
        return max(times, default=-math.inf)

    def publishable_until(self, now: float) -> float:
        """Return the monotonic time up to which losses may be published.

        A request that was lost at several instances is unlikely to be answered
        by the next one, so its losses are published without delay.
        """
        return now if self.losses > 1 else now - PUBLISH_AFTER_S


class Evidence:
    """The suspect traits, from this router's losses and those of others.

    Attributes:
        checker: Tells crashed instances from others.
        suspects: Suspects by trait, least recently lost first.
        answered_at: Monotonic time at which a request with a prompt part was
            last answered here, by trait.
        cleared: Instances whose loss of a request does not count against a
            trait any more, by trait.
    """

    __slots__ = ("answered_at", "checker", "cleared", "suspects")

    def __init__(self, checker: CrashChecker) -> None:
        """Initialize without suspects."""
        self.checker = checker
        self.suspects: dict[str, Suspect] = {}
        self.answered_at: dict[str, float] = {}
        self.cleared: dict[str, set[str]] = {}

    def add_loss(
        self, trait: str, instance: str, sent_at: float, now: float
    ) -> Suspect | None:
        """Record that this router lost a request with a trait.

        Args:
            trait: The trait.
            instance: The incarnation that lost the request.
            sent_at: Monotonic time at which the request was sent.
            now: Monotonic time.

        Returns:
            The suspect; None if the loss does not count against the trait,
            since a request with it was answered a moment ago.
        """
        if now - self.answered_at.get(trait, -math.inf) < PART_ANSWERED_S:
            return None
        suspect = self.suspect(trait)
        suspect.recurrent |= suspect.first_loss_at < sent_at
        suspect.own_losses[instance] = now
        suspect.unconfirmed.discard(instance)
        return suspect

    def add_peer_losses(
        self, trait: str, instances: Iterable[str], now: float
    ) -> bool:
        """Record losses that another router reports; return if any is new."""
        known = self.suspects.get(trait)
        cleared = self.cleared.get(trait, ())
        new = [
            name
            for name in instances
            if name not in cleared
            and (known is None or name not in known.peer_losses)
        ]
        if new:
            suspect = self.suspect(trait)
            suspect.peer_losses |= dict.fromkeys(new, now)
        return bool(new)

    def answer(self, trait: str, now: float) -> Suspect | None:
        """Record an answered request, which clears its traits.

        Returns:
            The suspect that was dropped, if there was one.
        """
        if is_part(trait):
            insert_lru(self.answered_at, trait, now, MAX_ANSWERED_PARTS)
        suspect = self.suspects.pop(trait, None)
        if suspect is not None:
            self._remember_cleared(trait, suspect.instances)
        return suspect

    def clear(self, trait: str, instances: Collection[str]) -> bool:
        """Drop losses that another router cleared; return if any counted."""
        self._remember_cleared(trait, instances)
        suspect = self.suspects.get(trait)
        if suspect is None:
            return False
        before = suspect.losses
        for name in instances:
            suspect.own_losses.pop(name, None)
            suspect.peer_losses.pop(name, None)
        if not suspect.losses:
            del self.suspects[trait]
        return suspect.losses < before

    def drop_expired(self, before: float) -> None:
        """Drop the suspects whose last loss is older than a monotonic time."""
        for trait, suspect in list(self.suspects.items()):
            if suspect.newest_loss_at < before:
                del self.suspects[trait]

    def drop_survived(self) -> list[str]:
        """Drop losses at instances that survived them.

        The losses would count as crashes once these instances leave as planned.

        Returns:
            The traits that are cleared, since an instance survived an answer
            that it ended by closing the connection.
        """
        answered = []
        for trait, suspect in list(self.suspects.items()):
            survived = self._survived(suspect)
            if suspect.unconfirmed & survived:
                answered.append(trait)
            elif survived:
                self.clear(trait, survived)
        return answered

    def _survived(self, suspect: Suspect) -> set[str]:
        losses = [*suspect.own_losses.items(), *suspect.peer_losses.items()]
        return {
            name
            for name, lost_at in losses
            if self.checker.verdict(name, lost_at) is CrashVerdict.SURVIVED
        }

    def evaluate(self, suspect: Suspect) -> frozenset[str]:
        """Return the instances that crashed as they lost the request.

        The losses are evaluated again each time: a loss may turn out to be a
        crash long after it was recorded, when the instance's entry expires.
        """
        own = self.checker.crashed(suspect.own_losses)
        if not suspect.peer_losses:
            return frozenset(own)
        return frozenset(own | self.checker.not_alive(suspect.peer_losses))

    def is_unanswered_part(self, trait: str) -> bool:
        """Whether a trait is a prompt part without any answer here."""
        return is_part(trait) and trait not in self.answered_at

    def accused(self, min_losses: int) -> list[AccusedTrait]:
        """Evaluate the suspects with a number of losses, and return them."""
        found = []
        for trait, suspect in self.suspects.items():
            if suspect.losses < min_losses:
                suspect.crashes = frozenset()
                continue
            suspect.crashes = self.evaluate(suspect)
            found.append(
                AccusedTrait(
                    trait,
                    suspect.crashes,
                    suspect.recurrent,
                    trait in self.answered_at,
                )
            )
        return found

    def unverified(self, now: float) -> list[tuple[str, float]]:
        """Return the own losses at instances to be checked, with their times.

        An answer that ended with its connection is usually complete, so its
        instance is only checked where a crash may matter soon.
        """
        found = []
        for trait, suspect in self.suspects.items():
            until = suspect.publishable_until(now)
            is_whole = suspect.losses == len(suspect.unconfirmed)
            if not is_whole or self.is_unanswered_part(trait):
                losses = suspect.own_losses.items()
                found += [loss for loss in losses if loss[1] <= until]
        return found

    def recent_part_crashes(self, now: float) -> Losses:
        """Return the own crashes of the parts that were lost just now.

        Of the parts, the ones with the most crashes are returned.
        """
        found = {
            trait: sorted(crashes)[-MAX_GOSSIPED_CRASHES:]
            for trait, suspect in self.suspects.items()
            if is_part(trait)
            and suspect.newest_loss_at > now - GOSSIP_S
            and (crashes := self.checker.crashed(suspect.own_losses))
        }
        if len(found) <= MAX_GOSSIPED:
            return found
        most = sorted(found, key=lambda trait: self.suspects[trait].losses)
        return {trait: found[trait] for trait in most[-MAX_GOSSIPED:]}

    def publishable(self, now: float) -> Losses:
        """Return the own crashes that other routers should know."""
        found = {}
        for trait, suspect in self.suspects.items():
            until = suspect.publishable_until(now)
            losses = {
                n: at for n, at in suspect.own_losses.items() if at <= until
            }
            if crashes := self.checker.crashed(losses):
                found[trait] = sorted(crashes)
        return found

    def suspect(self, trait: str) -> Suspect:
        """Return a trait's record, created if missing, as the newest."""
        suspect = self.suspects.pop(trait, None) or Suspect()
        self.suspects[trait] = suspect
        if len(self.suspects) > MAX_SUSPECTS:
            self._evict()
        return suspect

    def _evict(self) -> None:
        """Drop the suspect with the fewest losses, the oldest of these.

        Each crash accuses all requests that ran at the instance, so harmless
        ones would evict the cause of the crashes by their number.
        """
        newest = next(reversed(self.suspects))
        others = (trait for trait in self.suspects if trait != newest)
        del self.suspects[min(others, key=lambda t: self.suspects[t].losses)]

    def _remember_cleared(self, trait: str, names: Iterable[str]) -> None:
        known = self.cleared.get(trait, set())
        insert_lru(self.cleared, trait, known | set(names), MAX_CLEARED)
