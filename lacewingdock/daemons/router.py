"""Support for the router daemon, which calls upstreams by itself.

It is what runs on a platform whose upstreams take calls directly: no sidecar
stands in the way, and what must last is in the platform's store alone.
"""

import os
import random
import signal
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, Final

import prometheus_client

from lacewingdock.components.gateway import CallersPort
from lacewingdock.components.gateway.gateway import Gateway
from lacewingdock.components.gateway.metrics import GatewayMetrics
from lacewingdock.components.mirror import (
    WATCH_PART,
    Listener,
    Mirror,
    StoreHealth,
)
from lacewingdock.components.readiness import ReadinessPort
from lacewingdock.components.routers import (
    KIND_ROUTERS,
    CopiesPort,
    RouterEntry,
    Routers,
)
from lacewingdock.components.routes import Routes
from lacewingdock.components.shifts import ReportListener, Shifts
from lacewingdock.components.shifts.const import KIND_REPORTS, ROUND_S
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import LAPSE_S, Directory
from lacewingdock.components.upstreams.sync import InstanceListener
from lacewingdock.const import THREAD_STACK_BYTES
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger, start_logging
from lacewingdock.helpers.log_stream import LogStream
from lacewingdock.platform.documents import (
    KIND_CONFIGURATION,
    KIND_INSTANCES,
    KIND_SHIFTS,
)
from lacewingdock.platform.metrics import PlatformCalls
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.platform.profile import load_profile
from lacewingdock.settings import RouterSettings
from lacewingdock.world.host import HostProfile

# Routers come and go rarely, and their addresses matter only in an outage.
ROUTERS_WATCH_S: Final = 20.0
# An order that is seen late only starts late, and a version that was found bad
# is told by the reports as well.
ORDERS_WATCH_S: Final = 8.0
# Outside of roll-outs nothing is reported.
REPORTS_WATCH_S: Final = 8.0
# Reports come from every router while a roll-out is under way; gathered for
# this long they cost one call instead of one each.
REPORTS_PAUSE_S: Final = 0.8
# A large fleet gathers them longer, so that reading them takes at most this
# part of the platform's reads: 6 s at 1,200 routers and 2,000 reads a second.
REPORTS_READS_PART: Final = 0.1
# Of the retries that the fleet may make, each router takes its part as if
# there were at least this many: it may not know all others yet.
MIN_ROUTERS: Final = 6
# A stop serves on this long: the balancer asks once a second and turns away
# after two answers that are not 200. Where it has nobody else to send callers
# to it goes on sending them here; a stream that began later than about 3 s
# after the order could not end within the grace time, so from then on nothing
# new is accepted.
LINGER_S: Final = 2.4
# What a stop leaves of the grace time for ending the process.
GRACE_MARGIN_S: Final = 0.6
LEAVE_POLL_S: Final = 0.05
HOUSEKEEPING_S: Final = 1.0
# An instance that left may get requests for two seconds, which another
# router's word that it did must not come after.
LAPSED_S: Final = 0.2
ANNOUNCE_RETRY_S: Final = 1.0
DRAIN_LOG_S: Final = 0.3

log = get_logger("router")


class RouterDaemon:
    """One router process.

    Attributes:
        host: What the platform says of this instance.
        settings: The command line's settings.
        stopping: Set when the process shall end.
        leaving: Set from the order to stop.
        api: The platform's store.
        mirrors: Copies of the platform's objects by kind.
        routes: The routing table.
        directory: The upstream instances.
        shifts: Roll-outs.
        routers: The other routers.
        gateway: What requests share.
        callers: The callers' port.
        ready: The balancer's port.
        copies: The other routers' port.
    """

    def __init__(self, host: HostProfile, settings: RouterSettings) -> None:
        """Build the daemon; nothing runs before `run`."""
        self.host = host
        self.settings = settings
        self.stopping = threading.Event()
        self.leaving = threading.Event()
        self.random = random.Random(os.urandom(8))
        self.registry = prometheus_client.CollectorRegistry()
        self.api = ObjectApi(host.platform)
        self.registry.register(PlatformCalls(self.api))
        incarnation = new_id()
        self.routes = Routes()
        self.directory = Directory()
        address = "{}:{}".format(*host.peer_address)
        entry = RouterEntry(address, incarnation)
        self.routers = Routers(
            self.api, host.instance, entry, host.first_peers, self.random
        )
        self.shifts = Shifts(
            host,
            incarnation,
            self.api,
            self.directory,
            self.routers.count,
        )
        self.routers.tell = self.shifts.own_reports
        self.mirrors = self._mirrors()
        self.gateway = self._gateway()
        self.callers = CallersPort(
            self.gateway,
            host.callers_address,
            host.max_files,
            self.leaving,
        )
        self.ready = ReadinessPort(
            host.ready_address, self.missing, self.leaving
        )
        self.copies = CopiesPort(
            host.peer_address, self.mirrors, self.health, self.shifts.hear
        )

    def missing(self) -> str:
        """Return what is missing to serve; empty if nothing."""
        for kind in (KIND_CONFIGURATION, KIND_INSTANCES, KIND_SHIFTS):
            if not self.mirrors[kind].ready.is_set():
                return f"no copy of {kind}"
        return "" if self.routes.table else "no configuration"

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then stop gracefully.

        Returns:
            The number of requests that the stop cut.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.leaving.set())
        signal.signal(signal.SIGHUP, lambda *_: self._reload())
        for mirror in self.mirrors.values():
            _start(mirror.kind, mirror.run, self.stopping)
        for port in (self.callers, self.ready, self.copies):
            listener = port.listener
            _start(listener.name, listener.run, self.stopping)
        _start("announce", self._announce)
        _start("shifts", self._every, ROUND_S, self.shifts.round)
        _start("lapsed", self._every, LAPSED_S, self._drop_lapsed)
        _start("housekeeping", self._every, HOUSEKEEPING_S, self._keep_house)
        if self.settings.metrics_port:
            prometheus_client.start_http_server(
                self.settings.metrics_port, self.host.address, self.registry
            )
        log.info("started", profile=self.settings.config)
        while not self.leaving.wait(1.0):
            pass
        return self._leave()

    def _leave(self) -> int:
        log.info("leaving", active=self.callers.active.value)
        start = time.monotonic()
        end = start + self.host.bounds.grace_s - GRACE_MARGIN_S
        time.sleep(min(LINGER_S, self.host.bounds.grace_s / 2))
        self.callers.shut()
        while time.monotonic() < end and self.callers.active.value:
            time.sleep(LEAVE_POLL_S)
        left = self.callers.active.value
        self.stopping.set()
        log.info("stopped", requests_left=left)
        return left

    def _gateway(self) -> Gateway:
        bounds = self.host.bounds
        chooser = Chooser(self.directory, self.host.failure_domain, self.random)
        return Gateway(
            self.routes,
            chooser,
            self.shifts,
            GatewayMetrics(self.registry),
            bounds.retry_ratio,
            self._retry_extra(),
            bounds.retry_window_s,
            self.random,
        )

    def _retry_extra(self) -> float:
        """Return this router's part of the fleet's retries besides."""
        routers = max(self.routers.count(), MIN_ROUTERS)
        return self.host.bounds.retry_extra / routers

    def _mirrors(self) -> dict[str, Mirror]:
        health = StoreHealth(LAPSE_S)
        wait_s = self.host.bounds.contact_s * WATCH_PART
        listeners: dict[str, Listener] = {
            KIND_CONFIGURATION: self.routes,
            KIND_INSTANCES: InstanceListener(self.directory),
            KIND_SHIFTS: self.shifts,
            KIND_REPORTS: ReportListener(self.shifts),
            KIND_ROUTERS: self.routers,
        }
        mirrors = {
            kind: Mirror(
                kind,
                self.api,
                health,
                listener,
                self.routers.pull,
                self.random,
                lambda: wait_s,
            )
            for kind, listener in listeners.items()
        }
        mirrors[KIND_ROUTERS].wait_s = lambda: ROUTERS_WATCH_S
        mirrors[KIND_SHIFTS].wait_s = lambda: ORDERS_WATCH_S
        mirrors[KIND_REPORTS].wait_s = lambda: (
            wait_s if self.shifts.running else REPORTS_WATCH_S
        )
        mirrors[KIND_REPORTS].pause_s = self._reports_pause
        self.health = health
        return mirrors

    def _reports_pause(self) -> float:
        """Return how long reports are gathered for one call."""
        reads = self.host.platform_reads_per_s * REPORTS_READS_PART
        return max(REPORTS_PAUSE_S, self.routers.count() / reads)

    def _announce(self) -> None:
        while not self.routers.announce():
            if self.stopping.wait(ANNOUNCE_RETRY_S):
                return

    def _keep_house(self) -> None:
        self.gateway.pool.prune()
        self.gateway.share_retries(self._retry_extra())

    def _drop_lapsed(self) -> None:
        if not self.health.doubtful:
            self.directory.drop_lapsed()

    def _every(self, interval_s: float, function: Callable[[], None]) -> None:
        """Run a function again and again until the daemon stops.

        An error in one round is logged and the rounds go on: a task that
        died unseen would leave its duty undone for good.
        """
        while not self.stopping.wait(interval_s):
            try:
                function()
            except Exception:
                log.exception("round failed", task=function.__qualname__)

    def _reload(self) -> None:
        """Read the settings file again; what differs needs a restart."""
        try:
            found = load_profile(self.settings.config)
        except Exception as error:
            log.error("settings not read again", error=str(error))
            return
        log.info("settings read again", changed=found != self.host)


def run_router(settings: RouterSettings) -> int:
    """Run a router until it is stopped.

    Returns:
        The number of requests that the stop cut.

    Raises:
        LacewingdockError: It can't start.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    host = load_profile(settings.config)
    stream = LogStream(sys.stdout.fileno())
    start_logging(
        settings.log_level,
        stream,
        instance=host.instance,
        failure_domain=host.failure_domain,
    )
    left = RouterDaemon(host, settings).run()
    stream.drain(DRAIN_LOG_S)
    return left


def _start(name: str, function: Callable[..., Any], *args: Any) -> None:
    threading.Thread(target=function, args=args, name=name, daemon=True).start()
