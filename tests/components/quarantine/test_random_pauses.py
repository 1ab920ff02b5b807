"""Tests for random pauses with crashing and harmless requests.

To run other seeds, set TEST_PAUSE_SEEDS="0-49"; pytest's -s shows the
parameters and the result of each seed.
"""

import random
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import pytest

from bench.deployment import Deployment, Shape
from bench.example import apply_example
from standins.engine import CRASH_WORD
from tests.common import chat
from tests.components.quarantine.common import crashed_engines, false_refusals
from tests.components.quarantine.seeds import seeds
from tests.components.quarantine.test_pauses import (
    SETTLED_S,
    Pause,
    pause,
    set_crash_after,
)

HARMLESS = 40
SPAN_S = 3.0


@dataclass(slots=True)
class Scenario:
    """The parameters drawn from a seed.

    Attributes:
        workers: Number of engines with their sidecars.
        entries: Number of entries.
        pauses: One or two pauses, each of one process.
        copies: Seconds after the start at which each copy is sent.
        harmless: Seconds after the start for each harmless request.
    """

    workers: int
    entries: int
    pauses: list[Pause]
    copies: list[float]
    harmless: list[float]


def draw(seed):
    rng = random.Random(seed)
    workers = rng.choice([1, 2, 3, 4, 4, 6, 8, 12])
    entries = rng.randint(1, 4)
    names = [f"worker-{i}" for i in range(workers)] * 3
    names += [f"engine-{i}" for i in range(workers)]
    names += [f"entry-{i}" for i in range(entries)]
    names.append("platform")
    crash_after_s = rng.choice([0.0, 0.0, rng.uniform(0.0, 1.0)])
    paused = set(rng.sample(names, min(rng.randint(1, 2), len(names))))
    pauses = [
        Pause((name,), rng.uniform(0.0, 10.0), crash_after_s, after_s)
        for name in sorted(paused)
        for after_s in [rng.uniform(0.0, 2.0)]
    ]
    # All copies at once, or spread over a period in seconds.
    spread_s = rng.choice([0.0, 0.05, 1.5])
    count = rng.choice([1, 2, 5, 20, 50, 100])
    begin_s = rng.uniform(0.0, 1.0)
    return Scenario(
        workers,
        entries,
        pauses,
        sorted(begin_s + rng.uniform(0, spread_s) for _ in range(count)),
        sorted(rng.uniform(0.0, SPAN_S) for _ in range(HARMLESS)),
    )


def send_at(deployment, start, at_s, prompt, entry):
    time.sleep(max(0.0, start + at_s - time.monotonic()))
    return chat(deployment, prompt, entry=f"entry-{entry}")


def play(deployment, case, seed):
    """Send all requests; return the replies to copies and harmless ones."""
    rng = random.Random(seed)
    set_crash_after(deployment, case.workers, case.pauses[0].crash_after_s)
    start = time.monotonic()
    pausers = [
        threading.Thread(target=pause, args=(deployment, one))
        for one in case.pauses
    ]
    for pauser in pausers:
        pauser.start()
    with ThreadPoolExecutor(len(case.copies) + HARMLESS) as pool:

        def submit(times, prompt_of):
            return [
                pool.submit(
                    send_at,
                    deployment,
                    start,
                    at_s,
                    prompt_of(index),
                    rng.randrange(case.entries),
                )
                for index, at_s in enumerate(times)
            ]

        copies = submit(case.copies, lambda _: f"sofa {CRASH_WORD}")
        # In each group of four, the last two requests have equal bodies.
        harmless = submit(case.harmless, lambda i: f"plan {i - i % 4 // 3}")
    for pauser in pausers:
        pauser.join()
    time.sleep(SETTLED_S)
    return [[f.result() for f in sent] for sent in (copies, harmless)]


def codes(replies):
    return dict(
        Counter(
            str(r.status) if r.status == 200 else r.json().get("code")
            for r in replies
        )
    )


@pytest.mark.parametrize("seed", seeds("0-2"))
def test_random_pauses_cost_two_engines_at_most(seed):
    """Symptom: more engines crash, or harmless requests are quarantined.

    Events: any one or two processes are paused at any moment while copies of
    a crashing request and harmless requests are sent.
    """
    case = draw(seed)
    shape = Shape(entries=case.entries, workers=case.workers)
    with Deployment(shape) as deployment:
        apply_example(deployment)
        deployment.wait_links()
        copies, harmless = play(deployment, case, seed)
        down = crashed_engines(deployment)
        false = false_refusals(deployment, copies)
        print(
            f"seed {seed}: {case.workers} workers, {case.entries} entries,"
            f" {len(case.copies)} copies, {[str(p) for p in case.pauses]},"
            f" lost {down}, copies {codes(copies)},"
            f" harmless {codes(harmless)}",
            flush=True,
        )
    assert len(down) <= 2, down
    assert "quarantined" not in codes(harmless)
    assert not false
