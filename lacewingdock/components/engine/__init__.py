"""Support for knowing what the upstream beside a sidecar has loaded."""

import io
from typing import Final

import msgspec
import pycurl

from lacewingdock.components.runs import Runs
from lacewingdock.core import Daemon
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger

NAME: Final = "engine"
POLL_S: Final = 0.5
TIMEOUT_MS: Final = 1000
FAILURES_UNTIL_DOWN: Final = 2

log = get_logger(NAME)


class EngineReport(msgspec.Struct):
    """What a model engine says of itself.

    Attributes:
        versions: Versions loaded.
        leaving: Whether it takes no new work.
    """

    versions: list[str] = msgspec.field(default_factory=list)
    leaving: bool = False


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
            report = self._ask()
        except (pycurl.error, msgspec.DecodeError) as error:
            self.failures += 1
            if self.failures == FAILURES_UNTIL_DOWN:
                log.warning("upstream does not answer", error=str(error))
                self.runs.set_targets([])
            return
        self.failures = 0
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

    def _ask(self) -> EngineReport:
        received = io.BytesIO()
        curl = pycurl.Curl()
        try:
            curl.setopt(pycurl.URL, f"{self.url}/status")
            curl.setopt(pycurl.NOSIGNAL, 1)
            curl.setopt(pycurl.NOPROXY, "*")
            curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
            curl.setopt(pycurl.FAILONERROR, 1)
            curl.setopt(pycurl.WRITEFUNCTION, received.write)
            curl.perform()
        finally:
            curl.close()
        return decode_json(received.getvalue(), EngineReport)

    def unload(self) -> None:
        """Nothing is held beyond the daemon's tasks."""


def setup(daemon: Daemon, url: str, runs: Runs, service: str) -> Engine:
    """Set the engine's watcher up and start it."""
    engine = Engine(url, runs, service)
    daemon.add(NAME, engine)
    daemon.every(POLL_S, engine.poll)
    return engine
