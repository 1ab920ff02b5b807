"""Builds the state of a router from its components."""

import math
import time
from collections.abc import Iterable

from lacewingdock.components.gateway.gateway import Gateway
from lacewingdock.components.gossip.load import FleetLoad
from lacewingdock.components.inspection.state import (
    CopyState,
    PeerState,
    RollOutState,
    ServiceState,
    UpstreamState,
)
from lacewingdock.components.mirror import Mirror
from lacewingdock.components.routers import Routers
from lacewingdock.components.traffic_shifting import Shifts
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.platform.history import format_revision


def age_s(at: float | None) -> float | None:
    """Return the seconds since a monotonic time; None if it is not set."""
    if not at or at == -math.inf:
        return None
    return round(time.monotonic() - at, 3)


def left_s(until: float) -> float | None:
    """Return the seconds until a monotonic time; None if it has passed."""
    seconds = until - time.monotonic()
    return round(seconds, 3) if seconds > 0 else None


def gather_copies(mirrors: Iterable[Mirror]) -> list[CopyState]:
    """Return the state of each copy of the platform's objects."""
    return [
        CopyState(
            mirror.kind,
            format_revision(mirror.revision) or None,
            len(mirror.objects),
            age_s(mirror.as_of),
        )
        for mirror in mirrors
    ]


def gather_upstreams(
    directory: Directory, fleet_load: FleetLoad
) -> list[UpstreamState]:
    """Return the state of each upstream instance, by service and id."""
    now = time.monotonic()
    states = [
        UpstreamState(
            upstream=one.entry.id,
            service=one.entry.service,
            version=one.entry.version,
            failure_domain=one.entry.failure_domain,
            state=one.state(now),
            running=one.running,
            unread=round(one.unread, 2),
            others_running=fleet_load.at(one.mark).running,
            failures=round(one.recent_failures(now), 2),
            heard_s=age_s(one.last_received_at),
            limit_per_s=one.limit.at(now),
            limit_s=age_s(one.limit.named_at),
            leaving_s=age_s(one.signals.leaving_since),
            rest_s=left_s(one.rest.until),
        )
        for one in list(directory.instances.values())
    ]
    return sorted(states, key=lambda one: (one.service, one.upstream))


def gather_services(gateway: Gateway) -> list[ServiceState]:
    """Return the state of each service that has received requests."""
    shifts = gateway.shifts
    return [
        ServiceState(
            service=service,
            settled=shifts.settled.get(service, ""),
            refused=shifts.refused.get(service, ""),
            requests=budget.requests,
            retries_left=round(budget.saved, 1),
            lateness=round(gateway.pressure(service).now(), 3),
            slowdown=round(gateway.pressure(service).slowdown.now(), 2),
        )
        for service, budget in sorted(gateway.budgets.items())
    ]


def gather_roll_outs(shifts: Shifts) -> list[RollOutState]:
    """Return the state of each roll-out in progress, by service."""
    return [
        RollOutState(
            service=service,
            target=shift.order.target,
            stage=shift.stage.name,
            elapsed_s=round(shift.elapsed_s, 2),
            duration_s=shift.order.duration_s,
            answers=shift.evidence.answers,
            bad=shift.evidence.bad,
            suspect=shift.suspect,
            found_bad=shift.found_bad,
            reports=len(shifts.live_reports(shift)),
        )
        for service, shift in sorted(shifts.running.items())
    ]


def gather_routers(routers: Routers) -> list[PeerState]:
    """Return the other routers, by name."""
    return [
        PeerState(name, entry.address)
        for name, entry in sorted(routers.entries.items())
        if name != routers.name
    ]
