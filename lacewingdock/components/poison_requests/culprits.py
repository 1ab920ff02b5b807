"""Finding the traits that explain crashes.

A crash ends all requests that run at the instance, so every popular trait is
beside every crash. A trait whose requests are answered is cleared by its
answers. Of the others, the one beside the most crashes explains all of these,
and they count against no other trait.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from lacewingdock.components.poison_requests.const import (
    CRASHES_TO_HOLD,
    PART_CRASHES_TO_HOLD,
)
from lacewingdock.components.poison_requests.traits import is_part


@dataclass(slots=True, frozen=True)
class AccusedTrait:
    """A trait with the crashes since a request with it was last answered.

    Attributes:
        trait: The trait.
        crashes: The instances that crashed while they had a request with it.
        recurrent: Whether a request with the trait was sent after an earlier
            one was lost, and was lost too. A common cause that ends many
            instances at one moment makes no trait recurrent.
        was_answered: Whether a request with the trait was ever answered, so
            that a trait without any answer is the likelier cause.
    """

    trait: str
    crashes: frozenset[str]
    recurrent: bool = True
    was_answered: bool = False


@dataclass(slots=True, frozen=True)
class Culprit:
    """Traits that nothing tells apart, one of which crashes instances.

    Attributes:
        traits: The traits; only requests with all of them are refused, so a
            request with one of them still shows which is to blame.
        crashes: The instances that crashed.
    """

    traits: frozenset[str]
    crashes: frozenset[str]


def find_culprits(
    accused: Iterable[AccusedTrait], held: Collection[str] = ()
) -> list[Culprit]:
    """Return the traits that explain the crashes, the worst one first.

    Args:
        accused: The traits with their crashes.
        held: Fingerprints held back already; a part that is beside more
            crashes but not convicted yet does not release them.
    """
    ranked = sorted(accused, key=_rank)
    found: list[Culprit] = []
    explained: set[str] = set()
    for one in ranked:
        if not _is_convicted(one, explained):
            continue
        if one.trait not in held and _is_likelier_by_part(one, ranked):
            continue
        explained |= one.crashes
        found.append(Culprit(_indistinguishable(one, ranked), one.crashes))
    return found


def _rank(one: AccusedTrait) -> tuple[bool, int, bool, str]:
    # Among equals a fingerprint is refused at the lowest price to others.
    return one.was_answered, -len(one.crashes), is_part(one.trait), one.trait


def _is_convicted(one: AccusedTrait, explained: set[str]) -> bool:
    unexplained = len(one.crashes - explained)
    if is_part(one.trait):
        return one.recurrent and unexplained >= PART_CRASHES_TO_HOLD
    return unexplained >= CRASHES_TO_HOLD


def _is_likelier_by_part(
    one: AccusedTrait, ranked: Iterable[AccusedTrait]
) -> bool:
    """Return whether a part explains a fingerprint's crashes and more."""
    return not is_part(one.trait) and any(
        is_part(other.trait)
        and not other.was_answered
        and one.crashes < other.crashes
        for other in ranked
    )


def _indistinguishable(
    one: AccusedTrait, ranked: Iterable[AccusedTrait]
) -> frozenset[str]:
    if not is_part(one.trait):
        return frozenset({one.trait})
    return frozenset(
        other.trait
        for other in ranked
        if is_part(other.trait)
        and other.crashes == one.crashes
        and other.was_answered == one.was_answered
    )
