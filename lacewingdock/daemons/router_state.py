"""Collects a router's state for inspection; imported on the first request."""

import threading
import time
from typing import Protocol

from lacewingdock.components.gateway import CallersPort
from lacewingdock.components.gateway.gateway import Gateway
from lacewingdock.components.gossip.load import FleetLoad
from lacewingdock.components.gossip.port import GossipPort
from lacewingdock.components.inspection.gather import (
    age_s,
    gather_copies,
    gather_roll_outs,
    gather_routers,
    gather_services,
    gather_upstreams,
)
from lacewingdock.components.inspection.state import RouterState
from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.overload.lateness import LatenessMeter
from lacewingdock.components.relay.port import RelayPort
from lacewingdock.components.routers import Routers
from lacewingdock.components.routes import Routes
from lacewingdock.components.traffic_shifting import Shifts
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.returned import ReturnedInstances
from lacewingdock.const import VERSION
from lacewingdock.platform import documents
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.world.host import HostProfile


class InspectedRouter(Protocol):
    """The part of `RouterDaemon` that an inspection reads."""

    host: HostProfile
    routes: Routes
    gateway: Gateway
    callers: CallersPort
    api: ObjectApi
    health: StoreHealth
    mirrors: dict[str, Mirror]
    directory: Directory
    returned: ReturnedInstances
    fleet_load: FleetLoad
    gossip: GossipPort
    lateness: LatenessMeter
    relay: RelayPort | None
    shifts: Shifts
    routers: Routers
    leaving: threading.Event
    started: float

    def missing(self) -> str:
        """Return what the router lacks to serve; empty if nothing."""


def router_state(router: InspectedRouter) -> RouterState:
    """Return a router's current state."""
    host, table, relay = router.host, router.routes.table, router.relay
    prober = router.gateway.chooser.prober
    return RouterState(
        instance=host.instance,
        failure_domain=host.failure_domain,
        release=VERSION,
        up_s=round(time.monotonic() - router.started, 1),
        missing=router.missing(),
        leaving=router.leaving.is_set(),
        active=router.callers.active.value,
        connections=router.callers.listener.open.value,
        closed_unread=router.callers.listener.refused,
        late_share=router.lateness.share,
        configuration=table.version if table else None,
        store_away=router.health.away,
        store_doubtful=router.health.doubtful,
        store_returned_s=age_s(router.health.returned_at),
        store_era=router.api.eras.era,
        store_restored=router.api.eras.restores,
        older_answers=router.api.eras.stale_answers,
        eras_unread=router.api.eras.unreadable,
        older_entries=len(router.directory.held),
        returned_checks=router.returned.checks,
        returned_confirmed=router.returned.confirmed,
        told_bytes=router.gossip.sent_bytes,
        messages_refused=router.gossip.datagrams.refused
        + (relay.datagrams.refused if relay else 0),
        watches=relay.follower.watches if relay else True,
        watcher=relay.follower.asked if relay else "",
        listeners=len(relay.watcher.listeners()) if relay else 0,
        news_fetched=relay.follower.fetches if relay else 0,
        cordoned=sorted(router.directory.cordoned),
        replaced_seen=router.directory.replaced_seen,
        replaced_told=router.directory.replaced_told,
        probes_asked=prober.asked if prober else 0,
        suspects=len(router.gateway.suspects.suspects),
        suspects_held=router.gateway.suspects.held(),
        suspect_decisions=dict(router.gateway.suspects.counts),
        leavings_said=router.directory.signals.leavings_said,
        limits_named=router.directory.signals.limits_named,
        rests_asked=router.directory.signals.rests_asked,
        unknown_headers=router.gateway.unknown_headers.counts(),
        odd_values=router.gateway.odd_values.counts(),
        unknown_fields=documents.unknown_fields.counts(),
        probes_answered=prober.answered if prober else 0,
        copies=gather_copies(router.mirrors.values()),
        services=gather_services(router.gateway),
        upstreams=gather_upstreams(router.directory, router.fleet_load),
        roll_outs=gather_roll_outs(router.shifts),
        routers=gather_routers(router.routers),
    )
