"""Builds the ports for a router's messages to other routers and sidecars."""

import random
import threading
import time
from collections.abc import Mapping

from lacewingdock.components.gossip import MAX_LEFT, MAX_REPLACED, Message
from lacewingdock.components.gossip.crashes import (
    apply_crash_rows,
    crash_rows,
)
from lacewingdock.components.gossip.limits import apply_limits, limit_rows
from lacewingdock.components.gossip.load import (
    FleetLoad,
    load_rows,
    record_contacts,
)
from lacewingdock.components.gossip.port import GossipPort
from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.overload.guard import ConnectionGuard
from lacewingdock.components.poison_requests import PoisonRequests
from lacewingdock.components.probes.prober import Prober
from lacewingdock.components.relay.port import RelayPort
from lacewingdock.components.routers import Routers
from lacewingdock.components.traffic_shifting import Shifts
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.daemons.router_relay import build_relay
from lacewingdock.world.host import HostProfile
from lacewingdock.world.router_entry import host_of


def build_gossip(
    host: HostProfile,
    directory: Directory,
    fleet_load: FleetLoad,
    shifts: Shifts,
    routers: Routers,
    suspects: PoisonRequests,
    guard: ConnectionGuard,
    changed: threading.Event,
    source: random.Random,
) -> GossipPort:
    """Return the port on which routers exchange their load by gossip.

    Args:
        host: Settings of this instance.
        directory: The upstream instances.
        fleet_load: The load of the other routers at each instance.
        shifts: Roll-outs.
        routers: The other routers.
        suspects: Requests that were lost at instances.
        guard: Decides which connections are read.
        changed: Set when this router's load at an instance changes.
        source: Source of random numbers.

    Raises:
        LacewingdockError: PORT_TAKEN or BAD_SETTING.
    """
    # Receivers recognize the later of two starts of this router by this time.
    # If the clock was set back, they need a second to expire the earlier rows.
    start = time.time_ns() // 1_000_000

    def compose(number: int) -> Message:
        fleet_load.expire()
        return Message(
            host.instance,
            start,
            number,
            load_rows(directory),
            shifts.sessions_to_keep(),
            shifts.found_bad(),
            directory.recently_replaced()[:MAX_REPLACED],
            limit_rows(directory),
            crash_rows(suspects.publication.gossiped),
            guard.overloaded,
            directory.left_starts()[:MAX_LEFT],
        )

    suspects.publication.on_change = changed.set

    def others() -> list[tuple[str, int]]:
        return [
            (host_of(address), host.gossip_port)
            for address in routers.addresses()
        ]

    return GossipPort(
        (host.address, host.gossip_port),
        compose,
        [
            fleet_load.update,
            guard.fleet.receive,
            shifts.receive_message,
            lambda message: record_contacts(directory, message),
            lambda message: apply_limits(directory, message),
            lambda message: directory.apply_peer_replacements(
                message.replaced, message.router
            ),
            lambda message: directory.apply_peer_departures(
                message.left, message.router
            ),
            lambda message: apply_crash_rows(suspects, message),
        ],
        others,
        routers.is_at,
        changed,
        source,
    )


def build_relay_port(
    host: HostProfile,
    mirrors: Mapping[str, Mirror],
    health: StoreHealth,
    routers: Routers,
    source: random.Random,
) -> RelayPort | None:
    """Return the port on which routers relay changes of the store.

    Args:
        host: Settings of this instance.
        mirrors: The mirrors by kind; the relay is connected to each.
        health: The store's health state.
        routers: The other routers.
        source: Source of random numbers.

    Returns:
        The port; None where the settings name no relay port.

    Raises:
        LacewingdockError: PORT_TAKEN or BAD_SETTING.
    """
    if not host.relay_port:
        return None
    relay = build_relay(mirrors, health, routers, lambda: host.bounds, source)
    port = RelayPort(
        (host.address, host.relay_port),
        relay.follower,
        relay.watcher,
        routers.host_of,
    )
    for mirror in mirrors.values():
        mirror.on_change = port.announce
    return port


def build_prober(host: HostProfile, source: random.Random) -> Prober | None:
    """Return the prober of sidecars; None where the settings name no port.

    Raises:
        LacewingdockError: PORT_TAKEN or BAD_SETTING.
    """
    if not host.probe_port:
        return None
    return Prober(host.address, host.probe_port, source)
