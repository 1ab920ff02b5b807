"""Tests for copies of a crashing request while processes are paused."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import pytest

from bench.deployment import Deployment, Shape
from bench.example import apply_example
from bench.http import call
from standins.engine import CRASH_WORD
from tests.common import chat
from tests.components.quarantine.common import lost, untrue

WORKERS = 4
COPIES = 20
SHAPE = Shape(entries=2, workers=WORKERS, booking_workers=1)
# Longer than a suspicion is held back, so that what was given up has run by
# then if it ever does.
SETTLED_S = 2.0


@dataclass(slots=True)
class Pause:
    """Processes that are stopped and continued while copies arrive.

    Attributes:
        names: The processes.
        lasts_s: Seconds from stop to continue.
        crash_after_s: Seconds that the request runs before it crashes.
        after_s: Seconds between the first copy and the stop; negative for a
            stop ahead of the copies.
    """

    names: tuple[str, ...]
    lasts_s: float
    crash_after_s: float = 0.0
    after_s: float = -0.05

    def __str__(self):
        """Name the case."""
        when = "before" if self.after_s < 0 else "while it runs"
        return f"{'+'.join(self.names)}-{self.lasts_s}s-{when}"


@pytest.fixture
def deployment():
    with Deployment(SHAPE) as running:
        apply_example(running)
        running.wait_links()
        yield running


def set_crash_after(deployment, workers, seconds):
    """Let a crashing request run for so long before it crashes."""
    for index in range(workers):
        engine = deployment.processes[f"engine-{index}"]
        call("POST", f"{engine.url()}/control", {"crash_after_s": seconds})


def pause(deployment, case):
    """Stop the processes at their time, and let them go on."""
    time.sleep(max(0.0, case.after_s))
    for name in case.names:
        deployment.processes[name].signal(signal.SIGSTOP)
    time.sleep(case.lasts_s)
    for name in case.names:
        deployment.processes[name].signal(signal.SIGCONT)


def send_copies(deployment, case):
    """Send the copies at once through both entries beside the pause."""
    set_crash_after(deployment, WORKERS, case.crash_after_s)
    pauser = threading.Thread(target=pause, args=(deployment, case))
    pauser.start()
    time.sleep(max(0.0, -case.after_s))
    with ThreadPoolExecutor(COPIES) as pool:
        replies = list(
            pool.map(
                lambda i: chat(
                    deployment, f"sofa {CRASH_WORD}", entry=f"entry-{i % 2}"
                ),
                range(COPIES),
            )
        )
    pauser.join()
    time.sleep(SETTLED_S)
    return replies


CASES = [
    Pause(("worker-1",), 2.0),
    Pause(("worker-1",), 6.0),
    Pause(("worker-1",), 0.9),
    Pause(("worker-1",), 1.0, crash_after_s=0.3, after_s=0.15),
    Pause(("worker-1",), 3.0, crash_after_s=0.3, after_s=0.15),
    Pause(("worker-1",), 8.0, crash_after_s=0.3, after_s=0.15),
    Pause(("worker-3",), 3.0),
    Pause(("worker-3",), 4.0, crash_after_s=0.3, after_s=0.5),
    Pause(("worker-1", "worker-3"), 3.0),
    Pause(("worker-1", "worker-0"), 3.0),
    Pause(("worker-1", "entry-0"), 3.0),
    Pause(("entry-0",), 3.0),
    Pause(("platform",), 6.0),
    Pause(("engine-1",), 3.0),
]


@pytest.mark.parametrize("case", CASES, ids=str)
def test_pauses_do_not_cost_a_third_engine(deployment, case):
    """Copies of a crashing request take a third engine beside a pause.

    Symptom: three or all engines are lost; harmless callers get 503.
    Events: a daemon is paused with copies in its sockets or on its engine;
    the entries send them elsewhere, and it begins them when it goes on.
    Cause: what was given up still runs, and a loss of which nothing is known
    counts as harmless.
    """
    replies = send_copies(deployment, case)
    seen = sorted(
        (r.status, r.json().get("code"), r.json().get("ran")) for r in replies
    )
    assert len(lost(deployment)) <= 2, (lost(deployment), seen)
    assert not untrue(deployment, replies)
    for index in range(4):
        reply = chat(deployment, f"a wardrobe {index}", entry="entry-0")
        assert reply.status == 200, reply.body
