"""Support for what the platform says of the instance a router runs on."""

from dataclasses import dataclass, field, fields
from typing import Final

# Fields that a running router can take anew. The others say which instance it
# is and where it listens, which only a restart changes.
CHANGEABLE: Final = frozenset(
    {"first_peers", "platform_writes_per_s", "platform_reads_per_s", "bounds"}
)


@dataclass(slots=True, kw_only=True)
class Bounds:
    """What the operators hold the router to, as far as it goes by it.

    Bounds that it keeps by design, whatever their figures, are not here.

    Attributes:
        contact_s: Seconds without a disturbance after which an instance is
            held to the bounds.
        drain_s: Seconds after the platform says that an upstream instance
            leaves in which requests may still reach it.
        apply_s: Seconds after a configuration's acknowledgement in which an
            older one may be in force.
        revoke_s: Seconds after which a key that was taken away must open
            nothing.
        rollback_s: Seconds after a version's fiftieth bad answer after which
            it must get nothing.
        grace_s: Seconds from the order to stop to the kill.
        retry_ratio: Repeats per request of a service, over the fleet.
        retry_window_s: Span over which repeats are counted.
        retry_extra: Repeats allowed in a span besides, over the fleet.
        exposure_share: Largest share of a service's requests that a bad
            version may get while it is rolled out.
        session_s: Longest pause between requests of a session.
        cordon_s: Seconds after a failure domain was cordoned after which its
            instances must get nothing new; 0 where none ever is.
        cold_overage: Requests that may reach a cold instance in a second, in
            times those that it bears, over the fleet.
        cold_extra: Requests that may reach it in a second besides.
        renewal_s: Seconds in which upstream instances renew their entries.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    apply_s: float = 2.0
    revoke_s: float = 5.0
    rollback_s: float = 5.0
    grace_s: float = 8.0
    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_extra: float = 10.0
    exposure_share: float = 0.1
    session_s: float = 5.0
    cordon_s: float = 0.0
    cold_overage: float = 1.0
    cold_extra: float = 0.0
    renewal_s: float = 1.2


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
        gossip_port: Where routers take datagrams of each other; the same on all
            instances.
        relay_port: Where routers ask each other for the store's news; the same
            on all instances, 0 where there is no port for it.
        probe_port: Where sidecars take questions about their engines' load; the
            same on all instances, 0 where there is no port for it.
        first_peers: Addresses of other routers, known before the store
            answers; they may be out of date.
        platform: URL of the platform's object API.
        platform_writes_per_s: Writes a second for the whole fleet.
        platform_reads_per_s: Reads a second for the whole fleet.
        max_files: Open files and sockets.
        bounds: What it is held to.
    """

    instance: str
    failure_domain: str
    address: str
    callers_address: tuple[str, int]
    ready_address: tuple[str, int]
    peer_address: tuple[str, int]
    gossip_port: int = 0
    relay_port: int = 0
    probe_port: int = 0
    first_peers: tuple[str, ...] = ()
    platform: str
    platform_writes_per_s: float = 100.0
    platform_reads_per_s: float = 500.0
    max_files: int = 1024
    bounds: Bounds = field(default_factory=Bounds)

    def apply_changes(
        self, found: "HostProfile"
    ) -> tuple[list[str], list[str]]:
        """Take what a running router can take of a newer profile.

        Whoever holds this profile reads the new values from then on.

        Returns:
            Names of the fields that were taken, and of those that differ and
            need a restart.
        """
        changed = {
            one.name
            for one in fields(self)
            if getattr(self, one.name) != getattr(found, one.name)
        }
        taken = sorted(changed & CHANGEABLE)
        for name in taken:
            setattr(self, name, getattr(found, name))
        return taken, sorted(changed - CHANGEABLE)


@dataclass(slots=True, kw_only=True)
class SidecarProfile:
    """What the platform says of the instance that a sidecar runs on.

    Attributes:
        instance: Name of this instance.
        failure_domain: Where it stands.
        address: IP number it is reached at.
        engine: Where the engine on it takes calls.
        port: Where routers ask for the engine's load.
        platform: URL of the platform's object API.
    """

    instance: str
    failure_domain: str
    address: str
    engine: tuple[str, int]
    port: int
    platform: str
