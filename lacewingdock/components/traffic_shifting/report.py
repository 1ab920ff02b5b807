"""Support for the routers' reports on roll-outs."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgspec

from lacewingdock.platform.objects import StoredObject


class Stage(IntEnum):
    """How far a router has moved its requests, in ascending order.

    Attributes:
        CANARY: A small share of the requests goes to the new version.
        RAMP: Half of the sessions go to the new version.
        ALL: All requests go to the new version.
    """

    CANARY = 0
    RAMP = 1
    ALL = 2


@dataclass(slots=True)
class Report:
    """One router's progress and observations in a roll-out.

    Attributes:
        service: Name of the service.
        target: The new version.
        router: Instance name of the router.
        incarnation: Incarnation of the router.
        elapsed_s: Seconds since the order by the router's own count.
        stage: How far the router has moved its requests.
        answers: Number of the new version's answers to this router.
        bad: Number of bad answers among them.
        bad_instances: Ids of the instances that gave bad answers.
        old_running: Number of requests running on other versions.
        found_bad: Whether the router considers the version bad.
    """

    service: str
    target: str
    router: str
    incarnation: str
    elapsed_s: float = 0.0
    stage: Stage = Stage.CANARY
    answers: int = 0
    bad: int = 0
    bad_instances: list[str] = field(default_factory=list)
    old_running: int = 0
    found_bad: bool = False

    @property
    def name(self) -> str:
        """Name of the stored object of the report."""
        return f"{self.service}.{self.router}"


def read_report(stored: StoredObject) -> Report | None:
    """Decode a stored report; None if the object is no valid report."""
    spec: Any = stored.spec
    try:
        return msgspec.convert(spec, Report)
    except msgspec.ValidationError:
        return None
