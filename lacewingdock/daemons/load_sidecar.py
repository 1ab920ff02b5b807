"""A sidecar that only reports the load of its engine to routers.

On a platform whose upstreams accept calls directly, requests do not pass
through a sidecar, so this one runs a single component. It stores nothing that
must survive a restart, and no request depends on it.
"""

import os
import signal
import sys
import threading
import time
from dataclasses import fields
from typing import Final

from lacewingdock.components.host_watch import CHECK_INTERVAL_S
from lacewingdock.components.probes.const import (
    LOG_INTERVAL_S,
    MAX_REPORT_AGE_S,
    MIN_REFRESH_INTERVAL_S,
    READ_INTERVAL_S,
)
from lacewingdock.components.probes.gauge import EngineGauge
from lacewingdock.components.probes.port import GaugePort
from lacewingdock.components.probes.routers import RouterAddresses
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger, start_logging
from lacewingdock.helpers.log_stream import DRAIN_S, LogStream
from lacewingdock.helpers.process import exit_now
from lacewingdock.platform.engine_report import ReportReader
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.platform.profile import parse_sidecar_profile, read_text
from lacewingdock.world.host import SidecarProfile

# Environment variable with the path of the settings file.
CONFIG_VARIABLE: Final = "LACEWINGDOCK_CONFIG"

log = get_logger("sidecar")


class LoadSidecar:
    """One sidecar process.

    Attributes:
        profile: Settings of this instance, as the platform writes them.
        gauge: The latest load of the engine.
        reader: Reads the engine's report.
        routers: Addresses of the routers that may send load probes.
        port: UDP port that answers load probes.
        path: Path of the settings file.
        reload_requested: Set when an operator requests a reload (SIGHUP).
        stopping: Set when the process must stop.
    """

    __slots__ = (
        "gauge",
        "path",
        "port",
        "profile",
        "reader",
        "reload_requested",
        "routers",
        "stopping",
    )

    def __init__(self, profile: SidecarProfile, path: str) -> None:
        """Bind the port for load probes.

        Raises:
            LacewingdockError: PORT_TAKEN or BAD_SETTING.
        """
        self.profile = profile
        self.gauge = EngineGauge()
        self.reader = ReportReader(*profile.engine, MAX_REPORT_AGE_S)
        self.routers = RouterAddresses(ObjectApi(profile.platform))
        self.port = GaugePort(
            (profile.address, profile.port), self.gauge, self.routers.is_router
        )
        self.path = path
        self.reload_requested = threading.Event()
        self.stopping = threading.Event()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.stopping.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload_requested.set())
        tasks = (
            self.port.listen,
            self._poll_engine,
            self._refresh_routers,
            self._reload_settings,
        )
        for task in tasks:
            threading.Thread(
                target=task, args=(self.stopping,), daemon=True
            ).start()
        host, port = self.profile.engine
        log.info("started", engine=f"{host}:{port}", port=self.profile.port)
        while not self.stopping.wait(LOG_INTERVAL_S):
            self._log_counters("probe counters")
        self._log_counters("stopped")

    def _log_counters(self, message: str) -> None:
        log.info(
            message,
            answered=self.port.datagrams.sent,
            promised=self.port.promised,
            refused=self.port.datagrams.refused,
        )

    def _poll_engine(self, stopping: threading.Event) -> None:
        """Read the engine's report once per interval until stopped."""
        is_known = True
        while not stopping.wait(READ_INTERVAL_S):
            asked_at = time.monotonic()
            try:
                report = self.reader.read()
            except LacewingdockError as error:
                self.gauge.update(None, asked_at)
                if is_known:
                    log.info("engine lost", error=str(error))
                is_known = False
                continue
            self.gauge.update(report, asked_at)
            if not is_known:
                log.info("engine back", running=report.running)
            is_known = True

    def _reload_settings(self, stopping: threading.Event) -> None:
        """Log which changed settings need a restart when a reload is requested.

        A sidecar's settings name its engine and its listening address, which
        only a restart changes, so no setting is applied here.
        """
        while not stopping.wait(CHECK_INTERVAL_S):
            if not self.reload_requested.is_set():
                continue
            self.reload_requested.clear()
            try:
                found = parse_sidecar_profile(read_text(self.path), self.path)
            except LacewingdockError as error:
                log.error("settings not read again", error=str(error))
                continue
            log.info(
                "settings read again",
                need_restart=self._changed_settings(found),
            )

    def _changed_settings(self, found: SidecarProfile) -> list[str]:
        """Return the names of the settings that differ from those in use."""
        return [
            one.name
            for one in fields(found)
            if getattr(found, one.name) != getattr(self.profile, one.name)
        ]

    def _refresh_routers(self, stopping: threading.Event) -> None:
        """Refresh the addresses of the routers until stopped."""
        while not stopping.is_set():
            self.routers.refresh()
            stopping.wait(MIN_REFRESH_INTERVAL_S)


def main() -> None:
    """Run a sidecar with the settings file that the environment names."""
    path = os.environ.get(CONFIG_VARIABLE, "")
    stream = LogStream(sys.stdout.fileno())
    try:
        profile = parse_sidecar_profile(read_text(path), path)
        start_logging(
            "info",
            stream,
            instance=profile.instance,
            failure_domain=profile.failure_domain,
        )
        LoadSidecar(profile, path).run()
        stream.drain(DRAIN_S)
    except LacewingdockError as error:
        print(f"lacewingdock: {error}", file=sys.stderr)
        exit_now(error.answer.exit_status)
    exit_now(0)


if __name__ == "__main__":
    main()
