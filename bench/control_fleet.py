"""Support for fleets of real daemons whose control work is measured."""

import hashlib
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Final

from bench.deployment import (
    HOST,
    Deployment,
    Process,
    Shape,
    wait_until,
)
from bench.http import call
from bench.proc import Usage, usage
from lacewingdock.components.configuration import WATCHERS_PER_DOMAIN
from lacewingdock.components.configuration.apply import apply_manifest
from lacewingdock.const import COLLECTION_CONFIG
from lacewingdock.platform.store import ObjectStore
from lacewingdock.world.manifest import parse_manifest

VERSIONS: Final = [f"version-{i}" for i in range(7)]
REVISION: Final = "lacewingdock_configuration_revision"
CHANGED_AT: Final = "lacewingdock_configuration_changed_timestamp_seconds"
LINKS: Final = "lacewingdock_links"
TRAFFIC: Final = "lacewingdock_link_traffic"


def manifest(workspaces: int) -> str:
    """Return a manifest with seven versions and a number of workspaces."""
    lines = ["version:"]
    lines += [f"  {v}: {{model: m, output_price: 1.0}}" for v in VERSIONS]
    lines += ["model:", "  m: {shares: {version-0: 1.0}}", "workspace:"]
    allowed = ", ".join(VERSIONS)
    for index in range(workspaces):
        digest = hashlib.sha256(str(index).encode()).hexdigest()
        lines += [
            f"  brand-{index}:",
            f"    keys: [{digest}]",
            "    models: [m]",
            f"    versions: [{allowed}]",
            "    objectives:",
            "      - {measure: first_token, target: 0.95, limit_s: 1.0}",
            "      - {measure: inter_token, target: 0.95, limit_s: 0.029}",
        ]
    return "\n".join(lines) + "\n"


@dataclass(slots=True)
class Sample:
    """What a daemon used in a window.

    Attributes:
        cpu: Percent of a core.
        rss_mb: Resident memory at its end.
        private_mb: The part that no other process shares.
        threads: Threads at its end.
        sent_bytes: Bytes a second sent over links.
        bytes: Bytes a second over links, both ways.
        messages: Messages a second over links, both ways.
    """

    cpu: float
    rss_mb: float
    private_mb: float
    threads: float
    sent_bytes: float
    bytes: float
    messages: float


class Fleet:
    """A deployment and the means to measure it.

    Attributes:
        deployment: The processes.
        store: The platform, as the bench uses it.
        engine: The one engine behind all sidecars.
        revision: The last revision written.
    """

    __slots__ = ("deployment", "engine", "revision", "store")

    def __init__(self, deployment: Deployment) -> None:
        """Take a deployment that has only the platform running."""
        self.deployment = deployment
        self.store = ObjectStore(deployment.processes["platform"].url())
        self.engine = deployment.run_module(
            "engine",
            "standins.engine",
            ["port"],
            f"--versions={','.join(VERSIONS)}",
        )
        self.revision = 0

    def configure(self, workspaces: int) -> None:
        """Bring a manifest into force."""
        parsed = parse_manifest(manifest(workspaces))
        changes = apply_manifest(self.store, parsed)
        self.revision = max([self.revision, *(c.revision for c in changes)])

    def change(self) -> float:
        """Change one workspace; return the Unix time it was accepted."""
        name = "workspace/brand-0"
        stored = self.store.get(COLLECTION_CONFIG, name, "bench")
        value = dict(stored.value)
        value["budget"] = float(value.get("budget") or 0) + 1.0
        written = self.store.put(
            COLLECTION_CONFIG, name, value, stored.revision, "bench"
        )
        self.revision = written.revision
        return time.time()

    @contextmanager
    def changing(self, a_second: float) -> Iterator[None]:
        """Make changes at a steady rate in the meantime."""
        stop = threading.Event()

        def run() -> None:
            while a_second and not stop.wait(1.0 / a_second):
                self.change()

        task = threading.Thread(target=run)
        task.start()
        try:
            yield
        finally:
            stop.set()
            task.join()

    def metrics(self, process: Process) -> dict[str, float]:
        """Return a daemon's metrics by name and labels."""
        found = {}
        for line in self._metrics(process).decode().splitlines():
            name, _, value = line.rpartition(" ")
            if name and not line.startswith("#"):
                found[name] = float(value)
        return found

    def scrape(self, process: Process) -> int:
        """Read a daemon's metrics; return their size in bytes."""
        return len(self._metrics(process))

    def _metrics(self, process: Process) -> bytes:
        return call("GET", f"{process.url('admin_port')}/metrics").body

    def in_force(self, processes: list[Process]) -> bool:
        """Tell whether the last change is in force in all of them."""
        return all(
            self.metrics(p).get(REVISION, 0) >= self.revision for p in processes
        )

    def seconds_to_force(
        self, processes: list[Process], since: float, timeout_s: float
    ) -> float:
        """Return the seconds from a time until the last one had the change."""
        try:
            wait_until(lambda: self.in_force(processes), "", timeout_s)
        except RuntimeError:
            late = [p.name for p in processes if not self.in_force([p])]
            raise RuntimeError(f"not in force in {late}") from None
        times = [self.metrics(p)[CHANGED_AT] for p in processes]
        return max(times) - since

    def sample(
        self, processes: list[Process], window_s: float
    ) -> dict[str, Sample]:
        """Measure daemons over a window."""
        first = {p.name: self.metrics(p) for p in processes}
        start = {p.name: usage(p.popen.pid) for p in processes}
        time.sleep(window_s)
        end = {p.name: usage(p.popen.pid) for p in processes}
        last = {p.name: self.metrics(p) for p in processes}
        return {
            p.name: _difference(
                start[p.name],
                end[p.name],
                first[p.name],
                last[p.name],
                window_s,
            )
            for p in processes
        }

    def calls(self) -> dict[str, int]:
        """Return the platform's own count of calls by purpose."""
        url = f"{self.deployment.processes['platform'].url()}/calls"
        counted = call("GET", url).json()
        return {k: v for k, v in counted.items() if k != "bench"}

    def entries(self) -> list[Process]:
        """Return the entries."""
        return [p for p in self.deployment.daemons() if "port" in p.ports]

    def sidecars(self) -> list[Process]:
        """Return the sidecars."""
        return [p for p in self.deployment.daemons() if "port" not in p.ports]

    def watchers(self) -> list[Process]:
        """Return the entries that watch the platform."""
        by_domain: dict[str, list[str]] = {}
        for process in self.entries():
            domain = self.domain(process)
            by_domain.setdefault(domain, []).append(process.name)
        names: set[str] = set()
        for found in by_domain.values():
            found.sort(key=lambda n: hashlib.sha256(n.encode()).digest())
            names |= set(found[:WATCHERS_PER_DOMAIN])
        return [p for p in self.entries() if p.name in names]

    def domain(self, process: Process) -> str:
        """Return the failure domain of a daemon."""
        return str(self.deployment.instances[process.name]["failure_domain"])


@contextmanager
def frozen(processes: list[Process]) -> Iterator[None]:
    """Freeze processes in the meantime."""
    for process in processes:
        process.signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for process in processes:
            process.signal(signal.SIGCONT)


@contextmanager
def bare_fleet(domains: list[str]) -> Iterator[Fleet]:
    """Start the platform, the ratings and one engine."""
    shape = Shape(domains=domains, entries=0, workers=0, booking_workers=0)
    with Deployment(shape) as deployment:
        yield Fleet(deployment)


def light_peers(
    fleet: Fleet, sidecars: int, dial: list[list[Process]]
) -> list[dict[str, Any]]:
    """Start light sidecars, and light entries that dial real sidecars.

    Returns:
        The light sidecars as the instance list shows them.
    """
    addresses = [
        "/".join(f"{HOST}:{p.ports['link_port']}" for p in found)
        for found in dial
    ]
    deployment = fleet.deployment
    report = deployment.folder / "light.addresses"
    deployment.run_module(
        "light",
        "standins.peers",
        [],
        f"--platform={deployment.processes['platform'].url()}",
        f"--keys={deployment.folder}/link.keys",
        f"--report={report}",
        f"--sidecars={sidecars}",
        f"--versions=[{','.join(VERSIONS)}]",
        f"--dial={','.join(addresses)}",
    )
    wait_until(report.exists, "the light peers did not start", 60)
    return [
        {
            "name": f"light-{index}",
            "role": "sidecar",
            "failure_domain": f"domain-{index % 7}",
            "address": address,
            "pool": "light",
        }
        for index, address in enumerate(report.read_text().split())
    ]


def _difference(
    start: Usage,
    end: Usage,
    first: dict[str, float],
    last: dict[str, float],
    window_s: float,
) -> Sample:
    def grown(kind: str) -> float:
        name = f'{TRAFFIC}{{kind="{kind}"}}'
        return (last[name] - first[name]) / window_s

    return Sample(
        cpu=100 * (end.cpu_s - start.cpu_s) / window_s,
        rss_mb=end.rss_mb,
        private_mb=end.private_mb,
        threads=end.threads,
        sent_bytes=grown("sent_bytes"),
        bytes=grown("sent_bytes") + grown("heard_bytes"),
        messages=grown("sent_messages") + grown("heard_messages"),
    )
