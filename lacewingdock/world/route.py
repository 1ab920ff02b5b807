"""Support for routes: where a request goes, and what may be repeated."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum


class Repeat(StrEnum):
    """How often a request may run.

    Attributes:
        IDEMPOTENT: Any number of times.
        ONCE: Once at most; after it was sent, it is not sent again.
        RESUMABLE: A stream that another run may go on with after an event.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"


@dataclass(slots=True, frozen=True)
class Target:
    """A service that a route sends to, with its share of the requests."""

    service: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
        name: Its name.
        host: Host that callers name.
        prefix: What their path starts with; begins and ends with a slash.
        targets: The services, one at least.
        repeat: How often a request may run.
        streaming: Whether the answer is a series of events.
        timeout_s: Longest time a caller is kept waiting.
        goal_s: Time to the answer, or its first event, that is on time.
        gap_s: Longest pause between events that is on time; 0 for none.
        priority: Its rank; 0 is first.
        models: Models that may answer, smallest first; empty where the
            caller names one.
        max_attempts: Instances that one request may be sent to.
        public: Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    repeat: Repeat
    streaming: bool = False
    timeout_s: float = 30.0
    goal_s: float = 1.0
    gap_s: float = 0.0
    priority: int = 5
    models: tuple[str, ...] = ()
    max_attempts: int = 1
    public: bool = False


@dataclass(slots=True, frozen=True)
class Caller:
    """The workspace that a key belongs to.

    Attributes:
        workspace: Its name.
        priority: Its rank, which goes before the route's; None for none.
    """

    workspace: str
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """What a caller may send, and how slowly.

    Attributes:
        header_bytes: Longest head of a request.
        body_bytes: Longest body.
        read_s: Seconds by which a request must have come.
        idle_s: Seconds that a connection may stay open without a request.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    read_s: float = 3.0
    idle_s: float = 15.0


@dataclass(slots=True, frozen=True)
class ServiceLimits:
    """What an instance of a service takes.

    Attributes:
        name: The service.
        max_connections: Connections from all callers together.
        cold_start_s: Seconds for which it is cold after its start.
        cold_per_s: Requests a second that it bears while it is cold; 0 for any
            number.
        model_costs: Cost of 1,000 generated tokens by model.
        health_path: Path at which an instance says how it fares; empty where
            none is named.
    """

    name: str
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    model_costs: dict[str, float] = field(default_factory=dict)
    health_path: str = ""

    def relative_cost(self, model: str) -> float:
        """Return a model's cost as a part of the dearest one's.

        Costs stand for the time that an upstream takes for a token.
        """
        most = max(self.model_costs.values(), default=0.0)
        cost = self.model_costs.get(model, most)
        return cost / most if most > 0 else 1.0


class RoutingTable:
    """One version of the configuration, ready for look-ups.

    Attributes:
        version: Its version; later ones are higher.
        routes: The routes.
        callers: Callers by key; None where no keys are asked for.
        limits: What callers may send.
        services: The services by name.
    """

    __slots__ = (
        "_by_host",
        "callers",
        "limits",
        "routes",
        "services",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: list[Route],
        callers: dict[str, Caller] | None = None,
        limits: CallerLimits | None = None,
        services: dict[str, ServiceLimits] | None = None,
    ) -> None:
        """Build the look-ups."""
        self.version = version
        self.routes = routes
        self.callers = callers
        self.limits = limits or CallerLimits()
        self.services = services or {}
        by_host: defaultdict[str, list[Route]] = defaultdict(list)
        for route in routes:
            by_host[route.host.lower()].append(route)
        for found in by_host.values():
            found.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_host = dict(by_host)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
