"""Support for polling the state of the upstream beside a sidecar."""

from typing import Final

import msgspec
import pycurl

from lacewingdock.components.runs import Runs
from lacewingdock.components.runs.upstream_status import fetch_engine_report
from lacewingdock.core import Daemon
from lacewingdock.helpers.log import get_logger

NAME: Final = "engine"
# Seconds between polls of the upstream, and the consecutive failed polls after
# which it counts as down.
POLL_INTERVAL_S: Final = 0.5
FAILURES_UNTIL_DOWN: Final = 2

log = get_logger(NAME)


class Engine:
    """Monitor of the upstream beside this sidecar.

    Attributes:
        url: URL of the upstream.
        runs: Updated with the targets that the upstream serves.
        service: Name of the plain service; empty for a model engine.
        failures: Consecutive failed polls.
        draining: Versions about to be unloaded, which get no new requests.
    """

    __slots__ = ("draining", "failures", "runs", "service", "url")

    def __init__(self, url: str, runs: Runs, service: str) -> None:
        """Build a monitor of the upstream at a URL; `setup` starts it."""
        self.url = url
        self.runs = runs
        self.service = service
        self.failures = 0
        self.draining: set[str] = set()

    def poll(self) -> None:
        """Poll the upstream once and update its targets and incarnation.

        After `FAILURES_UNTIL_DOWN` failures in a row it serves no targets.
        """
        try:
            report = fetch_engine_report(self.url)
        except (pycurl.error, msgspec.DecodeError) as error:
            self.failures += 1
            if self.failures == FAILURES_UNTIL_DOWN:
                log.warning("upstream does not answer", error=str(error))
                self.runs.set_targets([])
            return
        self.failures = 0
        # A version that was unloaded may be loaded again by a restart of the
        # engine, so it stops counting as draining.
        self.draining &= set(report.versions)
        self.runs.crashes.observe_incarnation(report.incarnation)
        served = (
            [self.service]
            if self.service
            else sorted(set(report.versions) - self.draining)
        )
        # The upstream knows before the platform's list that it is leaving.
        # Its running requests continue.
        self.runs.set_targets([] if report.leaving else served)

    def drain(self, version: str) -> int:
        """Stop sending new requests to a version of this upstream.

        Returns:
            The number of its requests that have not ended.
        """
        self.draining.add(version)
        self.runs.set_targets([t for t in self.runs.targets if t != version])
        return sum(
            run.outcome is None and run.attempt.target == version
            for run in self.runs.run_store.runs()
        )

    def undrain(self, version: str) -> None:
        """Allow new requests to a version again once it is loaded."""
        self.draining.discard(version)

    def unload(self) -> None:
        """Do nothing: the daemon stops the polling task."""


def setup(daemon: Daemon, url: str, runs: Runs, service: str) -> Engine:
    """Set up the monitor of the upstream and start polling."""
    engine = Engine(url, runs, service)
    daemon.add(NAME, engine)
    daemon.every(POLL_INTERVAL_S, engine.poll)
    return engine
