"""Support for measuring what one crashing request costs the fleet."""

import itertools
import random
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Final

import fire

from bench.deployment import Deployment, Shape
from bench.example import RETAIL_KEY, bring_into_force, read_example
from bench.http import Reply, call
from bench.report import Figure, figure, progress, show
from standins.engine import CRASH_WORD

COPIES: Final = 50
HEALTHY_RATE: Final = 20.0
HEALTHY_S: Final = 6.0
BACK_S: Final = 1.0
SHAPE: Final = Shape(entries=2, workers=6, booking_workers=1)
AIM_LOST: Final = 2
# How long sidecars are paused, from just before the copies on.
PAUSE_S: Final = 3.0
PAUSE_AHEAD_S: Final = 0.05


@dataclass(slots=True)
class Outcome:
    """What one run showed.

    Attributes:
        lost: Upstreams that crashed, counted as ended engine processes.
        refused: Healthy requests refused as quarantined.
        failed: Healthy requests that got no whole answer.
        healthy: Healthy requests sent.
        convicted: Crashing copies that were answered as quarantined.
        writes: Calls to the platform for quarantines.
    """

    lost: int = 0
    refused: int = 0
    failed: int = 0
    healthy: int = 0
    convicted: int = 0
    writes: int = 0


@dataclass(slots=True)
class Trial:
    """One deployment under a crashing request and a healthy load.

    Attributes:
        deployment: The running deployment.
        source: Source of draws.
        outcome: What was seen so far.
        done: Set at the end.
        lock: Guards the outcome.
    """

    deployment: Deployment
    source: random.Random
    outcome: Outcome = field(default_factory=Outcome)
    done: threading.Event = field(default_factory=threading.Event)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def ask(self, prompt: str, entry: int) -> Reply:
        """Ask an entry for a chat completion."""
        body = {
            "model": "drafter",
            "max_tokens": 24,
            "messages": [{"role": "user", "content": prompt}],
        }
        return call(
            "POST",
            f"{self.deployment.processes[f'entry-{entry}'].url()}"
            "/v1/chat/completions",
            body,
            {"Authorization": f"Bearer {RETAIL_KEY}"},
        )

    def healthy(self, number: int) -> None:
        """Send a healthy request; every fourth is a copy of another."""
        number = number - number % 4 if number % 4 == 1 else number
        reply = self.ask(f"a plan {number}", number % 2)
        with self.lock:
            self.outcome.healthy += 1
            self.outcome.failed += reply.status != 200
            self.outcome.refused += reply.status == 422

    def crash(self, entry: int) -> None:
        """Send the crashing request once."""
        reply = self.ask(f"sofa {CRASH_WORD}", entry)
        with self.lock:
            self.outcome.convicted += reply.status == 422

    def supervise(self) -> None:
        """Start crashed engines again after a while, as a supervisor does."""
        while not self.done.wait(0.02):
            for name, process in tuple(self.deployment.processes.items()):
                if not name.startswith("engine-"):
                    continue
                if process.popen.poll() is not None:
                    self.outcome.lost += 1
                    self.done.wait(BACK_S)
                    self.deployment.restart(name)

    def pause(self, count: int) -> None:
        """Pause so many sidecars, drawn at random, for a while."""
        names = [f"worker-{index}" for index in range(SHAPE.workers)]
        paused = self.source.sample(names, count)
        for name in paused:
            self.deployment.processes[name].signal(signal.SIGSTOP)
        self.done.wait(PAUSE_S)
        for name in paused:
            self.deployment.processes[name].signal(signal.SIGCONT)

    def run(self, at_once: bool, paused: int) -> Outcome:
        """Send the copies beside a healthy load and count."""
        supervisor = threading.Thread(target=self.supervise)
        supervisor.start()
        with ThreadPoolExecutor(96) as pool:
            load = pool.submit(self._load, pool)
            time.sleep(HEALTHY_S / 3)
            entries = [self.source.randrange(2) for _ in range(COPIES)]
            pool.submit(self.pause, paused)
            time.sleep(PAUSE_AHEAD_S)
            if at_once:
                list(pool.map(self.crash, entries))
            else:
                for entry in entries:
                    self.crash(entry)
            load.result()
        time.sleep(BACK_S)
        self.done.set()
        supervisor.join()
        platform = self.deployment.processes["platform"].url()
        calls = call("GET", f"{platform}/calls").json()
        self.outcome.writes = calls.get("quarantine", 0)
        return self.outcome

    def _load(self, pool: ThreadPoolExecutor) -> None:
        start = time.monotonic()
        for number in itertools.count():
            due = start + number / HEALTHY_RATE
            if due > start + HEALTHY_S:
                return
            time.sleep(max(0.0, due - time.monotonic()))
            pool.submit(self.healthy, number)


def measure(seed: int, at_once: bool, outage: bool, paused: int) -> Outcome:
    """Run one deployment."""
    with Deployment(SHAPE) as deployment:
        bring_into_force(deployment, read_example())
        time.sleep(2.0)
        deployment.faults(down=outage)
        trial = Trial(deployment, random.Random(seed))
        return trial.run(at_once, paused)


def main(json: bool = False, seed: int = 1, runs: int = 5) -> None:
    """Measure; see docs/design/quarantine.md.

    Args:
        json: Print one JSON object.
        seed: Seed of the first run.
        runs: Runs of each case.
    """
    figures: list[Figure] = []
    for name, at_once, outage, paused in (
        ("one after the other", False, False, 0),
        ("at once", True, False, 0),
        ("at once, platform down", True, True, 0),
        ("at once, a sidecar paused", True, False, 1),
        ("at once, two sidecars paused", True, False, 2),
    ):
        outcomes = []
        for index in range(runs):
            outcomes.append(measure(seed + index, at_once, outage, paused))
            progress(f"{name}: {outcomes[-1]}")
        figures += _figures(name, outcomes)
    show("quarantine", seed, figures, json)


def _figures(name: str, outcomes: list[Outcome]) -> list[Figure]:
    lost = [float(o.lost) for o in outcomes]
    refused = [float(o.refused) for o in outcomes]
    failed = [100.0 * o.failed / o.healthy for o in outcomes]
    return [
        figure(
            f"upstreams lost, {COPIES} copies {name}",
            lost,
            "upstreams",
            aim=f"at most {AIM_LOST} in every run",
            reached=lambda _: max(lost) <= AIM_LOST,
        ),
        figure(
            f"healthy quarantined, {name}",
            refused,
            "requests",
            aim="0 in every run",
            reached=lambda _: max(refused) == 0,
        ),
        figure(f"healthy not answered, {name}", failed, "%"),
        figure(
            f"copies answered as quarantined, {name}",
            [float(o.convicted) for o in outcomes],
            "copies",
        ),
        figure(
            f"platform calls, {name}",
            [float(o.writes) for o in outcomes],
            "calls",
        ),
    ]


if __name__ == "__main__":
    fire.Fire(main)
