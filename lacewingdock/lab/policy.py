"""Routing policies that the simulation compares."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError


class InstanceChoice(StrEnum):
    """How a router chooses an instance.

    Attributes:
        PROBED: As in production: three instances are probed for their load.
        OBSERVED: By the load that the routers observe and report to each
            other, without probes.
        RANDOM: Uniformly at random.
    """

    PROBED = "asked"
    OBSERVED = "known"
    RANDOM = "random"


class FirstModel(StrEnum):
    """Which model a request is sent to first.

    Attributes:
        CASCADE: The model that the production router's cascade selects.
        SMALLEST: The smallest model, whose answer is always accepted.
        LARGEST: The largest model.
    """

    CASCADE = "cascade"
    SMALLEST = "smallest"
    LARGEST = "largest"


@dataclass(slots=True, frozen=True)
class Policy:
    """A routing policy.

    Attributes:
        name: Name of the policy.
        choice: How a router chooses an instance.
        first: Which model a request is sent to first.
        slow_start: Whether requests to cold instances are paced.
        replaced: Whether a router stops using an instance once another start
            has answered at its address.
        signals: Whether routers apply the limits, rests and leaving notices in
            engines' answers.
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
    """Return the policies named in a comma-separated list.

    Raises:
        LacewingdockError: BAD_SETTING, naming the unknown policy.
    """
    policies = []
    for name in names.split(","):
        if name not in POLICIES:
            raise LacewingdockError(
                ErrorKind.BAD_SETTING,
                f"--policies: want any of {', '.join(POLICIES)}, not {name!r}",
            )
        policies.append(POLICIES[name])
    return policies
