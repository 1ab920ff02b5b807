"""Messages by which routers exchange their copies of a kind."""

from dataclasses import dataclass

from lacewingdock.platform.objects import ObjectChanges, Snapshot


@dataclass(slots=True)
class Copy:
    """One router's answer to another that asks for a kind of objects.

    Attributes:
        sure: Whether the answering router's own calls reach the store and
            return complete lists.
        snapshot: Its complete copy; None if it has no newer one, or if changes
            suffice.
        changes: Changes after the revision that was asked for.
        too_long: Whether the asking router must get the changes from the store
            instead: they are so long that sending them to each follower would
            saturate the link of the answering router.
        age_s: Seconds since the time for which the store confirmed the copy.
    """

    sure: bool
    snapshot: Snapshot | None = None
    changes: ObjectChanges | None = None
    too_long: bool = False
    age_s: float | None = None


@dataclass(slots=True, frozen=True)
class CopyAge:
    """Revision and freshness of a copy.

    Attributes:
        changed: Revision of its last change.
        revision: Revision up to which it is complete.
        as_of: Time on this router's clock for which it is confirmed to be
            complete.
    """

    changed: int
    revision: int
    as_of: float
