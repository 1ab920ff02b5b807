"""Support for refusing the requests with certain traits for a time."""

import random
import time
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from lacewingdock.components.poison_requests.const import (
    HOLD_S,
    IN_FLIGHT_CRASH_S,
    MAX_HOLD_S,
    TRIAL_S,
)
from lacewingdock.components.poison_requests.culprits import Culprit
from lacewingdock.components.poison_requests.trials import TrialClaim


@dataclass(slots=True)
class Hold:
    """The refusal of all requests with certain traits.

    Attributes:
        traits: The traits.
        crashes: Instances whose crashes the hold is based on.
        hold_s: Length of the present hold in seconds, without jitter.
        held_at: Monotonic time of the first crash of the present series.
        held_until: Monotonic time until which no trial is made.
        trial: Id of the request that was last let through as a trial; None if
            there was none. A request may have an empty id.
        trials: Number of the latest trial of any router known here.
        is_trial_due: Whether a request came after the end of the hold, so that
            the right to a trial is to be claimed.
        is_trial_granted: Whether the next request is let through as a trial.
    """

    traits: frozenset[str]
    crashes: frozenset[str] = frozenset()
    hold_s: float = HOLD_S
    held_at: float = 0.0
    held_until: float = 0.0
    trial: str | None = None
    trials: int = 0
    is_trial_due: bool = False
    is_trial_granted: bool = False

    @property
    def name(self) -> str:
        """Name of the hold, the same at all routers."""
        return min(self.traits)


class Holds:
    """The holds in force.

    Attributes:
        random: Source of the jitter of holds.
        by_trait: The latest hold of each trait, also if not in force any more.
        in_force: The holds in force.
    """

    __slots__ = ("by_trait", "in_force", "random")

    def __init__(self, source: random.Random) -> None:
        """Initialize without holds.

        Args:
            source: Source of the jitter of holds.
        """
        self.random = source
        self.by_trait: dict[str, Hold] = {}
        self.in_force: list[Hold] = []

    def find(self, traits: Collection[str]) -> Hold | None:
        """Return the hold that refuses requests with these traits, if any."""
        for hold in self.in_force:
            if hold.traits.issubset(traits):
                return hold
        return None

    def update(self, culprits: Iterable[Culprit], now: float) -> list[Hold]:
        """Replace the holds in force by those of the present culprits.

        Returns:
            The holds that began or that were extended after another crash.
        """
        changed = []
        self.in_force = []
        for culprit in culprits:
            hold = self._hold_of(culprit.traits)
            self.in_force.append(hold)
            if not culprit.crashes <= hold.crashes:
                self._extend(hold, now)
                changed.append(hold)
            hold.crashes = culprit.crashes
        return changed

    def drop(self, trait: str) -> None:
        """Forget all holds on a trait."""
        found = self.by_trait.pop(trait, None)
        if found is not None:
            self.in_force = [
                hold for hold in self.in_force if hold is not found
            ]

    def retain(self, traits: Collection[str]) -> None:
        """Forget the holds on other traits than these."""
        for trait in self.by_trait.keys() - traits:
            self.drop(trait)

    def try_out(self, hold: Hold, call_id: str) -> bool:
        """Return whether to let a request through as the trial of a hold."""
        now = time.monotonic()
        if hold.is_trial_granted:
            hold.is_trial_granted = False
            hold.trial = call_id
            hold.held_until = now + TRIAL_S
            return True
        hold.is_trial_due = now >= hold.held_until
        return False

    def record_claim(self, hold: Hold, claim: TrialClaim) -> None:
        """Record who has the right to the next trial; others wait longer."""
        hold.is_trial_due = False
        hold.trials = claim.trials
        hold.is_trial_granted = claim.is_granted
        if not claim.is_granted:
            self._lengthen(hold)
            hold.held_until = time.monotonic() + self._jittered(hold.hold_s)

    def _hold_of(self, traits: frozenset[str]) -> Hold:
        """Return the hold on traits, after others on some of them if new."""
        known = [
            self.by_trait[trait] for trait in traits if trait in self.by_trait
        ]
        hold = next((one for one in known if one.traits == traits), None)
        if hold is None:
            hold = Hold(traits)
            for before in known:
                hold.hold_s = max(hold.hold_s, before.hold_s)
                hold.held_at = max(hold.held_at, before.held_at)
                hold.held_until = max(hold.held_until, before.held_until)
                hold.crashes |= before.crashes
        self.by_trait |= dict.fromkeys(traits, hold)
        return hold

    def _extend(self, hold: Hold, now: float) -> None:
        """Refuse requests from now on.

        A crash long after the one that started the hold comes from a trial of
        this or another router, so the next hold is longer.
        """
        if now >= hold.held_at + IN_FLIGHT_CRASH_S:
            if hold.held_at:
                self._lengthen(hold)
            hold.held_at = now
        hold.is_trial_granted = False
        until = now + self._jittered(hold.hold_s)
        hold.held_until = max(hold.held_until, until)

    def _lengthen(self, hold: Hold) -> None:
        hold.hold_s = min(2 * hold.hold_s, MAX_HOLD_S)

    def _jittered(self, hold_s: float) -> float:
        # Jitter lets the result of one router's trial reach the other routers
        # before they claim theirs.
        return hold_s * (1.0 + self.random.random())
