"""Support for the platform's profile of the host instance."""

from dataclasses import dataclass, field, fields
from typing import Final

# Fields that can be reloaded at run time. The others identify the instance and
# its listening addresses, which need a restart to change.
RELOADABLE_FIELDS: Final = frozenset(
    {"first_peers", "platform_writes_per_s", "platform_reads_per_s", "bounds"}
)


@dataclass(slots=True, kw_only=True)
class Bounds:
    """Service-level bounds set by the operators and used by the router.

    Bounds that the design satisfies for any value are omitted.

    Attributes:
        contact_s: Seconds without a disturbance after which the bounds apply
            to an instance.
        drain_s: Seconds after the platform marks an upstream instance as
            leaving during which requests may still reach the instance.
        apply_s: Seconds after the acknowledgement of a configuration during
            which an older configuration may remain in force.
        revoke_s: Seconds after its removal by which a key must be rejected.
        rollback_s: Seconds after the fiftieth bad answer of a version by which
            the version must receive no requests.
        grace_s: Seconds between the stop signal and the kill.
        retry_ratio: Fleet-wide retries per request of a service.
        retry_window_s: Seconds of the window over which retries are counted.
        retry_extra: Additional retries allowed per window, fleet-wide.
        exposure_share: Maximum share of a service's requests that a bad
            version may receive during its roll-out.
        session_s: Maximum pause between requests of a session, in seconds.
        cordon_s: Seconds after the cordon of a failure domain by which its
            instances must receive no new requests; 0 if failure domains are
            never cordoned.
        cold_overage: Maximum fleet-wide request rate to a cold instance, as a
            multiple of the rate that the instance can serve.
        cold_extra: Additional requests per second to a cold instance.
        renewal_s: Seconds between renewals of an upstream instance's entry.
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
    """Profile of the instance that a router runs on.

    Attributes:
        instance: Name of the instance.
        failure_domain: Failure domain of the instance.
        address: IP address at which the instance is reached.
        callers_address: Listening address for callers.
        ready_address: Listening address for the load balancer's readiness
            checks.
        peer_address: Listening address for other routers.
        gossip_port: Port for gossip datagrams between routers; the same on all
            instances.
        relay_port: Port for relaying store changes between routers; the same
            on all instances, 0 for none.
        probe_port: Port on which sidecars answer load probes; the same on all
            instances, 0 for none.
        first_peers: Seed addresses of other routers, used before the store
            answers; they may be out of date.
        platform: URL of the platform's object API.
        platform_writes_per_s: Store writes per second of the whole fleet.
        platform_reads_per_s: Store reads per second of the whole fleet.
        max_files: Maximum number of open files and sockets.
        memory_bytes: Memory that the process may use; 0 if unknown.
        bounds: Service-level bounds of the operators.
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
    memory_bytes: int = 0
    bounds: Bounds = field(default_factory=Bounds)

    def apply_changes(
        self, found: "HostProfile"
    ) -> tuple[list[str], list[str]]:
        """Apply the reloadable fields of a newer profile in place.

        All holders of this profile see the new values.

        Returns:
            Names of the fields applied, and of the changed fields that need a
            restart.
        """
        changed = {
            one.name
            for one in fields(self)
            if getattr(self, one.name) != getattr(found, one.name)
        }
        taken = sorted(changed & RELOADABLE_FIELDS)
        for name in taken:
            setattr(self, name, getattr(found, name))
        return taken, sorted(changed - RELOADABLE_FIELDS)


@dataclass(slots=True, kw_only=True)
class SidecarProfile:
    """Profile of the instance that a sidecar runs on.

    Attributes:
        instance: Name of the instance.
        failure_domain: Failure domain of the instance.
        address: IP address at which the instance is reached.
        engine: Address of the instance's engine for requests.
        port: Port on which routers probe the engine's load.
        platform: URL of the platform's object API.
    """

    instance: str
    failure_domain: str
    address: str
    engine: tuple[str, int]
    port: int
    platform: str
