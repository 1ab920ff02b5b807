"""Support for measuring what control costs a daemon, and its slopes."""

import time
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import fire
from scipy import stats

from bench import control_subset
from bench.control_fleet import (
    LINKS,
    Fleet,
    Sample,
    bare_fleet,
    frozen,
    light_peers,
)
from bench.deployment import Process, wait_until
from bench.proc import usage
from bench.report import Figure, figure, progress, show

# Budgets of the target, for control in one daemon.
CPU_PERCENT: Final = 1.8
MEMORY_MB: Final = 64.0
BYTES_S: Final = 18 * 1024.0
IN_FORCE_S: Final = 19.0

ENTRY_LINKS: Final = (8, 42, 84, 168)
SIDECAR_LINKS: Final = (1, 8, 31, 62)
WORKSPACES: Final = (10, 300)
CHANGES_S: Final = (1.0, 4.0)
WINDOWS: Final = 3
SCRAPES: Final = 100
WINDOW_S: Final = 8.0
FLEETS: Final = (20, 50, 100)
CHANGES: Final = 5
FREEZES: Final = 3
FROZEN_S: Final = 18.0

Get = Callable[[Sample], float]


def budget(name: str, runs: list[float], unit: str, limit: float) -> Figure:
    """Build a figure that has a budget."""
    return figure(
        name,
        runs,
        unit,
        aim=f"at most {limit:g}",
        reached=lambda value: value <= limit,
    )


def slope(name: str, points: list[tuple[float, float]], unit: str) -> Figure:
    """Fit a line; the spread is the slope's standard error either way."""
    xs, ys = zip(*points, strict=True)
    line = stats.linregress(xs, ys)
    # Not the library's own number type, which is no JSON.
    value, error = float(line.slope), float(line.stderr)
    spread = (value - error, value + error)
    return Figure(name, value, unit, runs=len(points), spread=spread)


class Series:
    """Samples of daemons in several windows.

    Attributes:
        windows: By daemon, its samples.
    """

    __slots__ = ("windows",)

    def __init__(
        self, fleet: Fleet, processes: list[Process], changes_s: float
    ) -> None:
        """Take the samples while changes are made."""
        self.windows: dict[str, list[Sample]] = {}
        with fleet.changing(changes_s):
            for _ in range(WINDOWS):
                for name, one in fleet.sample(processes, WINDOW_S).items():
                    self.windows.setdefault(name, []).append(one)

    def of(self, name: str, get: Get) -> list[float]:
        """Return one measure of one daemon in each window."""
        return [get(sample) for sample in self.windows[name]]


def measure_daemons(changes: bool = True) -> list[Figure]:
    """Measure daemons with different numbers of links, one machine.

    Args:
        changes: Whether to measure changes of the configuration, too.
    """
    with bare_fleet(["domain-0"]) as fleet:
        deployment = fleet.deployment
        fleet.configure(WORKSPACES[0])
        sidecars = {
            count: deployment.add_sidecar(
                f"sidecar-{count}", f"domain-{at}", fleet.engine, "engines"
            )
            for at, count in enumerate(SIDECAR_LINKS)
        }
        # The real sidecars are dialed by light entries only.
        deployment.instances.clear()
        deployment.wait_ready()
        dial = [
            [p for count, p in sidecars.items() if at < count]
            for at in range(max(SIDECAR_LINKS))
        ]
        light = light_peers(fleet, max(ENTRY_LINKS), dial)
        entries = {}
        for at, count in enumerate(ENTRY_LINKS):
            deployment.shape.entry_flags = [f"--subset={count}"]
            deployment.shape.domains = [f"domain-{at}"]
            entries[count] = deployment.add_entry(at)
        deployment.instances.update({i["name"]: i for i in light})
        deployment.publish()
        daemons = [*entries.values(), *sidecars.values()]
        for count, process in [*entries.items(), *sidecars.items()]:
            # Shows the log of a process that ended, as when a port was taken.
            deployment.wait_port(process, "admin_port")
            wait_until(
                lambda p=process, c=count: fleet.metrics(p).get(LINKS, 0) >= c,  # type: ignore[misc]
                f"{process.name} has not {count} links",
                60,
            )
        time.sleep(WINDOW_S)
        return _daemon_figures(fleet, entries, sidecars, daemons, changes)


def _daemon_figures(
    fleet: Fleet,
    entries: dict[int, Process],
    sidecars: dict[int, Process],
    daemons: list[Process],
    changes: bool,
) -> list[Figure]:
    progress("daemons: idle")
    idle = Series(fleet, daemons, 0.0)
    figures = _at_target("entry, 168 links", idle, entries[168].name)
    figures += _at_target("sidecar, 31 links", idle, sidecars[31].name)
    figures += _link_slopes("entry", idle, entries)
    figures += _link_slopes("sidecar", idle, sidecars)
    progress("daemons: scrapes")
    figures += _scrapes("entry, 168 links", fleet, entries[168])
    figures += _scrapes("sidecar, 31 links", fleet, sidecars[31])
    for workspaces in WORKSPACES if changes else ():
        fleet.configure(workspaces)
        wait_until(lambda: fleet.in_force(daemons), "not in force")
        still = idle
        if workspaces != WORKSPACES[0]:
            progress(f"daemons: idle, {workspaces} workspaces")
            still = Series(fleet, daemons, 0.0)
        rates = {0.0: still}
        for rate in CHANGES_S:
            progress(f"daemons: {rate} changes/s, {workspaces} workspaces")
            rates[rate] = Series(fleet, daemons, rate)
        label = f"{workspaces} workspaces"
        for kind, process in (
            ("entry, 168 links", entries[168]),
            ("sidecar, 31 links", sidecars[31]),
        ):
            figures += _change_slopes(f"{kind}, {label}", rates, process.name)
            figures.append(
                figure(
                    f"{kind}, {label}: memory",
                    still.of(process.name, lambda s: s.rss_mb),
                    "MB",
                )
            )
    return figures


def _at_target(kind: str, idle: Series, name: str) -> list[Figure]:
    cpu = idle.of(name, lambda s: s.cpu)
    memory = idle.of(name, lambda s: s.rss_mb)
    private = idle.of(name, lambda s: s.private_mb)
    bytes_s = idle.of(name, lambda s: s.bytes)
    messages = idle.of(name, lambda s: s.messages)
    return [
        budget(f"{kind}: CPU", cpu, "%", CPU_PERCENT),
        budget(f"{kind}: memory", memory, "MB", MEMORY_MB),
        figure(f"{kind}: private memory", private, "MB"),
        figure(f"{kind}: threads", idle.of(name, lambda s: s.threads), ""),
        budget(f"{kind}: link bytes", bytes_s, "B/s", BYTES_S),
        figure(f"{kind}: messages", messages, "1/s"),
    ]


def _scrapes(kind: str, fleet: Fleet, process: Process) -> list[Figure]:
    """Measure what a scrape of the metrics costs a daemon."""
    size = fleet.scrape(process)
    before = usage(process.popen.pid)
    for _ in range(SCRAPES):
        fleet.scrape(process)
    after = usage(process.popen.pid)
    cost = 1000 * (after.cpu_s - before.cpu_s) / SCRAPES
    grown = after.rss_mb - before.rss_mb
    return [
        figure(f"{kind}: bytes a scrape", [float(size)], "B"),
        figure(f"{kind}: CPU a scrape", [cost], "ms"),
        figure(f"{kind}: memory grown by {SCRAPES} scrapes", [grown], "MB"),
    ]


def _link_slopes(
    kind: str, idle: Series, daemons: dict[int, Process]
) -> list[Figure]:
    measures: list[tuple[str, Get, str]] = [
        ("CPU", lambda s: s.cpu, "%"),
        ("memory", lambda s: s.rss_mb, "MB"),
        ("link bytes", lambda s: s.bytes, "B/s"),
        ("messages", lambda s: s.messages, "1/s"),
    ]
    figures = []
    for measure, get, unit in measures:
        points = [
            (float(count), value)
            for count, process in daemons.items()
            for value in idle.of(process.name, get)
        ]
        figures.append(slope(f"{kind}: {measure} a link", points, unit))
    return figures


def _change_slopes(
    kind: str, rates: dict[float, Series], name: str
) -> list[Figure]:
    def points(get: Get) -> list[tuple[float, float]]:
        return [
            (rate, value)
            for rate, series in rates.items()
            for value in series.of(name, get)
        ]

    return [
        slope(f"{kind}: CPU a change/s", points(lambda s: s.cpu), "%"),
        slope(f"{kind}: bytes a change", points(lambda s: s.bytes), "B"),
    ]


def measure_fleet(count: int) -> list[Figure]:
    """Measure a fleet of real daemons in two failure domains.

    Args:
        count: Processes in all.
    """
    with bare_fleet(["domain-0", "domain-1"]) as fleet:
        deployment = fleet.deployment
        fleet.configure(WORKSPACES[0])
        entries = max(6, count // 5)
        start = time.monotonic()
        for index in range(count - entries - len(deployment.processes)):
            deployment.add_sidecar(
                f"worker-{index}",
                deployment.domain(index),
                fleet.engine,
                "engines",
            )
        for index in range(entries):
            deployment.add_entry(index)
        deployment.publish()
        deployment.wait_ready()
        started = time.monotonic() - start
        label = f"{count} processes"
        figures = [figure(f"{label}: all ready", [started], "s")]
        calls = fleet.calls()
        for purpose in ("config-list", "instances"):
            figures.append(
                figure(
                    f"{label}: {purpose} calls to start",
                    [float(calls.get(purpose, 0))],
                    "calls",
                )
            )
        time.sleep(WINDOW_S)
        return figures + _idle(fleet, label) + _spread(fleet, label)


def _idle(fleet: Fleet, label: str) -> list[Figure]:
    progress(f"{label}: idle")
    before = fleet.calls()
    start = time.monotonic()
    series = Series(fleet, fleet.deployment.daemons(), 0.0)
    seconds = time.monotonic() - start
    after = fleet.calls()
    figures = []
    for kind, found in (
        ("entry", fleet.entries()),
        ("sidecar", fleet.sidecars()),
    ):
        for measure, unit, limit, get in _measures():
            runs = [v for p in found for v in series.of(p.name, get)]
            figures.append(
                budget(f"{label}, {kind}: {measure}", runs, unit, limit)
            )
    for purpose in sorted(after):
        rate = (after[purpose] - before.get(purpose, 0)) / seconds
        if rate:
            figures.append(
                figure(f"{label}: platform calls, {purpose}", [rate], "1/s")
            )
    return figures


def _measures() -> list[tuple[str, str, float, Get]]:
    return [
        ("CPU", "%", CPU_PERCENT, lambda s: s.cpu),
        ("memory", "MB", MEMORY_MB, lambda s: s.rss_mb),
        ("link bytes", "B/s", BYTES_S, lambda s: s.bytes),
    ]


def _spread(fleet: Fleet, label: str) -> list[Figure]:
    """Measure how long a change takes, also while daemons are frozen."""
    daemons = fleet.deployment.daemons()
    runs = []
    for _ in range(CHANGES):
        runs.append(fleet.seconds_to_force(daemons, fleet.change(), 60))
    figures = [budget(f"{label}: change in force", runs, "s", IN_FORCE_S)]
    progress(f"{label}: watchers frozen")
    watchers = fleet.watchers()
    others = [p for p in daemons if p not in watchers]
    taken, thawed = _freeze(fleet, watchers, others, FREEZES, 0.0)
    figures += [
        budget(f"{label}: watchers frozen", taken, "s", IN_FORCE_S),
        budget(f"{label}: watchers thawed", thawed, "s", IN_FORCE_S),
    ]
    progress(f"{label}: a domain frozen")
    lost = [p for p in daemons if fleet.domain(p) == "domain-1"]
    rest = [p for p in daemons if p not in lost]
    taken, thawed = _freeze(fleet, lost, rest, 1, FROZEN_S)
    return [
        *figures,
        budget(f"{label}: domain frozen, the rest", taken, "s", IN_FORCE_S),
        budget(f"{label}: domain thawed", thawed, "s", IN_FORCE_S),
    ]


def _freeze(
    fleet: Fleet,
    lost: list[Process],
    rest: list[Process],
    times: int,
    before_s: float,
) -> tuple[list[float], list[float]]:
    """Freeze daemons, make a change, thaw them, several times.

    Args:
        fleet: The fleet.
        lost: Daemons to freeze.
        rest: All others.
        times: How often.
        before_s: Seconds frozen before the change; past the time in which
            a silent link is given up, the thawed must link anew.

    Returns:
        Seconds until the rest had the change, and until the thawed had it.
    """
    taken, thawed = [], []
    for _ in range(times):
        with frozen(lost):
            time.sleep(before_s)
            taken.append(fleet.seconds_to_force(rest, fleet.change(), 60))
        since = time.time()
        again = fleet.seconds_to_force(lost, since, 60)
        thawed.append(max(0.0, again))
    return taken, thawed


def main(json: bool = False, part: Any = "all", seed: int = 0) -> None:
    """Measure control costs.

    Args:
        json: Print one JSON object.
        part: "subset", "idle", "daemons", "20", "50", "100", several of them
            separated by commas, or "all".
        seed: Printed only; nothing is drawn at random here.
    """
    parts: dict[str, Callable[[], list[Figure]]] = {
        "subset": control_subset.measure,
        "idle": partial(measure_daemons, changes=False),
        "daemons": measure_daemons,
    }
    for count in FLEETS:
        parts[str(count)] = lambda n=count: measure_fleet(n)  # type: ignore[misc]
    given = part if isinstance(part, list | tuple) else [part]
    # The idle daemons are a part of the daemons.
    every = [name for name in parts if name != "idle"]
    names = every if part == "all" else [str(name) for name in given]
    figures: list[Any] = []
    for name in names:
        progress(f"control: {name}")
        figures += parts[name]()
    show("control", seed, figures, json)


if __name__ == "__main__":
    fire.Fire(main)
