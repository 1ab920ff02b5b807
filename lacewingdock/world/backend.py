"""Support for the platform's entries of upstream instances and roll-outs."""

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(slots=True, frozen=True)
class UpstreamEntry:
    """An upstream instance as listed in the platform's store.

    Attributes:
        id: Id of the instance; a restart may reuse the same id.
        service: Name of the service that the instance runs.
        host: IP address.
        port: Port for requests.
        failure_domain: Failure domain of the instance.
        version: Software version.
        slots: Number of requests that the instance runs concurrently.
        leaving: Whether the instance drains and accepts no new requests.
        born: Unix time of the start, in milliseconds; 0 if unknown.
        cold_left_s: Seconds of cold start left when the entry was written.
        created: Revision that created the entry; 0 if unknown.
        sequence: Report counter kept by the instance.
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
    # Excluded from comparison: an entry that differs only in its sequence
    # holds no change.
    sequence: int = field(default=0, compare=False)

    @property
    def incarnation(self) -> str:
        """Identifier of one start of the instance.

        Observations of an instance and connections to it belong to a single
        start: after a crash the instance has lost its earlier state.
        """
        return f"{self.id}@{self.born}" if self.born else self.id

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port."""
        return self.host, self.port


class ShiftState(StrEnum):
    """Progress of an order that moves a service to a version."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def ended(self) -> bool:
        """Whether the order has reached a final state."""
        return self in (ShiftState.COMPLETED, ShiftState.ROLLED_BACK)


@dataclass(slots=True, frozen=True)
class ShiftOrder:
    """An order to move a service's requests to a version.

    Attributes:
        name: Name of the order object.
        revision: Revision of the order object.
        service: Name of the service.
        target: Version to move to.
        duration_s: Seconds within which the move must complete.
        state: Progress of the order.
    """

    name: str
    revision: int
    service: str
    target: str
    duration_s: float
    state: ShiftState = ShiftState.ORDERED
