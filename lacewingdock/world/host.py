"""Support for what the platform says of the instance a router runs on."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Bounds:
    """What the platform's operators hold the router to.

    Attributes:
        contact_s: Seconds without a disturbance after which an instance is
            held to the bounds.
        drain_s: Seconds in which a leaving upstream gets no new request.
        grace_s: Seconds from the order to stop to the kill.
        apply_s: Seconds in which a configuration is in force.
        retry_ratio: Repeats per request of a service, over the fleet.
        retry_window_s: Span over which repeats are counted.
        retry_extra: Repeats allowed in a span besides, over the fleet.
        exposure_share: Largest share of a service's requests that a bad
            version may get while it is rolled out.
        exposure_tolerance: Requests that it may get besides.
        rollback_s: Seconds after which a version found bad gets nothing.
        session_s: Longest pause between requests of a session.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    apply_s: float = 2.0
    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_extra: float = 10.0
    exposure_share: float = 0.1
    exposure_tolerance: float = 0.0
    rollback_s: float = 5.0
    session_s: float = 5.0


@dataclass(slots=True, kw_only=True)
class HostProfile:
    """What the platform says of the instance that a router runs on.

    Attributes:
        instance: Name of this instance.
        failure_domain: Where it stands.
        address: IP number it is reached at.
        callers_address: Where callers connect.
        ready_address: Where the balancer asks whether it is ready.
        peer_address: Where other routers call this one.
        first_peers: Addresses of other routers, known before the store
            answers; they may be out of date.
        platform: URL of the platform's object API.
        platform_writes_per_s: Writes a second for the whole fleet.
        platform_reads_per_s: Reads a second for the whole fleet.
        heartbeat_s: Seconds between signs of life of an upstream.
        memory_mb: Memory beyond which the process is killed.
        max_files: Open files and sockets.
        bounds: What it is held to.
    """

    instance: str
    failure_domain: str
    address: str
    callers_address: tuple[str, int]
    ready_address: tuple[str, int]
    peer_address: tuple[str, int]
    first_peers: tuple[str, ...] = ()
    platform: str
    platform_writes_per_s: float = 100.0
    platform_reads_per_s: float = 500.0
    heartbeat_s: float = 1.0
    memory_mb: float = 256.0
    max_files: int = 1024
    bounds: Bounds = field(default_factory=Bounds)
