"""Support for what is thought of a version while it is brought in."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class GoOn:
    """Nothing speaks against the next step."""


@dataclass(slots=True, frozen=True)
class Hold:
    """There is not enough evidence for the next step."""

    reason: str


@dataclass(slots=True, frozen=True)
class Return:
    """The version is bad: return to the old shares and withdraw it."""

    reason: str


Verdict = GoOn | Hold | Return
