"""Support for claiming the right to try out a refused request.

After a hold one request is let through, to see whether it still crashes an
instance. Of a whole fleet one router may do so at a time, rarely: the routers
claim the right in the platform's store. While the store does not answer, there
are no trials.
"""

import time
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.object_api import ABSENT, ObjectApi

KIND_TRIALS: Final = "lacewingdock-trials"
OBJECT_NAME: Final = "claims"
# Maximum number of holds with claims; the ones with the oldest claims go first.
MAX_CLAIMS: Final = 64

log = get_logger("suspects")


@dataclass(slots=True, frozen=True)
class TrialClaim:
    """Result of claiming the next trial of a hold.

    Attributes:
        is_granted: Whether this router may make the trial.
        trials: Number of trials of the hold so far, including a granted one.
    """

    is_granted: bool
    trials: int


@dataclass(slots=True)
class _Claim:
    trials: int
    claimed_at: float


@dataclass(slots=True)
class _Claims:
    """The spec of the stored object: claims by the names of the holds."""

    claims: dict[str, _Claim] = field(default_factory=dict)


class TrialClaims:
    """Claims the right to trials in the platform's store.

    Attributes:
        api: Client of the platform's store.
        revision: Last observed revision of the stored object.
        claims: The claims as of that revision, by the names of the holds.
    """

    __slots__ = ("api", "claims", "revision")

    def __init__(self, api: ObjectApi) -> None:
        """Initialize; the first claim reads the stored object."""
        self.api = api
        self.revision = ABSENT
        self.claims: dict[str, _Claim] = {}

    def claim(self, hold: str, known_trials: int) -> TrialClaim | None:
        """Claim the next trial of a hold.

        Args:
            hold: Name of the hold.
            known_trials: Number of trials that were known as the hold began.

        Returns:
            The result; not granted if another router made a trial meanwhile.
            None if the store does not answer, or another claim came between.
        """
        if self._trials(hold) > known_trials:
            return TrialClaim(False, self._trials(hold))
        claims = dict(self.claims)
        claims[hold] = _Claim(known_trials + 1, time.time())
        oldest_first = sorted(claims.items(), key=lambda one: one[1].claimed_at)
        spec: Any = msgspec.to_builtins(
            _Claims(dict(oldest_first[-MAX_CLAIMS:]))
        )
        try:
            written, found = self.api.write(
                KIND_TRIALS, OBJECT_NAME, spec, self.revision, "trial-claim"
            )
            stored = msgspec.convert(found.spec or {}, _Claims)
        except (LacewingdockError, msgspec.ValidationError) as error:
            log.warning("trial not claimed", hold=hold, error=str(error))
            return None
        self.revision, self.claims = found.revision, stored.claims
        if not written and self._trials(hold) <= known_trials:
            return None
        log.info(
            "trial claimed",
            hold=hold,
            granted=written,
            trials=self._trials(hold),
        )
        return TrialClaim(written, self._trials(hold))

    def _trials(self, hold: str) -> int:
        claim = self.claims.get(hold)
        return claim.trials if claim else 0
