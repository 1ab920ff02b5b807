"""Support for roll-outs as they are kept in the platform."""

import math
import time
from dataclasses import dataclass, field
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from lacewingdock.components.exposure.increments import Levels
from lacewingdock.components.rollouts.const import (
    DEFAULT_DWELL_S,
    DEFAULT_PARALLEL,
    DEFAULT_STEPS,
    STATE_LOADING,
    STATES_ACTIVE,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import Stored
from lacewingdock.world.names import Name
from lacewingdock.world.objects import Share


@dataclass(slots=True, kw_only=True)
class Rollout:
    """A version brought in or taken out; one at a time for each model.

    Attributes:
        id: Unique to this roll-out.
        model: The model whose shares move.
        version: The version that is brought in.
        old_shares: The model's shares before, to return to.
        steps: Part of new sessions at each step, growing.
        dwell_s: Seconds that each step lasts at least.
        parallel: Engines that load at once.
        pool: Pool of the engines; empty for all that serve no plain service.
        state: Where it stands.
        step: Index of the present step.
        entered: Wall-clock seconds when the step began; only for pacing.
        paused: Whether an operator, or what went wrong, holds it.
        withdraw: Whether the version is withdrawn on return, so that
            sessions leave it too.
        reason: Why it is held or returns.
        by: The operator of the last command, or "controller".
        fencing: Fencing number of the holder that adopted it.
        sealed: Whether that holder has shut earlier ones out of the model.
        model_revision: Revision of the model as last written or read.
        loaded: Engines that have the version, or are rid of it.
        engines: Engines that shall have it, or be rid of it.
        evidence: Answers that each step waits for, with their ratings; 0
            when only the time decides and evidence against the version.
        levels: What entries compare the version with.
    """

    id: str
    model: Name
    version: Name
    old_shares: dict[Name, Share]
    steps: Annotated[list[Share], Meta(min_length=1, max_length=50)] = field(
        default_factory=lambda: list(DEFAULT_STEPS)
    )
    dwell_s: Annotated[float, Meta(ge=0.0, le=86400.0)] = DEFAULT_DWELL_S
    parallel: Annotated[int, Meta(ge=1, le=1000)] = DEFAULT_PARALLEL
    pool: str = ""
    state: Literal[
        "loading", "raising", "returning", "unloading", "done", "returned"
    ] = STATE_LOADING
    step: int = 0
    entered: float = field(default_factory=time.time)
    paused: bool = False
    withdraw: bool = False
    reason: str = ""
    by: str = ""
    fencing: int = 0
    sealed: bool = False
    model_revision: int = 0
    loaded: int = 0
    engines: int = 0
    evidence: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    levels: Levels = field(default_factory=Levels)

    @property
    def active(self) -> bool:
        """Whether anything is left to do."""
        return self.state in STATES_ACTIVE

    @property
    def share(self) -> float:
        """The present step's part of new sessions."""
        return self.steps[min(self.step, len(self.steps) - 1)]

    def shares(self) -> dict[str, float]:
        """Return the model's shares at the present step.

        The old versions keep their proportions among themselves.
        """
        rest = {v: s for v, s in self.old_shares.items() if v != self.version}
        whole = sum(rest.values())
        new = self.share if whole > 0 else 1.0
        # Twelve digits: the same step must give the same numbers at every
        # holder, or each would find the other's shares wrong.
        shares = {
            v: round((1 - new) * s / whole, 12) if whole > 0 else 0.0
            for v, s in rest.items()
        }
        return {**shares, self.version: new}


def decode_rollout(stored: Stored) -> Rollout | None:
    """Return the roll-out that an object holds; None when there is none.

    Raises:
        LacewingdockError: INTERNAL when the object is no roll-out.
    """
    if not stored.value:
        return None
    try:
        return msgspec.convert(stored.value, Rollout)
    except msgspec.ValidationError as error:
        raise LacewingdockError(
            ErrorKind.INTERNAL, f"roll-out {stored.name}: {error}"
        ) from error


def check_steps(steps: list[float]) -> str:
    """Return what is wrong with the steps; empty when nothing is."""
    if not steps or any(not 0 < s <= 1 or math.isnan(s) for s in steps):
        return "steps must be above 0 and at most 1"
    if steps != sorted(set(steps)):
        return "steps must grow"
    return ""
