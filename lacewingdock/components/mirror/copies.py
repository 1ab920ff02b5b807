"""Support for what routers tell each other of their copies."""

from dataclasses import dataclass

from lacewingdock.platform.objects import ObjectChanges, Snapshot


@dataclass(slots=True)
class Copy:
    """What one router tells another of a kind of objects.

    Attributes:
        sure: Whether its own calls reach the store and show whole lists.
        snapshot: Its copy; None where it has none newer, or changes do.
        changes: What changed after the revision that was asked for.
        too_long: Whether what is newer must be had from the store: passed on
            to each follower it would fill this router's link.
        age_s: Seconds since the moment for which the store said what it is.
    """

    sure: bool
    snapshot: Snapshot | None = None
    changes: ObjectChanges | None = None
    too_long: bool = False
    age_s: float | None = None


@dataclass(slots=True, frozen=True)
class CopyAge:
    """How complete a copy is.

    Attributes:
        changed: Revision of its last change.
        revision: Revision up to which it is complete.
        as_of: Moment of this router's clock for which it is known to be.
    """

    changed: int
    revision: int
    as_of: float
