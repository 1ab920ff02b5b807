"""Support for what the platform says of upstream instances and roll-outs."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(slots=True, frozen=True)
class UpstreamEntry:
    """An upstream instance as the platform's list shows it.

    Attributes:
        id: Id of this very start of it.
        service: What it serves.
        host: IP number.
        port: Port.
        failure_domain: Where it stands.
        version: Version of its software.
        slots: Requests it runs at once.
        leaving: Whether it takes no new work.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    version: str
    slots: int
    leaving: bool = False


class ShiftState(StrEnum):
    """What became of an order to move a service to a version."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def ended(self) -> bool:
        """Whether nothing is left to do."""
        return self in (ShiftState.COMPLETED, ShiftState.ROLLED_BACK)


@dataclass(slots=True, frozen=True)
class ShiftOrder:
    """An order to move a service's requests to a version.

    Attributes:
        name: Name of the order's object.
        revision: Revision of that object.
        service: The service.
        target: The version to move to.
        duration_s: Seconds in which it shall be done.
        state: What became of it.
    """

    name: str
    revision: int
    service: str
    target: str
    duration_s: float
    state: ShiftState = ShiftState.ORDERED
