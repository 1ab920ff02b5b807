"""Support for judging a version by the evidence of the whole fleet.

The holder of the roll-outs' lease adds up the evidence that the entries
publish. It has no state that the next holder would need: that one adds up the
same objects, with the same result.
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
class PublishedEvidence:
    """Evidence on one roll-out that was read from the store.

    Attributes:
        revision: Revision up to which it was read.
        parts: Evidence of each start of an entry, by object name.
    """

    revision: int = -1
    parts: dict[str, Increments] = field(default_factory=dict)


class FleetJudge:
    """Judges versions for the holder of the roll-outs' lease.

    Attributes:
        store: The platform's store.
        rated: Whether a rating service is configured.
        read: Evidence read so far, by roll-out id.
        listed: Names and revisions of published objects that may have to be
            removed; None until they are listed.
        must_relist: Whether the objects must be listed again.
    """

    __slots__ = ("listed", "must_relist", "rated", "read", "store")

    def __init__(self, store: Any, rated: bool) -> None:
        """Create a judge without evidence."""
        self.store = store
        self.rated = rated
        self.read: dict[str, PublishedEvidence] = {}
        self.listed: list[tuple[str, int]] | None = None
        self.must_relist = False

    def refresh(self, rollout: Rollout) -> Increments:
        """Read the evidence published since the last call; return the sum.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        known = self.read.setdefault(rollout.id, PublishedEvidence())
        # Reads only changes: a list of 1,200 objects per round would take
        # some 300 KB/s, far more than the control budget of a daemon.
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
        """Return the verdict of the fleet's evidence on a roll-out's version.

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
        """Return the levels for the entries' bets; call after `verdict`."""
        known = self.read.get(rollout.id, PublishedEvidence())
        found = sum_up(known.parts.values()).levels()
        old = rollout.levels
        if found.rating is None or old.rating is None:
            moved = found.rating is not old.rating
        else:
            moved = abs(found.rating - old.rating) > LEVEL_STEP
        moved = moved or abs(found.errors - old.errors) > LEVEL_STEP
        return found if moved else old

    def clean(self, active: set[str]) -> None:
        """Remove some objects of roll-outs that have ended.

        A holder that was paused has an outdated list of active roll-outs and
        would remove the evidence of one that began since. So the objects are
        listed one round before the roll-outs that they are compared with: an
        object listed then whose roll-out is not active now belongs to one that
        has ended, since ids are never reused.

        Args:
            active: Ids of the active roll-outs, read immediately before.

        Raises:
            LacewingdockError: PLATFORM_UNAVAILABLE.
        """
        ended = [known for known in self.read if known not in active]
        for known in ended:
            del self.read[known]
        if self.listed is None or ended:
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
        if self.must_relist and not self.listed:
            self.listed, self.must_relist = None, False

    def _remove(self, name: str, revision: int) -> None:
        try:
            self.store.put(COLLECTION_EXPOSURE, name, None, revision, NAME)
        except LacewingdockError as error:
            if error.kind is not ErrorKind.CONFLICT:
                raise
            # The entry wrote again, or the answer to a removal was lost.
            self.must_relist = True
