"""Support for measuring what entry and sidecar add to a request.

Every figure stands beside the same callers straight to the engines, in the
same run.
"""

import itertools
import os
import subprocess
import sys
import time
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Final

import fire
import msgspec
import numpy

from bench.deployment import Deployment, Process, Shape
from bench.example import RETAIL_KEY, bring_into_force, read_example
from bench.http import call
from bench.report import Figure, figure, progress, show
from bench.streams import Order, Stream, stream_once

MODEL: Final = "drafter"
VERSION: Final = "drafter-1"
WORKERS: Final = 6
CALLER_PROCESSES: Final = 4
THREADS: Final = 32
SHORT_TOKENS: Final = 16
SHORT_PACE: Final = {"first_s": 0.02, "token_s": 0.005}
LONG_PACE: Final = {"first_s": 0.02, "token_s": 0.029}
SETTLE_S: Final = 1.0

MEDIAN_AIM_MS: Final = 3.0
P95_AIM_MS: Final = 10.0
CPU_AIM_US: Final = 40.0
GAP_AIM: Final = 1.15


def cpu_s(process: Process) -> float:
    """Return the CPU seconds that a process has used."""
    stat = Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def start(deployment: Deployment) -> None:
    """Bring the example configuration into force."""
    bring_into_force(deployment, read_example())
    time.sleep(SETTLE_S)


def named(deployment: Deployment, prefix: str) -> list[Process]:
    """Return the processes of a kind."""
    processes = deployment.processes.items()
    return [p for name, p in processes if name.startswith(prefix)]


def set_pace(deployment: Deployment, pace: dict[str, float]) -> None:
    """Set the pace of every engine."""
    for engine in named(deployment, "engine-"):
        call("POST", f"{engine.url()}/control", pace)


def short_requests(
    deployment: Deployment, rate: float, seconds: float
) -> tuple[list[Stream], list[Stream]]:
    """Send short requests to engines and entry in turn.

    Args:
        deployment: The deployment.
        rate: Requests a second, to each of the two.
        seconds: How long.

    Returns:
        What the callers saw straight from the engines and through the entry.
    """
    set_pace(deployment, SHORT_PACE)
    engines = itertools.cycle(p.url() for p in named(deployment, "engine-"))
    entry = deployment.processes["entry-0"].url()
    direct: list[Future[Stream]] = []
    routed: list[Future[Stream]] = []
    begin = time.monotonic()
    with ThreadPoolExecutor(THREADS) as pool:
        for index in range(int(2 * rate * seconds)):
            due = begin + index / (2 * rate)
            time.sleep(max(0.0, due - time.monotonic()))
            prompt = f"easy request {index}"
            url, model, futures = (
                (entry, MODEL, routed)
                if index % 2
                else (next(engines), VERSION, direct)
            )
            futures.append(
                pool.submit(
                    stream_once, url, model, RETAIL_KEY, prompt, SHORT_TOKENS
                )
            )
        return [f.result() for f in direct], [f.result() for f in routed]


def long_streams(
    urls: list[str], model: str, streams: int, tokens: int
) -> list[Stream]:
    """Stream long answers to callers in several processes."""
    order = Order(urls, model, RETAIL_KEY, streams // CALLER_PROCESSES, tokens)
    callers = [
        subprocess.Popen(
            [sys.executable, "-m", "bench.streams"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for _ in range(CALLER_PROCESSES)
    ]
    for caller in callers:
        assert caller.stdin is not None
        caller.stdin.write(msgspec.json.encode(order))
        caller.stdin.close()
    seen: list[Stream] = []
    for caller in callers:
        assert caller.stdout is not None
        seen += msgspec.json.decode(caller.stdout.read(), type=list[Stream])
        caller.wait()
    return seen


def percentile_ms(values: list[float], percent: float) -> float:
    """Return a percentile of seconds in milliseconds."""
    return float(numpy.percentile(values, percent)) * 1000


def gap_ms(streams: list[Stream], percent: float) -> float:
    """Return a percentile of the times between tokens."""
    return percentile_ms([g for s in streams for g in s.gaps_s], percent)


def check_whole(streams: list[Stream], tokens: int) -> None:
    """Refuse to measure answers that are not whole.

    Raises:
        RuntimeError: One is not.
    """
    broken = [s for s in streams if s.status != 200 or s.events <= tokens]
    if broken:
        raise RuntimeError(
            f"{len(broken)} of {len(streams)} answers not whole: "
            f"{broken[0].status}, {broken[0].events} events"
        )


def latency_figures(
    deployment: Deployment, rate: float, seconds: float, runs: int
) -> list[Figure]:
    """Measure latency and first token, added and beside the engine's own."""
    added: dict[tuple[str, int], list[float]] = {}
    own: dict[tuple[str, int], list[float]] = {}
    for run in range(runs):
        progress(f"latency, run {run + 1} of {runs}")
        direct, routed = short_requests(deployment, rate, seconds)
        check_whole(direct + routed, SHORT_TOKENS)
        for what, percent in itertools.product(("whole", "first"), (50, 95)):
            name = f"{what}_s"
            base, through = (
                percentile_ms([getattr(s, name) for s in seen], percent)
                for seen in (direct, routed)
            )
            added.setdefault((what, percent), []).append(through - base)
            own.setdefault((what, percent), []).append(base)
    figures = []
    for (what, percent), values in added.items():
        limit = MEDIAN_AIM_MS if percent == 50 else P95_AIM_MS
        figures.append(
            figure(
                f"added {what} latency p{percent}",
                values,
                "ms",
                baseline={"engine": float(numpy.median(own[what, percent]))},
                aim=f"<= {limit:g} ms",
                reached=lambda v, limit=limit: v <= limit,  # type: ignore[misc]
            )
        )
    return figures


def stream_figures(
    deployment: Deployment, streams: int, seconds: float, runs: int
) -> list[Figure]:
    """Measure many streams through one entry and straight to the engines."""
    set_pace(deployment, LONG_PACE)
    tokens = int(seconds / LONG_PACE["token_s"])
    engines = [p.url() for p in named(deployment, "engine-")]
    entry = deployment.processes["entry-0"]
    sidecars = named(deployment, "worker-")
    entry_us, sidecar_us, gaps, own, ratios = [], [], [], [], []
    for run in range(runs):
        progress(f"{streams} streams, run {run + 1} of {runs}")
        direct = long_streams(engines, VERSION, streams, tokens)
        before = cpu_s(entry), sum(map(cpu_s, sidecars))
        routed = long_streams([entry.url()], MODEL, streams, tokens)
        after = cpu_s(entry), sum(map(cpu_s, sidecars))
        check_whole(direct + routed, tokens)
        relayed = sum(s.events for s in routed)
        entry_us.append((after[0] - before[0]) / relayed * 1e6)
        sidecar_us.append((after[1] - before[1]) / relayed * 1e6)
        gaps.append(gap_ms(routed, 95))
        own.append(gap_ms(direct, 95))
        ratios.append(gaps[-1] / own[-1])
    return [
        figure(
            "entry CPU per relayed token",
            entry_us,
            "us",
            aim=f"<= {CPU_AIM_US:g} us",
            reached=lambda v: v <= CPU_AIM_US,
        ),
        figure("sidecar CPU per relayed token", sidecar_us, "us"),
        figure(
            f"inter-token p95, {streams} streams",
            gaps,
            "ms",
            baseline={"engine": float(numpy.median(own))},
        ),
        figure(
            "inter-token p95 against the engine's own",
            ratios,
            "ratio",
            aim=f"<= {GAP_AIM}",
            reached=lambda v: v <= GAP_AIM,
        ),
    ]


def main(
    json: bool = False,
    rate: float = 25.0,
    seconds: float = 10.0,
    streams: int = 280,
    stream_s: float = 10.0,
    runs: int = 3,
    seed: int = 1,
) -> None:
    """Measure the path.

    Args:
        json: Print one JSON object.
        rate: Short requests a second, to entry and engines each.
        seconds: How long a run of short requests lasts.
        streams: Long streams at once; 0 leaves them out.
        stream_s: How long a stream lasts.
        runs: Runs of each.
        seed: Printed with the figures; nothing here is drawn.
    """
    shape = Shape(workers=WORKERS, booking_workers=0)
    with Deployment(shape) as deployment:
        start(deployment)
        figures = latency_figures(deployment, rate, seconds, runs)
        if streams:
            figures += stream_figures(deployment, streams, stream_s, runs)
    show("path", seed, figures, json)


if __name__ == "__main__":
    fire.Fire(main)
