"""Support for measuring goodput beyond capacity, and the recovery after it.

Two engines that run eight requests each, a request a second long, before one
entry; half of the requests are interactive, half in the background. Callers
ask once and do not come back, so that the load is what it is set to.
"""

import random
import threading
import time
from dataclasses import dataclass, field
from typing import Any, Final

import fire
import numpy

from bench.demo import Demo
from bench.deployment import Deployment, Shape
from bench.example import PARTITIONS, RETAIL_KEY
from bench.http import call
from bench.load import DONE
from bench.report import Figure, figure, progress, show

WORKERS: Final = 2
SLOTS: Final = 8
TOKENS: Final = 20
TOKEN_S: Final = 0.05
FIRST_S: Final = 0.05
RUN_S: Final = FIRST_S + (TOKENS - 1) * TOKEN_S
CAPACITY: Final = WORKERS * SLOTS / RUN_S
# What a caller across the desk waits at most, and a background one.
PATIENCE_S: Final = {"interactive": 4.0, "background": 30.0}
SHAPE: Final = Shape(
    domains=["hall-a", "hall-b"],
    entries=1,
    workers=WORKERS,
    booking_workers=1,
    versions=["drafter-1", "drafter-2", "planner-1"],
    token_s=TOKEN_S,
    first_s=FIRST_S,
    capacity=SLOTS,
    sidecar_flags=["--queue=16"],
    entry_flags=["--threads=1000"],
)


@dataclass(slots=True)
class Asked:
    """One request of the load.

    Attributes:
        priority: "interactive" or "background".
        start: Monotonic time at which it was due.
        whole: Whether the answer came whole.
        end: Monotonic time of its end.
        first_s: Seconds to the first token; None without one.
        refused_s: Seconds to a refusal; None without one.
        retry_after: Whether the refusal said when to come back.
    """

    priority: str
    start: float
    whole: bool = False
    end: float = 0.0
    first_s: float | None = None
    refused_s: float | None = None
    retry_after: bool = False


@dataclass(slots=True)
class Stage:
    """A load of a set rate for a while.

    Attributes:
        rate: Requests a second.
        seconds: How long.
        asked: The requests.
        threads: The callers.
        start: Monotonic time of the start.
    """

    rate: float
    seconds: float
    asked: list[Asked] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)
    start: float = 0.0

    def goodput(self) -> float:
        """Answers that came whole within the stage, for each second.

        What a queue gives after the load is over must not count for it.
        """
        end = self.start + self.seconds
        return sum(a.whole and a.end <= end for a in self.asked) / self.seconds

    def join(self) -> "Stage":
        """Wait for every answer."""
        for thread in self.threads:
            thread.join()
        return self

    def first_p95_ms(self) -> float:
        """First token of interactive requests that were answered."""
        firsts = [
            a.first_s
            for a in self.asked
            if a.priority == "interactive" and a.first_s is not None and a.whole
        ]
        return float(numpy.percentile(firsts, 95)) * 1000 if firsts else 0.0

    def answered(self, priority: str) -> float:
        """Part of a priority's requests that were answered."""
        mine = [a for a in self.asked if a.priority == priority]
        return sum(a.whole for a in mine) / max(len(mine), 1)


def run_stage(entry: str, stage: Stage, seed: int) -> Stage:
    """Send a stage's load; the last answers are still to come."""
    source = random.Random(seed)
    due = stage.start = time.monotonic()
    while due < stage.start + stage.seconds:
        time.sleep(max(0.0, due - time.monotonic()))
        asked = Asked(source.choice(["interactive", "background"]), due)
        stage.asked.append(asked)
        thread = threading.Thread(target=_ask, args=(entry, asked))
        thread.start()
        stage.threads.append(thread)
        due += source.expovariate(stage.rate)
    return stage


def _ask(entry: str, asked: Asked) -> None:
    body: Any = {
        "model": "drafter",
        "stream": True,
        "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": "a slot offer"}],
    }
    first: list[float] = []
    headers = {
        "Authorization": f"Bearer {RETAIL_KEY}",
        "Lacewingdock-Priority": asked.priority,
        "Lacewingdock-Timeout": str(PATIENCE_S[asked.priority]),
    }
    reply = call(
        "POST",
        f"{entry}/v1/chat/completions",
        body,
        headers,
        timeout_s=PATIENCE_S[asked.priority] + 5.0,
        on_data=lambda _: first.append(time.monotonic()),
    )
    asked.end = time.monotonic()
    if reply.status == 200:
        asked.whole = DONE in reply.body
        asked.first_s = first[0] - asked.start if first else None
    else:
        asked.refused_s = asked.end - asked.start
        asked.retry_after = "retry-after" in reply.headers


def recovery_s(after: Stage, usual_ms: float) -> float:
    """Return when interactive first tokens were at twice the usual again.

    Args:
        after: The stage that follows the overload.
        usual_ms: Their 95th percentile before the overload.
    """
    late = [
        a.start - after.start
        for a in after.asked
        if a.priority == "interactive"
        and (not a.whole or (a.first_s or 0.0) * 1000 > 2 * usual_ms)
    ]
    return max(late, default=0.0)


def measure(seed: int, seconds: float) -> dict[str, float]:
    """Run all stages once and return the figures by name."""
    with Deployment(SHAPE) as deployment:
        demo = Demo(deployment)
        demo.configure(demo.manifest)
        deployment.wait_ready()
        deployment.wait_homes(PARTITIONS)
        entry = demo.entries()[0]
        run_stage(entry, Stage(0.5 * CAPACITY, 4.0), seed).join()
        usual, full, double = (
            run_stage(entry, Stage(load * CAPACITY, seconds), seed).join()
            for load in (0.8, 1.0, 2.0)
        )
        five = run_stage(entry, Stage(5 * CAPACITY, seconds), seed)
        after = run_stage(entry, Stage(0.8 * CAPACITY, seconds), seed)
        five.join()
        after.join()
    refusals = [
        a for s in (double, five) for a in s.asked if a.refused_s is not None
    ]
    told = [a.refused_s for a in refusals if a.refused_s is not None]
    return {
        "at capacity": full.goodput(),
        "2x": double.goodput() / full.goodput(),
        "5x": five.goodput() / full.goodput(),
        "first 0.8x": usual.first_p95_ms(),
        "first 2x": double.first_p95_ms(),
        "first 5x": five.first_p95_ms(),
        "interactive 2x": double.answered("interactive"),
        "background 2x": double.answered("background"),
        "refusal p95": float(numpy.percentile(told, 95)) * 1000,
        "refusals with retry-after": sum(a.retry_after for a in refusals)
        / max(len(refusals), 1),
        "recovery": recovery_s(after, usual.first_p95_ms()),
    }


def main(
    json: bool = False, seed: int = 1, runs: int = 2, seconds: float = 12.0
) -> None:
    """Print goodput, latency and recovery beyond capacity.

    Args:
        json: Print one JSON object.
        seed: Seed of the first run.
        runs: Number of runs.
        seconds: Length of each stage.
    """
    rows = []
    for index in range(runs):
        progress(f"run {index + 1} of {runs}")
        rows.append(measure(seed + 10 * index, seconds))

    def of(name: str) -> list[float]:
        return [row[name] for row in rows]

    figures: list[Figure] = [
        figure("goodput at capacity", of("at capacity"), "answers/s"),
        *(
            figure(
                f"goodput at {load} against at capacity",
                of(load),
                "part",
                aim="at least 0.95",
                reached=lambda value: value >= 0.95,
            )
            for load in ("2x", "5x")
        ),
        figure("interactive first token p95 at 0.8x", of("first 0.8x"), "ms"),
        figure("interactive first token p95 at 2x", of("first 2x"), "ms"),
        figure("interactive first token p95 at 5x", of("first 5x"), "ms"),
        figure("interactive answered at 2x", of("interactive 2x"), "part"),
        figure("background answered at 2x", of("background 2x"), "part"),
        figure("time to a refusal p95", of("refusal p95"), "ms"),
        figure(
            "refusals that say when to come back",
            of("refusals with retry-after"),
            "part",
            aim="all",
            reached=lambda value: value >= 1.0,
        ),
        figure("recovery after 5x", of("recovery"), "s"),
    ]
    show("overload", seed, figures, json)


if __name__ == "__main__":
    fire.Fire(main)
