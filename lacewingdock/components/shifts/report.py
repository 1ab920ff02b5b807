"""Support for what a router reports of a roll-out."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgspec

from lacewingdock.platform.objects import StoredObject


class Stage(IntEnum):
    """How far a router moved its requests, in this order."""

    CANARY = 0
    RAMP = 1
    ALL = 2


@dataclass(slots=True)
class Report:
    """What one router saw of a roll-out.

    Attributes:
        service: The service.
        target: The new version.
        router: The router's instance name.
        incarnation: Its start.
        elapsed_s: Seconds since the order, as it reckons.
        stage: How far it moved its requests.
        answers: Answers of the new version.
        bad: Bad ones among them.
        bad_instances: Instances that gave them.
        old_running: Requests that run on other versions.
        found_bad: Whether it holds the version for bad.
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
        """Name of its object."""
        return f"{self.service}.{self.router}"


def read_report(stored: StoredObject) -> Report | None:
    """Decode a report; None where it is none."""
    spec: Any = stored.spec
    try:
        return msgspec.convert(spec, Report)
    except msgspec.ValidationError:
        return None
