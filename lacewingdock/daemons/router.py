"""The router daemon, which calls upstreams directly.

It runs on platforms whose upstreams accept calls without a sidecar in between.
All durable state is in the platform's store.
"""

import os
import random
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from lacewingdock.components.admission.fleet_budget import RetryTerms
from lacewingdock.components.cordons import CordonListener
from lacewingdock.components.gateway import CallersPort
from lacewingdock.components.gateway.gateway import Gateway
from lacewingdock.components.gateway.metrics import GatewayMetrics
from lacewingdock.components.gossip.load import FleetLoad
from lacewingdock.components.host_watch import CHECK_INTERVAL_S, HostWatch
from lacewingdock.components.inspection import InspectionPort
from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.listener import Listener, PerObjectListener
from lacewingdock.components.overload.fleet import FleetOverload
from lacewingdock.components.overload.guard import ConnectionGuard
from lacewingdock.components.overload.lateness import LatenessMeter
from lacewingdock.components.pacing import Pacer
from lacewingdock.components.poison_requests import PoisonRequests
from lacewingdock.components.poison_requests.address_check import (
    AddressCheck,
    check_address,
)
from lacewingdock.components.poison_requests.trials import TrialClaims
from lacewingdock.components.readiness import ReadinessServer
from lacewingdock.components.routers import CopyServer, Routers
from lacewingdock.components.routes import Routes
from lacewingdock.components.traffic_shifting import Shifts
from lacewingdock.components.traffic_shifting.const import KIND_REPORTS, ROUND_S
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.components.upstreams.returned import (
    RETURNED_ROUND_S,
    ReturnedInstances,
)
from lacewingdock.components.upstreams.sync import InstanceListener
from lacewingdock.const import THREAD_STACK_BYTES
from lacewingdock.daemons.router_announce import Announcer
from lacewingdock.daemons.router_mirrors import (
    MirrorPacing,
    build_mirrors,
    build_store_health,
    reports_pause_s,
)
from lacewingdock.daemons.router_ports import (
    build_gossip,
    build_prober,
    build_relay_port,
)
from lacewingdock.daemons.router_relay import relay_reduces_calls
from lacewingdock.daemons.router_restore import on_restore
from lacewingdock.daemons.router_timing import (
    LAPSE_CHECK_INTERVAL_S,
    entry_expiry_s,
    paths_over_bound,
    unrenewed_entry_s,
)
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.clock import STEADY
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger, start_logging
from lacewingdock.helpers.log_stream import DRAIN_S, LogStream
from lacewingdock.helpers.process import exit_now
from lacewingdock.helpers.sockets import Listener as PortListener
from lacewingdock.platform.documents import (
    KIND_CONFIGURATION,
    KIND_CORDONS,
    KIND_INSTANCES,
    KIND_SHIFTS,
)
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.platform.profile import parse_profile, read_text
from lacewingdock.settings import RouterSettings, load_settings
from lacewingdock.world.backend import UpstreamEntry
from lacewingdock.world.host import Bounds
from lacewingdock.world.router_entry import KIND_ROUTERS, RouterEntry

if TYPE_CHECKING:
    from lacewingdock.components.inspection.state import RouterState

# Kinds of which a router needs a copy before it can route requests.
ESSENTIAL_KINDS: Final = (
    KIND_CONFIGURATION,
    KIND_INSTANCES,
    KIND_SHIFTS,
    KIND_CORDONS,
)
# Each router's share of the fleet's retry budget is computed for at least this
# many routers, since it may not know all others yet.
MIN_ROUTERS: Final = 6
# Seconds for which a router accepts requests after the signal to stop: the
# load balancer checks readiness once per second and stops sending after two
# answers other than 200. If it has no other router it keeps sending; a stream
# that begins later than about 3 s after the signal could not end within the
# grace time, so no new requests are accepted from then on.
LINGER_S: Final = 2.4
# Seconds of the grace time that are reserved for ending the process.
GRACE_MARGIN_S: Final = 0.6
# Seconds between checks whether the last requests have ended during a stop.
DRAIN_POLL_INTERVAL_S: Final = 0.05
# Seconds between prunings of idle connections and updates of this router's
# share of the retry budget; `FleetBudget` counts in seconds, too.
HOUSEKEEPING_INTERVAL_S: Final = 1.0
# Timeout of a health check, in seconds: it waits for a place like a request.
HEALTH_CHECK_TIMEOUT_S: Final = 1.0
# Share of busy connections read late that is logged.
NOTABLE_LATE_SHARE: Final = 0.05

log = get_logger("router")


class RouterDaemon:
    """One router process.

    Attributes:
        host: Settings of this instance, as the platform writes them.
        settings: Settings of the command line.
        watch: Applies changes of the settings file.
        reload_requested: Set when an operator requests a reload (SIGHUP).
        stopping: Set when all tasks must stop.
        leaving: Set when the signal to stop was received; requests drain.
        api: Client of the platform's store.
        mirrors: Copies of the platform's objects by kind.
        routes: The routing table.
        directory: The upstream instances.
        returned: Checks instances whose entries came back.
        cordons: Applies cordons; a cordoned failure domain gets no new work.
        shifts: Roll-outs.
        suspects: Requests that were lost at instances.
        routers: The registry of routers.
        gateway: The state that all requests share.
        callers: The port for callers.
        lateness: Measures how late what arrives is read.
        guard: Decides which new connections of callers are read.
        ready: The port for the load balancer's readiness checks.
        copies: The port from which other routers fetch copies.
        fleet_load: The load of the other routers at each instance.
        gossip: The port on which routers exchange their load.
        relay: The port on which routers relay changes of the store; None if
            the settings name no port for it.
        inspection: The port for metrics and the router's state; None without
            a metrics port.
        started: Monotonic time of the start.
    """

    def __init__(
        self,
        watch: HostWatch,
        settings: RouterSettings,
        sock: socket.socket | None = None,
    ) -> None:
        """Build all components and open the ports; tasks start in `run`.

        Args:
            watch: The settings file and the profile in use.
            settings: The command line's settings.
            sock: The callers' port, if it was opened before the start.
        """
        host = watch.host
        self.host = host
        self.watch = watch
        self.settings = settings
        self.started = time.monotonic()
        self.reload_requested = threading.Event()
        self.stopping = threading.Event()
        self.leaving = threading.Event()
        self.random = random.Random(os.urandom(8))
        self.api = ObjectApi(host.platform)
        incarnation = new_id()
        self.routes = Routes()
        self.directory = Directory()
        self.directory.expiry_s = lambda: entry_expiry_s(self.host.bounds)
        address = "{}:{}".format(*host.peer_address)
        entry = RouterEntry(address, incarnation)
        self.routers = Routers(
            self.api, host.instance, entry, self._get_first_peers, self.random
        )
        self.shifts = Shifts(
            host,
            incarnation,
            self.api,
            self.directory,
            self.routers.count,
        )
        self.routers.tell = self.shifts.own_reports
        self.suspects = PoisonRequests(
            self.directory,
            self.routers.publish,
            TrialClaims(self.api).claim,
            self._check_address,
            self.random,
        )
        self.routers.on_status = lambda router, status: (
            self.suspects.recover(status.report)
            if router == host.instance
            else self.suspects.receive(router, status.report)
        )
        self.returned = ReturnedInstances(
            self.directory,
            lambda: unrenewed_entry_s(self.host.bounds),
            self._is_serving,
            self.routers.count,
            self.random,
        )
        self.mirrors = self._build_mirrors()
        self.api.eras.on_restore.append(
            on_restore(
                self.health,
                self.routers,
                self.suspects,
            )
        )
        self.shifts.unseen_s = lambda: self.mirrors[KIND_SHIFTS].unseen_s
        self.shifts.store_doubtful = lambda: self.health.doubtful
        self.gateway = self._build_gateway()
        self.fleet_load = FleetLoad()
        self.gateway.chooser.others = self.fleet_load.at
        self.lateness = LatenessMeter(
            lambda: self.gateway.pool.in_use, lambda: self.callers.open
        )
        self.guard = ConnectionGuard(
            self.lateness, FleetOverload(self.routers.count), self.random
        )
        self.gateway.refuses = self.guard.refuses
        self.gossip = build_gossip(
            host,
            self.directory,
            self.fleet_load,
            self.shifts,
            self.routers,
            self.suspects,
            self.guard,
            self.gateway.chooser.changed,
            self.random,
        )
        self.relay = build_relay_port(
            host, self.mirrors, self.health, self.routers, self.random
        )
        self.gateway.chooser.prober = build_prober(host, self.random)
        self.gateway.readiness_events += [
            one.ready for one in self._essential_mirrors()
        ]
        self.callers = CallersPort(
            self.gateway,
            host.callers_address,
            host.max_files,
            self.leaving,
            self.guard.admits,
            sock,
            host.memory_bytes,
        )
        self.ready = ReadinessServer(
            host.ready_address, self.missing, self.leaving
        )
        self.copies = CopyServer(
            host.peer_address, self.mirrors, self.health, self.shifts.receive
        )
        self.inspection = self._build_inspection()

    def listeners(self) -> list[PortListener]:
        """Return the listeners of all TCP ports."""
        found = [
            self.callers.listener,
            self.ready.listener,
            self.copies.listener,
        ]
        if self.inspection is not None:
            found.append(self.inspection.listener)
        return found

    def state(self) -> "RouterState":
        """Return the router's current state for inspection."""
        from lacewingdock.daemons.router_state import router_state

        return router_state(self)

    def missing(self) -> str:
        """Return what the router lacks to serve; empty if nothing."""
        for mirror in self._essential_mirrors():
            if not mirror.ready.is_set():
                return f"no copy of {mirror.kind}"
        return "" if self.routes.table else "no configuration"

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then stop gracefully.

        Returns:
            The number of requests that were cut off by the stop.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.leaving.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload_requested.set())
        for mirror in self.mirrors.values():
            _start(mirror.kind, mirror.run, self.stopping)
        for listener in self.listeners():
            _start(listener.name, listener.run, self.stopping)
        _start("gossip-in", self.gossip.listen, self.stopping)
        _start("gossip-out", self.gossip.send_messages, self.stopping)
        if self.relay is not None:
            _start("relay-in", self.relay.listen, self.stopping)
            _start("relay-out", self.relay.send_queries, self.stopping)
        if self.gateway.chooser.prober is not None:
            _start("probes", self.gateway.chooser.prober.listen, self.stopping)
        _start("lateness", self.lateness.run, self.stopping)
        announcer = Announcer(
            lambda: self.host,
            self.routers,
            self.shifts,
            self.mirrors,
            self.random,
        )
        _start("announce", announcer.run, self.stopping)
        _start("shifts", self._run_every, ROUND_S, self.shifts.round)
        _start("suspects", self.suspects.run, self.stopping)
        _start(
            "lapsed", self._run_every, LAPSE_CHECK_INTERVAL_S, self._drop_lapsed
        )
        _start(
            "returned", self._run_every, RETURNED_ROUND_S, self.returned.round
        )
        _start(
            "housekeeping",
            self._run_every,
            HOUSEKEEPING_INTERVAL_S,
            self._run_housekeeping,
        )
        log.info("started", profile=self.settings.config)
        for path in paths_over_bound(self.host.bounds):
            log.warning(
                "bound too short",
                bound=path.bound,
                bound_s=path.bound_s,
                promise=path.promise,
                path=path.name,
                worst_s=round(path.worst_s, 3),
            )
        while not self.leaving.wait(CHECK_INTERVAL_S):
            asked = self.reload_requested.is_set()
            self.reload_requested.clear()
            self.watch.check(asked=asked)
        return self._drain()

    def _drain(self) -> int:
        log.info("leaving", active=self.callers.active.value)
        start = time.monotonic()
        end = start + self.host.bounds.grace_s - GRACE_MARGIN_S
        time.sleep(min(LINGER_S, self.host.bounds.grace_s / 2))
        self.callers.shut()
        while time.monotonic() < end and self.callers.active.value:
            time.sleep(DRAIN_POLL_INTERVAL_S)
        left = self.callers.active.value
        self.stopping.set()
        log.info("stopped", requests_left=left)
        return left

    def _essential_mirrors(self) -> list[Mirror]:
        """Return the mirrors whose copies are needed to route requests."""
        return [
            self.mirrors[kind]
            for kind in ESSENTIAL_KINDS
            if kind in self.mirrors
        ]

    def _build_inspection(self) -> InspectionPort | None:
        if not self.settings.metrics_port:
            return None
        address = (self.host.address, self.settings.metrics_port)
        return InspectionPort(
            address, self.state, self.gateway.metrics, self.api
        )

    def _build_gateway(self) -> Gateway:
        chooser = Chooser(self.directory, self.host.failure_domain, self.random)
        chooser.pacer = Pacer(
            self.host.instance,
            lambda: self.routers.entries,
            self.mirrors[KIND_ROUTERS].ready.is_set,
            self.routes.limits,
            self._get_bounds,
            self.started,
        )
        self.shifts.admits = chooser.admits
        self.directory.cold_start_s = self.routes.cold_start_s
        return Gateway(
            self.routes,
            chooser,
            self.shifts,
            self.suspects,
            GatewayMetrics(),
            self._retry_terms(),
            self.random,
        )

    def _retry_terms(self) -> RetryTerms:
        """Return this router's share of the fleet's retry budget."""
        bounds = self.host.bounds
        routers = max(self.routers.count(), MIN_ROUTERS)
        extra = bounds.retry_extra / routers
        return RetryTerms(bounds.retry_ratio, extra, bounds.retry_window_s)

    def _build_mirrors(self) -> dict[str, Mirror]:
        self.health = build_store_health(self._get_bounds, STEADY)
        listeners: dict[str, Listener] = {
            KIND_CONFIGURATION: PerObjectListener(self.routes.apply),
            KIND_INSTANCES: InstanceListener(self.directory),
            KIND_SHIFTS: PerObjectListener(self.shifts.take, self.shifts.drop),
            KIND_REPORTS: PerObjectListener(self.shifts.apply_stored_report),
            KIND_ROUTERS: PerObjectListener(
                self.routers.take, self.routers.drop
            ),
        }
        self.cordons = CordonListener(self.directory)
        if self.host.bounds.cordon_s:
            listeners[KIND_CORDONS] = self.cordons
        return build_mirrors(
            listeners,
            self.api,
            self.health,
            self.routers.pull,
            self.random,
            MirrorPacing(
                self._get_bounds,
                lambda: bool(self.shifts.running),
                self._reports_pause_s,
            ),
        )

    def _check_address(self, instance: UpstreamInstance) -> AddressCheck:
        """Check whether this instance still answers at its address."""
        path = self.routes.health_path(instance.entry.service)
        return check_address(instance.entry, path)

    def _is_serving(self, entry: UpstreamEntry) -> bool:
        """Check whether an instance serves and is not leaving."""
        path = self.routes.health_path(entry.service)
        return check_address(entry, path, HEALTH_CHECK_TIMEOUT_S).serving

    def _get_bounds(self) -> Bounds:
        return self.host.bounds

    def _get_first_peers(self) -> tuple[str, ...]:
        return self.host.first_peers

    def _reports_pause_s(self) -> float:
        routers = self.routers.count()
        return reports_pause_s(
            routers,
            self.host.platform_reads_per_s,
            hurried=self.shifts.hurried,
            relayed=relay_reduces_calls(routers, self.host.bounds),
        )

    def _run_housekeeping(self) -> None:
        self.gateway.pool.prune()
        self.gateway.update_retry_terms(self._retry_terms())
        self.guard.review()
        if self.lateness.share >= NOTABLE_LATE_SHARE:
            log.info(
                "running late",
                late_share=round(self.lateness.share, 3),
                busy=self.lateness.busy,
                connections=self.callers.listener.open.value,
                active=self.callers.active.value,
                closed_unread=self.callers.listener.refused,
            )

    def _drop_lapsed(self) -> None:
        self.directory.apply_held()
        if not self.health.doubtful:
            self.directory.drop_lapsed()
            self.cordons.lift_unconfirmed()

    def _run_every(
        self, interval_s: float, function: Callable[[], None]
    ) -> None:
        """Run a function periodically until the daemon stops.

        An error in one round is logged and the next round runs as usual;
        otherwise an exception would end the task for good, unnoticed.
        """
        while not self.stopping.wait(interval_s):
            try:
                function()
            except Exception:
                log.exception("round failed", task=function.__qualname__)


def run_router(
    settings: RouterSettings, sock: socket.socket | None = None
) -> int:
    """Run a router until it is stopped.

    Args:
        settings: The command line's settings.
        sock: The callers' port, if it was opened before the start.

    Returns:
        The number of requests that were cut off by the stop.

    Raises:
        LacewingdockError: The router can't start.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    text = read_text(settings.config)
    host = parse_profile(text, settings.config)
    stream = LogStream(sys.stdout.fileno())
    start_logging(
        settings.log_level,
        stream,
        instance=host.instance,
        failure_domain=host.failure_domain,
    )
    left = RouterDaemon(
        HostWatch(settings.config, text, host), settings, sock
    ).run()
    stream.drain(DRAIN_S)
    return left


def main(sock: socket.socket | None = None) -> None:
    """Run a router with the environment's settings, without the command line.

    Importing the command line takes processor time during which a restarted
    router does not answer.

    Args:
        sock: The callers' port, if it was opened before the start.
    """
    try:
        left = run_router(load_settings(RouterSettings, {}), sock)
    except LacewingdockError as error:
        print(f"lacewingdock: {error}", file=sys.stderr)
        exit_now(error.answer.exit_status)
    exit_now(1 if left else 0)


def _start(name: str, function: Callable[..., Any], *args: Any) -> None:
    threading.Thread(target=function, args=args, name=name, daemon=True).start()
