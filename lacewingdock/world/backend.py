"""Support for what the platform says of upstream instances and roll-outs."""

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(slots=True, frozen=True)
class UpstreamEntry:
    """An upstream instance as the platform's list shows it.

    Attributes:
        id: Its id. An instance may start again under the one that it had.
        service: What it serves.
        host: IP number.
        port: Port.
        failure_domain: Where it stands.
        version: Version of its software.
        slots: Requests it runs at once.
        leaving: Whether it takes no new work.
        born: Unix time of its start, in milliseconds; 0 where not said.
        cold_left_s: Seconds for which it stays cold, when that was written.
        created: Revision of the entry's first writing; 0 where not said.
        sequence: The instance's own count of its reports.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    version: str
    slots: int
    leaving: bool = False
    born: int = 0
    cold_left_s: float = 0.0
    created: int = 0
    # An entry that differs in this alone says nothing new.
    sequence: int = field(default=0, compare=False)

    @property
    def incarnation(self) -> str:
        """Name of this very start of it.

        Whatever was seen of an instance, or is held open to it, belongs to one
        start: after a crash it knows nothing of what came before.
        """
        return f"{self.id}@{self.born}" if self.born else self.id

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port."""
        return self.host, self.port


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
