"""Support for load reports of engines."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """Load that an engine reports about itself.

    Attributes:
        running: Number of running requests.
        waiting: Number of queued requests.
        events: Events generated so far by id of the running request.
    """

    running: int
    waiting: int
    events: dict[str, int] = field(default_factory=dict)
