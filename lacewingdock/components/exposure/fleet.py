"""Support for judging a version on what the whole fleet saw.

Whoever holds the roll-outs' lease adds up what the entries published. It
keeps nothing that the next holder would need: that one adds the same objects
up and comes to the same sum.
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from lacewingdock.components.exposure.const import (
    LEVEL_STEP,
    MAX_REMOVED,
    NAME,
    RATINGS_PER_REQUEST,
)
from lacewingdock.components.exposure.increments import (
    Increments,
    Levels,
    sum_up,
)
from lacewingdock.components.rollouts.record import Rollout
from lacewingdock.components.rollouts.verdict import (
    GoOn,
    Hold,
    Return,
    Verdict,
)
from lacewingdock.const import COLLECTION_EXPOSURE
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger

log = get_logger(NAME)


@dataclass(slots=True)
class Read:
    """What was read of one roll-out.

    Attributes:
        revision: Up to where.
        parts: What each run of an entry saw, by object name.
    """

    revision: int = -1
    parts: dict[str, Increments] = field(default_factory=dict)


class FleetJudge:
    """Judges versions for the holder of the roll-outs' lease.

    Attributes:
        store: The platform.
        rated: Whether a rating service is configured.
        read: What was read, by roll-out id.
        listed: Names and revisions of published objects, perhaps to be
            removed; None until they were listed.
        again: Whether they must be listed once more.
    """

    __slots__ = ("again", "listed", "rated", "read", "store")

    def __init__(self, store: Any, rated: bool) -> None:
        """Start without evidence."""
        self.store = store
        self.rated = rated
        self.read: dict[str, Read] = {}
        self.listed: list[tuple[str, int]] | None = None
        self.again = False

    def refresh(self, rollout: Rollout) -> Increments:
        """Read what the entries published since, and add it all up.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        known = self.read.setdefault(rollout.id, Read())
        # Only what changed: a list of 1,200 objects each round would cost
        # the holder some 300 KB a second, which is all its control budget.
        listing = self.store.list_all(
            COLLECTION_EXPOSURE, NAME, f"{rollout.id}/", known.revision
        )
        for stored in listing.objects:
            if stored.value is None:
                continue
            try:
                part = msgspec.convert(stored.value, Increments)
            except msgspec.ValidationError as error:
                log.error("bad evidence", name=stored.name, error=str(error))
                continue
            known.parts[stored.name] = part
        known.revision = listing.revision
        return sum_up(known.parts.values())

    def verdict(self, rollout: Rollout) -> Verdict:
        """Say what the fleet's evidence tells of a roll-out's version.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        seen = self.refresh(rollout)
        reason = seen.reason()
        if reason:
            return Return(reason)
        answers = rollout.evidence * (rollout.step + 1)
        ratings = round(answers * RATINGS_PER_REQUEST) if self.rated else 0
        if seen.answered < answers or seen.rated < ratings:
            return Hold(
                f"waits for {answers} answers and {ratings} ratings of it"
            )
        return GoOn()

    def levels(self, rollout: Rollout) -> Levels:
        """Return what the entries shall go by; call after `verdict`."""
        known = self.read.get(rollout.id, Read())
        found = sum_up(known.parts.values()).levels()
        old = rollout.levels
        if found.rating is None or old.rating is None:
            moved = found.rating is not old.rating
        else:
            moved = abs(found.rating - old.rating) > LEVEL_STEP
        moved = moved or abs(found.errors - old.errors) > LEVEL_STEP
        return found if moved else old

    def clean(self, active: set[str]) -> None:
        """Remove a few of the objects of roll-outs that have ended.

        A holder that froze comes with an old list of active roll-outs and
        would remove the evidence of one that began since. So the objects
        are listed a round earlier than the roll-outs that they are held
        against: what is listed then and not active now has ended, since an
        id is never used again.

        Args:
            active: Ids of the active roll-outs, read just before.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        over = [known for known in self.read if known not in active]
        for known in over:
            del self.read[known]
        if self.listed is None or over:
            listing = self.store.list_all(COLLECTION_EXPOSURE, NAME)
            self.listed = [
                (o.name, o.revision)
                for o in listing.objects
                if o.value is not None
            ]
            return
        self.listed = [
            (name, revision)
            for name, revision in self.listed
            if name.split("/")[0] not in active
        ]
        for _ in range(min(MAX_REMOVED, len(self.listed))):
            self._remove(*self.listed[-1])
            self.listed.pop()
        if self.again and not self.listed:
            self.listed, self.again = None, False

    def _remove(self, name: str, revision: int) -> None:
        try:
            self.store.put(COLLECTION_EXPOSURE, name, None, revision, NAME)
        except LacewingdockError as error:
            if error.kind is not ErrorKind.CONFLICT:
                raise
            # Its entry wrote once more, or an answer was lost.
            self.again = True
