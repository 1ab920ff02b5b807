"""Support for measuring how long a withdrawn version still gets new work."""

import itertools
import random
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any, Final

import fire

from bench.deployment import Deployment, Shape
from bench.example import RETAIL_KEY, apply, read_example
from bench.http import call
from bench.report import Figure, figure, progress, show
from lacewingdock.world.manifest import Manifest

OLD, NEW = "drafter-1", "drafter-2"
RATE: Final = 40.0
BEFORE_S: Final = 2.0
FROZEN_S: Final = 2.0
AFTER_S: Final = 5.0
POLL_S: Final = 0.01
AIM_S: Final = 2.0
SHAPE: Final = Shape(
    entries=3, workers=4, booking_workers=1, versions=[OLD, NEW, "planner-1"]
)


@dataclass(slots=True)
class Outcome:
    """What one run showed.

    Attributes:
        seconds: From the accepted withdrawal to the last new work.
        requests: New work in that time, counted at the engines.
        before: The old version's work up to the command.
        failed: Callers that got no answer from the accepted withdrawal on.
        asked: Callers that asked from then on.
    """

    seconds: float = 0.0
    requests: int = 0
    before: int = 0
    failed: int = 0
    asked: int = 0


@dataclass(slots=True)
class Trial:
    """One deployment whose version is withdrawn under load.

    Attributes:
        deployment: The running deployment.
        source: Source of draws.
        outcome: What was seen so far.
        sessions: Tokens of sessions, in the order that they came.
        accepted: Monotonic time of the accepted withdrawal; 0 before.
        done: Set at the end.
        lock: Guards the outcome and the sessions.
    """

    deployment: Deployment
    source: random.Random
    outcome: Outcome = field(default_factory=Outcome)
    sessions: list[str] = field(default_factory=list)
    accepted: float = 0.0
    done: threading.Event = field(default_factory=threading.Event)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def apply(self, manifest: Manifest) -> int:
        """Bring a manifest into force; returns its last revision."""
        return apply(self.deployment, manifest)

    def ask(self, number: int, entry: int, session: str) -> None:
        """Ask as a caller, in a session or not."""
        headers = {"Authorization": f"Bearer {RETAIL_KEY}"}
        if session:
            headers["Lacewingdock-Session"] = session
        body = {
            "model": "drafter",
            "messages": [{"role": "user", "content": f"plan {number}"}],
        }
        process = self.deployment.processes[f"entry-{entry}"]
        late = self.accepted > 0
        reply = call(
            "POST", f"{process.url()}/v1/chat/completions", body, headers
        )
        with self.lock:
            self.sessions.append(reply.headers.get("lacewingdock-session", ""))
            self.outcome.asked += late
            self.outcome.failed += late and reply.status != 200

    def load(self) -> None:
        """Send requests at a pace; half of them in sessions."""
        start = time.monotonic()
        with ThreadPoolExecutor(128) as pool:
            for number in itertools.count():
                if self.done.is_set():
                    return
                due = start + number / RATE
                time.sleep(max(0.0, due - time.monotonic()))
                with self.lock:
                    known = [s for s in self.sessions if s]
                stays = known and self.source.random() < 0.5
                session = self.source.choice(known) if stays else ""
                pool.submit(self.ask, number, number % 3, session)

    def served(self) -> int:
        """Count the old version's work, as the engines recorded it."""
        return sum(
            call("GET", f"{p.url()}/status").json()["served"].get(OLD, 0)
            for name, p in self.deployment.processes.items()
            if name.startswith("engine-")
        )

    def run(self, manifest: Manifest, frozen: bool) -> Outcome:
        """Withdraw under load and watch the engines."""
        load = threading.Thread(target=self.load)
        load.start()
        time.sleep(BEFORE_S)
        entry = self.deployment.processes["entry-2"]
        if frozen:
            entry.signal(signal.SIGSTOP)
        value: dict[str, Any] = {
            **manifest[f"version/{OLD}"],
            "state": "withdrawn",
        }
        # Counted before the command is sent: what the old version gets while
        # the platform takes it is new work here, rather than none seen.
        first = self.served()
        self.apply({f"version/{OLD}": value})
        self.accepted = time.monotonic()
        self._watch(first, frozen)
        self.done.set()
        load.join()
        return self.outcome

    def _watch(self, first: int, frozen: bool) -> None:
        self.outcome.before = last = first
        entry = self.deployment.processes["entry-2"]
        while (now := time.monotonic()) < self.accepted + AFTER_S:
            if frozen and now > self.accepted + FROZEN_S:
                entry.signal(signal.SIGCONT)
                frozen = False
            count = self.served()
            if count > last:
                last = count
                self.outcome.seconds = time.monotonic() - self.accepted
                self.outcome.requests = count - first
            time.sleep(POLL_S)


def measure(seed: int, frozen: bool) -> Outcome:
    """Run one deployment."""
    manifest = read_example()
    manifest["model/drafter"] = {"shares": {OLD: 0.5, NEW: 0.5}}
    with Deployment(SHAPE) as deployment:
        trial = Trial(deployment, random.Random(seed))
        revision = trial.apply(manifest)
        deployment.wait_ready()
        deployment.wait_revision(revision)
        return trial.run(manifest, frozen)


def main(json: bool = False, seed: int = 1, runs: int = 5) -> None:
    """Measure; see docs/design/permitted-versions.md.

    Args:
        json: Print one JSON object.
        seed: Seed of the first run.
        runs: Runs of each case.
    """
    figures: list[Figure] = []
    for name, frozen in (("all hear", False), ("an entry frozen", True)):
        outcomes = []
        for index in range(runs):
            outcomes.append(measure(seed + index, frozen))
            progress(f"{name}: {outcomes[-1]}")
        seconds = [o.seconds for o in outcomes]
        in_time = max(seconds) < AIM_S
        figures += [
            figure(
                f"withdrawal to last new work, {name}",
                seconds,
                "s",
                aim=f"under {AIM_S:g} s in every run",
                reached=lambda _, met=in_time: met,  # type: ignore[misc]
            ),
            figure(
                f"new work after the withdrawal, {name}",
                [float(o.requests) for o in outcomes],
                "requests",
            ),
            figure(
                f"old version's work before it, {name}",
                [float(o.before) for o in outcomes],
                "requests",
            ),
            figure(
                f"callers without an answer, {name}",
                [100.0 * o.failed / max(o.asked, 1) for o in outcomes],
                "%",
            ),
        ]
    show("withdrawal", seed, figures, json)


if __name__ == "__main__":
    fire.Fire(main)
