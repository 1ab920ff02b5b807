"""Support for the ways to decide that the laboratory compares."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError


class InstanceChoice(StrEnum):
    """How an instance is chosen.

    Attributes:
        ASKED: As the router does: three are asked for their load.
        KNOWN: By what routers see and tell each other.
        RANDOM: By a draw.
    """

    PROBED = "asked"
    OBSERVED = "known"
    RANDOM = "random"


class FirstModel(StrEnum):
    """Which model is asked first.

    Attributes:
        CASCADE: As the router does.
        SMALLEST: The smallest, and its answer is taken.
        LARGEST: The largest.
    """

    CASCADE = "cascade"
    SMALLEST = "smallest"
    LARGEST = "largest"


@dataclass(slots=True, frozen=True)
class Policy:
    """A way to decide.

    Attributes:
        name: Its name.
        choice: How an instance is chosen.
        first: Which model is asked first.
        slow_start: Whether cold instances are spared.
        replaced: Whether a start that another answers for is left for good.
        signals: Whether what engines say of themselves is read.
    """

    name: str
    choice: InstanceChoice = InstanceChoice.PROBED
    first: FirstModel = FirstModel.CASCADE
    slow_start: bool = True
    replaced: bool = True
    signals: bool = True


POLICIES: Final = {
    one.name: one
    for one in (
        Policy("router"),
        Policy("known", choice=InstanceChoice.OBSERVED),
        Policy("random", choice=InstanceChoice.RANDOM),
        Policy("smallest", first=FirstModel.SMALLEST),
        Policy("largest", first=FirstModel.LARGEST),
        Policy("no-slow-start", slow_start=False),
        Policy("dead-starts", replaced=False),
        Policy("no-signals", signals=False),
    )
}


def find_policies(names: str) -> list[Policy]:
    """Return the policies of a list of names.

    Raises:
        LacewingdockError: BAD_SETTING, naming the one that there is not.
    """
    found = []
    for name in names.split(","):
        if name not in POLICIES:
            raise LacewingdockError(
                ErrorKind.BAD_SETTING,
                f"--policies: want some of {', '.join(POLICIES)}, not {name!r}",
            )
        found.append(POLICIES[name])
    return found
