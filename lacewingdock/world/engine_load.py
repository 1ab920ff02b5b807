"""Support for what an engine says of its work."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """What an engine has to do, by its own word.

    Attributes:
        running: Requests that run.
        waiting: Requests in its queue.
        events: Events made so far for each request that runs, by its id.
    """

    running: int
    waiting: int
    events: dict[str, int] = field(default_factory=dict)
