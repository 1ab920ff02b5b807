"""Benchmark of whole answers: silent links, dead sidecars, planned stops.

All times are taken at the caller and all counts at the caller or the engine's
stand-in.
"""

import itertools
import signal
import threading
import time
from collections.abc import Callable
from typing import Final

import fire

from bench.balancer import Balancer
from bench.deployment import Deployment, Shape, wait_until
from bench.example import RETAIL_KEY, bring_into_force, read_example
from bench.http import call
from bench.load import Load, Outcome
from bench.relay import RelayedDeployment
from bench.report import Figure, figure, progress, show
from bench.stream import Stream
from lacewingdock.const import SILENCE_S

TOKEN_S: Final = 0.029
FIRST_S: Final = 0.02
SLOW_FIRST_S: Final = 2.0
ENTRIES: Final = ("entry-0", "entry-1")
LOAD_RATE: Final = 30.0
LOAD_TOKENS: Final = 40
LIST_LAG_S: Final = 1.0


def prepare(deployment: Deployment) -> None:
    """Bring the example manifest into force."""
    bring_into_force(deployment, read_example())
    deployment.wait_links()


def control(deployment: Deployment, **change: object) -> None:
    """Change both engines."""
    for index in (0, 1):
        url = deployment.processes[f"engine-{index}"].url()
        call("POST", f"{url}/control", change)


def served(deployment: Deployment, index: int) -> int:
    """Return how many requests reached an engine."""
    url = deployment.processes[f"engine-{index}"].url()
    return int(sum(call("GET", f"{url}/status").json()["served"].values()))


def running(deployment: Deployment) -> int:
    """Return how many requests run on both engines."""
    urls = [deployment.processes[f"engine-{i}"].url() for i in (0, 1)]
    return sum(call("GET", f"{u}/status").json()["running"] for u in urls)


def begin(deployment: Deployment, prompt: str, tokens: int) -> Stream:
    """Start a streamed answer at the first entry."""
    url = deployment.processes[ENTRIES[0]].url()
    return Stream(url, RETAIL_KEY, prompt, tokens)


def worker_of(stream: Stream) -> str:
    """Return the sidecar that a stream comes from."""
    return stream.last_id().split("/")[0]


def silence_to_token(deployment: RelayedDeployment, number: int) -> float:
    """Swallow a link in mid-stream; return seconds to the next token."""
    stream = begin(deployment, f"silence {number}", 100)
    stream.wait_parts(20)
    relay = deployment.relays[worker_of(stream)]
    relay.swallow()
    start = time.monotonic()
    stream.join()
    if not stream.is_done():
        raise RuntimeError(f"not whole: {stream.error()}")
    return next(at for at in stream.times if at > start + FIRST_S) - start


def fault_to_token(
    deployment: Deployment, number: int, fault: signal.Signals
) -> float:
    """Stop a sidecar that showed nothing; return seconds lost by it."""
    control(deployment, first_s=SLOW_FIRST_S)
    before = [served(deployment, index) for index in (0, 1)]
    sent = time.monotonic()
    stream = begin(deployment, f"fault {fault} {number}", 10)
    wait_until(
        lambda: [served(deployment, i) for i in (0, 1)] != before, "not served"
    )
    index = 0 if served(deployment, 0) != before[0] else 1
    sidecar = deployment.processes[f"worker-{index}"]
    sidecar.signal(fault)
    start = time.monotonic()
    stream.wait_parts(1)
    lost = stream.times[0] - sent - SLOW_FIRST_S - (start - sent)
    stream.join()
    sidecar.signal(signal.SIGCONT)
    if sidecar.popen.poll() is not None or fault is signal.SIGKILL:
        sidecar.popen.wait(5)
        deployment.restart(sidecar.name)
    control(deployment, first_s=FIRST_S)
    deployment.wait_ready()
    deployment.wait_links()
    if not stream.is_done():
        raise RuntimeError(f"not whole: {stream.error()}")
    return lost


def leave_to_free(deployment: Deployment, number: int) -> float:
    """Leave before the first token; return seconds until the engine is free."""
    control(deployment, first_s=30.0)
    wait_until(lambda: running(deployment) == 0, "earlier work runs on")
    stream = begin(deployment, f"leave {number}", 10)
    wait_until(lambda: running(deployment) == 1, "not running")
    stream.leave()
    start = time.monotonic()
    while running(deployment):
        time.sleep(0.002)
    control(deployment, first_s=FIRST_S)
    return time.monotonic() - start


def under_load(
    deployment: Deployment, seconds: float, seed: int, act: Callable[[], None]
) -> list[Outcome]:
    """Run a load, act in it, and return what the callers got."""
    with Balancer(deployment, list(ENTRIES)) as balancer:
        load = Load(
            balancer.entries,
            RETAIL_KEY,
            LOAD_RATE,
            seconds,
            seed,
            tokens=LOAD_TOKENS,
            kinds=["chat"],
        )
        task = threading.Thread(target=load.run, args=(96,))
        task.start()
        wait_until(lambda: len(load.outcomes) >= 10, "no load")
        act()
        task.join()
    return load.outcomes


def stop_process(deployment: Deployment, name: str) -> None:
    """Stop a process as planned and start it again."""
    if deployment.processes[name].stop():
        raise RuntimeError(f"{name} says that it cut requests")
    deployment.restart(name)


def leave_by_list(deployment: Deployment) -> None:
    """Let the platform's list say that a worker leaves."""
    deployment.instances["worker-0"]["state"] = "leaving"
    deployment.publish()


def leave_by_engine(deployment: Deployment) -> None:
    """Let an engine say that it leaves."""
    url = deployment.processes["engine-0"].url()
    call("POST", f"{url}/control", {"leaving": True})


def undo_leave(deployment: Deployment) -> None:
    """Take both back."""
    deployment.instances["worker-0"]["state"] = "live"
    deployment.publish()
    control(deployment, leaving=False)
    deployment.wait_ready()
    time.sleep(LIST_LAG_S)


def new_work_after(
    deployment: Deployment, announce: Callable[[Deployment], None], seed: int
) -> tuple[float, list[Outcome]]:
    """Announce a leave under load.

    Returns:
        Seconds from the announcement to the last new work at the engine, and
        what the callers got.
    """
    last = [0.0]

    def act() -> None:
        announce(deployment)
        start = time.monotonic()
        count = served(deployment, 0)
        while time.monotonic() < start + 6.0:
            now = served(deployment, 0)
            if now != count:
                count, last[0] = now, time.monotonic() - start
            time.sleep(0.01)

    outcomes = under_load(deployment, 8.0, seed, act)
    undo_leave(deployment)
    return last[0], outcomes


def kill_under_load(deployment: Deployment, seed: int) -> tuple[int, float]:
    """Kill a sidecar under load.

    Returns:
        Requests started after the kill that failed, and seconds from the kill
        to the last start of one that failed, 0.0 for none.
    """
    killed = []

    def act() -> None:
        deployment.processes["worker-0"].kill()
        killed.append(time.monotonic())

    outcomes = under_load(deployment, 4.0, seed, act)
    deployment.restart("worker-0")
    deployment.wait_ready()
    deployment.wait_links()
    late = [o.started - killed[0] for o in outcomes if not o.whole]
    late = [seconds for seconds in late if seconds > 0]
    return len(late), max(late, default=0.0)


def measure_links(runs: int) -> list[Figure]:
    """Measure silent links, dead sidecars and leaving callers."""
    shape = Shape(entries=2, workers=2, token_s=TOKEN_S, first_s=FIRST_S)
    with RelayedDeployment(shape) as deployment:
        prepare(deployment)
        progress("silent links")
        silence = [silence_to_token(deployment, n) for n in range(runs)]
        progress("leaving callers")
        left = [leave_to_free(deployment, n) for n in range(runs)]
        progress("dead sidecars")
        killed = [
            fault_to_token(deployment, n, signal.SIGKILL) for n in range(runs)
        ]
        frozen = [
            fault_to_token(deployment, n, signal.SIGSTOP) for n in range(runs)
        ]
    return [
        figure(
            "silence to the next token on the new link",
            silence,
            "s",
            baseline={"silence limit": SILENCE_S},
            aim="under 1 s",
            reached=lambda value: value < 1.0,
        ),
        figure(
            "caller leaves before the first token to engine free",
            left,
            "s",
            aim="under 1 s",
            reached=lambda value: value < 1.0,
        ),
        figure(
            "sidecar killed, nothing shown: time lost elsewhere",
            killed,
            "s",
            aim="under 1 s",
            reached=lambda value: value < 1.0,
        ),
        figure(
            "sidecar frozen, nothing shown: time lost elsewhere",
            frozen,
            "s",
            aim="within a few seconds (3 s)",
            reached=lambda value: value < 3.0,
        ),
    ]


def measure_stops(runs: int, seed: int) -> list[Figure]:
    """Measure requests cut by planned stops, and late new work."""
    shape = Shape(
        entries=2,
        workers=2,
        token_s=TOKEN_S,
        first_s=FIRST_S,
        lag_s=LIST_LAG_S,
    )
    figures = []
    seeds = itertools.count(seed)
    with Deployment(shape) as deployment:
        prepare(deployment)
        for name in ("entry-0", "worker-0"):
            progress(f"stop of {name}")
            outcomes = [
                under_load(
                    deployment,
                    4.0,
                    next(seeds),
                    lambda n=name: stop_process(deployment, n),  # type: ignore[misc]
                )
                for _ in range(runs)
            ]
            figures.append(_cut(f"planned stop of {name}", outcomes))
        for label, announce in (
            ("platform's list", leave_by_list),
            ("engine itself", leave_by_engine),
        ):
            progress(f"leave by {label}")
            results = [
                new_work_after(deployment, announce, next(seeds))
                for _ in range(runs)
            ]
            figures.append(_cut(f"leave by {label}", [r[1] for r in results]))
            figures.append(
                figure(
                    f"leave by {label}: last new work after",
                    [r[0] for r in results],
                    "s",
                    baseline={"lag of the list": LIST_LAG_S},
                    aim="a few seconds (5 s)",
                    reached=lambda value: value < 5.0,
                )
            )
        progress("kills under load")
        kills = [kill_under_load(deployment, next(seeds)) for _ in range(runs)]
    figures.append(
        figure(
            "sidecar killed: later requests that failed",
            [float(count) for count, _ in kills],
            "requests",
            aim="0",
            reached=lambda value: value == 0,
        )
    )
    return figures


def _cut(what: str, outcomes: list[list[Outcome]]) -> Figure:
    """Count over all runs together: one cut request breaks the promise."""
    return figure(
        f"{what}: requests cut, {len(outcomes)} runs",
        [float(sum(not o.whole for run in outcomes for o in run))],
        "requests",
        baseline={"requests": float(sum(len(run) for run in outcomes))},
        aim="0",
        reached=lambda value: value == 0,
    )


def main(json: bool = False, runs: int = 5, seed: int = 1) -> None:
    """Measure whole answers and print the figures.

    Args:
        json: Print one JSON object instead of a table.
        runs: Runs of each measurement.
        seed: Seed of the loads.
    """
    figures = [*measure_links(runs), *measure_stops(runs, seed)]
    show("answers", seed, figures, json)


if __name__ == "__main__":
    fire.Fire(main)
