"""Support for the routing table and the retry policy of routes."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum


class Repeat(StrEnum):
    """Retry policy: how often a request may run.

    Attributes:
        IDEMPOTENT: The request may run any number of times.
        ONCE: At most once; a request that was sent is never retried.
        RESUMABLE: A stream that another run may resume after an event.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"


@dataclass(slots=True, frozen=True)
class Target:
    """A destination service of a route with its weight."""

    service: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Route:
    """Destinations and limits of requests by host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host requested by callers.
        prefix: Path prefix; begins and ends with a slash.
        targets: Destination services, at least one.
        repeat: Retry policy.
        streaming: Whether the response is a stream of events.
        timeout_s: Maximum time that a caller waits, in seconds.
        goal_s: Latency objective of the response or its first event, in
            seconds.
        gap_s: Objective for the pause between events, in seconds; 0 for none.
        priority: Priority; 0 is the highest.
        models: Models that may answer, smallest first; empty if the caller
            chooses the model.
        max_attempts: Maximum number of instances tried per request.
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
    """The workspace that an API key belongs to.

    Attributes:
        workspace: Name of the workspace.
        priority: Priority that overrides the route's; None for no override.
    """

    workspace: str
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Size limits and timeouts for callers.

    Attributes:
        header_bytes: Maximum size of the request line and headers, in bytes.
        body_bytes: Maximum size of the body, in bytes.
        read_s: Timeout for receiving a request, in seconds.
        idle_s: Timeout of an idle connection, in seconds.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    read_s: float = 3.0
    idle_s: float = 15.0


@dataclass(slots=True, frozen=True)
class ServiceLimits:
    """Limits of one instance of a service.

    Attributes:
        name: Name of the service.
        max_connections: Maximum connections from all callers together.
        cold_start_s: Seconds for which an instance is cold after its start.
        cold_per_s: Requests per second that a cold instance can serve; 0 for no
            limit.
        model_costs: Cost per 1,000 generated tokens by model.
        health_path: Path of the health check; empty for none.
    """

    name: str
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    model_costs: dict[str, float] = field(default_factory=dict)
    health_path: str = ""

    def relative_cost(self, model: str) -> float:
        """Return the cost of a model relative to the most expensive model.

        Costs approximate the time that an upstream takes per token.
        """
        most = max(self.model_costs.values(), default=0.0)
        cost = self.model_costs.get(model, most)
        return cost / most if most > 0 else 1.0


class RoutingTable:
    """Routing configuration of one version, indexed by host.

    Attributes:
        version: Version of the configuration; increases with each change.
        routes: All routes.
        callers: Callers by API key; None if no keys are required.
        limits: Limits for callers.
        services: Limits of services by name.
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
        """Index the routes by host, longest prefix first."""
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
        """Return the route with the longest matching prefix, if any."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
