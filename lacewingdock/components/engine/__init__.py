"""Support for knowing what the upstream beside a sidecar has loaded."""

from typing import Final

import msgspec
import pycurl

from lacewingdock.components.runs import Runs
from lacewingdock.components.runs.upstream_status import ask_upstream
from lacewingdock.core import Daemon
from lacewingdock.helpers.log import get_logger

NAME: Final = "engine"
POLL_S: Final = 0.5
FAILURES_UNTIL_DOWN: Final = 2

log = get_logger(NAME)


class Engine:
    """The upstream beside this sidecar, asked for its state regularly.

    Attributes:
        url: Where the upstream answers.
        runs: Told of what is served.
        service: Name of the plain service; empty beside an engine.
        failures: Failed polls in a row.
        retired: Versions about to be unloaded, which take no new work.
    """

    __slots__ = ("failures", "retired", "runs", "service", "url")

    def __init__(self, url: str, runs: Runs, service: str) -> None:
        """Take the upstream's URL."""
        self.url = url
        self.runs = runs
        self.service = service
        self.failures = 0
        self.retired: set[str] = set()

    def poll(self) -> None:
        """Ask once; an upstream that doesn't answer serves nothing."""
        try:
            report = ask_upstream(self.url)
        except (pycurl.error, msgspec.DecodeError) as error:
            self.failures += 1
            if self.failures == FAILURES_UNTIL_DOWN:
                log.warning("upstream does not answer", error=str(error))
                self.runs.set_targets([])
            return
        self.failures = 0
        # Once it is gone it may be loaded again by whoever starts the engine.
        self.retired &= set(report.versions)
        self.runs.crashes.observe_incarnation(report.incarnation)
        served = (
            [self.service]
            if self.service
            else sorted(set(report.versions) - self.retired)
        )
        # The platform's list lags; the upstream knows first that it leaves.
        # What runs on it goes on.
        self.runs.set_targets([] if report.leaving else served)

    def retire(self, version: str) -> int:
        """Give a version no new work here.

        Returns:
            The number of its requests that have not ended.
        """
        self.retired.add(version)
        self.runs.set_targets([t for t in self.runs.targets if t != version])
        return sum(
            run.outcome is None and run.attempt.target == version
            for run in self.runs.shelf.runs()
        )

    def revive(self, version: str) -> None:
        """Let a version take work again once it is loaded."""
        self.retired.discard(version)

    def unload(self) -> None:
        """Nothing is held beyond the daemon's tasks."""


def setup(daemon: Daemon, url: str, runs: Runs, service: str) -> Engine:
    """Set the engine's watcher up and start it."""
    engine = Engine(url, runs, service)
    daemon.add(NAME, engine)
    daemon.every(POLL_S, engine.poll)
    return engine
