"""Tests for random pauses beside a crashing request and harmless ones.

More seeds by hand: TEST_PAUSE_SEEDS="0-49" with pytest's -s, which
shows what each seed drew and what became of it.
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
from tests.components.quarantine.common import lost, untrue
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
class Drawn:
    """What one seed draws.

    Attributes:
        workers: Engines with their sidecars.
        entries: Entries.
        pauses: One or two, each of one process.
        copies: Seconds after the start at which each copy is sent.
        harmless: The same of harmless requests.
    """

    workers: int
    entries: int
    pauses: list[Pause]
    copies: list[float]
    harmless: list[float]


def draw(seed):
    source = random.Random(seed)
    workers = source.choice([1, 2, 3, 4, 4, 6, 8, 12])
    entries = source.randint(1, 4)
    names = [f"worker-{i}" for i in range(workers)] * 3
    names += [f"engine-{i}" for i in range(workers)]
    names += [f"entry-{i}" for i in range(entries)]
    names.append("platform")
    crash_after_s = source.choice([0.0, 0.0, source.uniform(0.0, 1.0)])
    paused = set(source.sample(names, min(source.randint(1, 2), len(names))))
    pauses = [
        Pause((name,), source.uniform(0.0, 10.0), crash_after_s, after_s)
        for name in sorted(paused)
        for after_s in [source.uniform(0.0, 2.0)]
    ]
    # All at once, or one after the other.
    spread_s = source.choice([0.0, 0.05, 1.5])
    count = source.choice([1, 2, 5, 20, 50, 100])
    begin_s = source.uniform(0.0, 1.0)
    return Drawn(
        workers,
        entries,
        pauses,
        sorted(begin_s + source.uniform(0, spread_s) for _ in range(count)),
        sorted(source.uniform(0.0, SPAN_S) for _ in range(HARMLESS)),
    )


def send_at(deployment, start, at_s, prompt, entry):
    time.sleep(max(0.0, start + at_s - time.monotonic()))
    return chat(deployment, prompt, entry=f"entry-{entry}")


def play(deployment, drawn, seed):
    """Send everything at its time; returns the two kinds of replies."""
    source = random.Random(seed)
    set_crash_after(deployment, drawn.workers, drawn.pauses[0].crash_after_s)
    start = time.monotonic()
    pausers = [
        threading.Thread(target=pause, args=(deployment, one))
        for one in drawn.pauses
    ]
    for pauser in pausers:
        pauser.start()
    with ThreadPoolExecutor(len(drawn.copies) + HARMLESS) as pool:

        def submit(times, prompt_of):
            return [
                pool.submit(
                    send_at,
                    deployment,
                    start,
                    at_s,
                    prompt_of(index),
                    source.randrange(drawn.entries),
                )
                for index, at_s in enumerate(times)
            ]

        copies = submit(drawn.copies, lambda _: f"sofa {CRASH_WORD}")
        # Every second one is sent twice.
        harmless = submit(drawn.harmless, lambda i: f"plan {i - i % 4 // 3}")
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
    """Symptom: engines are lost, or harmless requests quarantined.

    Events: any one or two processes are paused at any moment while copies of
    a crashing request and harmless requests are sent.
    """
    drawn = draw(seed)
    shape = Shape(entries=drawn.entries, workers=drawn.workers)
    with Deployment(shape) as deployment:
        apply_example(deployment)
        deployment.wait_links()
        copies, harmless = play(deployment, drawn, seed)
        down = lost(deployment)
        false = untrue(deployment, copies)
        print(
            f"seed {seed}: {drawn.workers} workers, {drawn.entries} entries,"
            f" {len(drawn.copies)} copies, {[str(p) for p in drawn.pauses]},"
            f" lost {down}, copies {codes(copies)},"
            f" harmless {codes(harmless)}",
            flush=True,
        )
    assert len(down) <= 2, down
    assert "quarantined" not in codes(harmless)
    assert not false
