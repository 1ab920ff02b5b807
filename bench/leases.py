"""Benchmark of leases: time to a new holder, calls to the platform."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import fire

from bench.deployment import Deployment, Shape, wait_until
from bench.example import apply_example
from bench.http import call
from bench.proc import usage
from bench.report import Figure, figure, progress, show
from lacewingdock.components.leases.candidates import rank_candidates
from lacewingdock.components.leases.const import LEASE_ROLLOUTS
from lacewingdock.const import COLLECTION_LEASES
from lacewingdock.platform.store import ObjectStore
from lacewingdock.world.objects import Instance

POLL_S = 0.02
TAKEOVER_AIM_S = 8.0
# Writes a second that all leases together may cost at the target.
WRITES_AIM = 1.0
LEASES_AT_TARGET = 10
ENTRIES_AT_TARGET = 1200
INSTANCES_AT_TARGET = 7700
# What a lease by time would cost: renewed every 2 s, lapsed after 6 s.
BY_TIME_WRITES = 0.5
BY_TIME_TAKEOVER_S = 6.0


def _holder(store: ObjectStore) -> str:
    value = store.get(COLLECTION_LEASES, LEASE_ROLLOUTS, "bench").value or {}
    return str(value.get("holder", ""))


def _takeover(deployment: Deployment, store: ObjectStore, how: int) -> float:
    """Strike the holder; return the seconds until there is another."""
    first = _holder(store)
    process = deployment.processes[first]
    start = time.monotonic()
    process.signal(how)
    while _holder(store) in ("", first):
        time.sleep(POLL_S)
    taken = time.monotonic() - start
    if how == signal.SIGSTOP:
        process.signal(signal.SIGCONT)
    else:
        process.popen.wait(10)
        deployment.restart(first)
    deployment.wait_ready()
    # Until the others have read who holds it now.
    time.sleep(6.0)
    return taken


def _cpu_by_part(
    deployment: Deployment, holder: str, seconds: float
) -> dict[str, list[float]]:
    """Return the CPU milliseconds a second of the entries, idle.

    The candidates can't be told from outside; they are among the others.
    """
    entries = {
        name: process
        for name, process in deployment.processes.items()
        if name.startswith("entry-")
    }
    before = {n: usage(p.popen.pid).cpu_s for n, p in entries.items()}
    time.sleep(seconds)
    taken = {
        name: 1000 * (usage(process.popen.pid).cpu_s - before[name]) / seconds
        for name, process in entries.items()
    }
    others = [value for name, value in taken.items() if name != holder]
    return {"holder": [taken[holder]], "other": others}


def _calls(deployment: Deployment, seconds: float) -> dict[str, float]:
    """Return the platform's calls a second by purpose."""
    url = f"{deployment.processes['platform'].url()}/calls"
    before = call("GET", url).json()
    time.sleep(seconds)
    after = call("GET", url).json()
    return {p: (n - before.get(p, 0)) / seconds for p, n in after.items()}


def main(
    json: bool = False, runs: int = 3, entries: int = 5, window_s: float = 70.0
) -> None:
    """Measure take-overs and calls.

    Args:
        json: Whether to print JSON.
        runs: Strikes of each kind; 0 for counting calls only.
        entries: Number of entries.
        window_s: Seconds that calls are counted for, without strikes.
    """
    shape = Shape(entries=entries, workers=1, domains=["a", "b", "c"])
    with Deployment(shape) as deployment:
        apply_example(deployment)
        store = ObjectStore(deployment.processes["platform"].url())
        wait_until(lambda: bool(_holder(store)), "nobody took the lease")
        time.sleep(6.0)
        progress("counting calls")
        with ThreadPoolExecutor(1) as executor:
            cpu = executor.submit(
                _cpu_by_part, deployment, _holder(store), window_s
            )
            calls = _calls(deployment, window_s)
        strikes = {
            "killed": signal.SIGKILL,
            "frozen": signal.SIGSTOP,
            "stopped": signal.SIGTERM,
        }
        taken: dict[str, list[float]] = {}
        for name, how in strikes.items() if runs else ():
            progress(f"holder {name}")
            taken[name] = [
                _takeover(deployment, store, how) for _ in range(runs)
            ]
    show("leases", 0, _figures(taken, calls, cpu.result()), json)


def _ranking_ms(runs: int) -> list[float]:
    """Measure one ranking of the target's instances, in CPU milliseconds."""
    instances = [
        Instance(
            name=f"i{number}",
            role="entry" if number < ENTRIES_AT_TARGET else "sidecar",
            failure_domain=f"d{number % 7}",
            address="127.0.0.1:1",
        )
        for number in range(INSTANCES_AT_TARGET)
    ]
    taken = []
    for number in range(runs):
        start = time.thread_time()
        rank_candidates(f"lease-{number}", instances, "")
        taken.append((time.thread_time() - start) * 1000)
    return taken


def _figures(
    taken: dict[str, list[float]],
    calls: dict[str, float],
    cpu: dict[str, list[float]],
) -> list[Figure]:
    writes = calls.get("lease", 0.0)
    reads = calls.get("lease-read", 0.0)
    figures = [
        figure(
            f"takeover, holder {name}",
            values,
            "s",
            baseline={"lease by time, 6 s": BY_TIME_TAKEOVER_S},
            aim=f"at most {TAKEOVER_AIM_S:g}",
            reached=lambda value: value <= TAKEOVER_AIM_S,
        )
        for name, values in taken.items()
    ]
    return [
        *figures,
        figure(
            "writes of one lease",
            [writes],
            "1/s",
            baseline={"lease by time, 6 s": BY_TIME_WRITES},
        ),
        figure("reads of one lease", [reads], "1/s"),
        figure(
            f"writes of {LEASES_AT_TARGET} leases",
            [writes * LEASES_AT_TARGET],
            "1/s",
            baseline={"lease by time, 6 s": BY_TIME_WRITES * LEASES_AT_TARGET},
            aim=f"at most {WRITES_AIM:g}",
            reached=lambda value: value <= WRITES_AIM,
        ),
        figure(
            "ranking candidates at the target, on a change of the list",
            _ranking_ms(5),
            "ms CPU",
        ),
        *(
            figure(f"CPU of an idle entry, {part}", values, "ms/s")
            for part, values in cpu.items()
        ),
        figure(
            "reads and writes of the roll-outs' controller, idle",
            [calls.get("rollouts", 0.0)],
            "1/s",
        ),
    ]


if __name__ == "__main__":
    fire.Fire(main)
