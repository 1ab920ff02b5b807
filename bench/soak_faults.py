"""Support for random failures of a running deployment, two at once."""

import random
import signal
import threading
import time
from collections.abc import Callable
from typing import Final

from bench.deployment import Deployment
from bench.report import progress

LONGEST_S: Final = 6.0
RESTART_S: Final = 1.0


class Faults:
    """Brings failures about and ends them.

    Attributes:
        deployment: The deployment.
        source: Source of the choice.
        happened: How often each kind happened.
        busy: Names of processes that a failure has hold of.
    """

    __slots__ = ("_lock", "busy", "deployment", "happened", "source")

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Start with everything well."""
        self.deployment = deployment
        self.source = random.Random(seed)
        self.happened: dict[str, int] = {}
        self.busy: set[str] = set()
        self._lock = threading.Lock()

    def run(self, stopping: threading.Event) -> None:
        """Let two failures at a time happen until stopped, then heal."""
        threads = [
            threading.Thread(target=self._repeat, args=(stopping, seed))
            for seed in (self.source.random(), self.source.random())
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.deployment.faults()

    def _repeat(self, stopping: threading.Event, seed: float) -> None:
        source = random.Random(seed)
        kinds: list[Callable[[random.Random], None]] = [
            self._kill,
            self._kill,
            self._freeze,
            self._freeze,
            self._stop,
            self._platform,
            self._platform,
        ]
        while not stopping.wait(source.uniform(0.5, 3.0)):
            source.choice(kinds)(source)

    def _note(self, kind: str, name: str) -> None:
        with self._lock:
            self.happened[kind] = self.happened.get(kind, 0) + 1
        progress(f"{time.strftime('%H:%M:%S')} {kind} {name}")

    def _pick(self, source: random.Random) -> str | None:
        """Choose a process that no other failure has hold of.

        One entry and one booking sidecar always stay untouched, so that
        what is measured is recovery and not the lack of everything.
        """
        free = [
            name
            for name in self.deployment.processes
            if name not in ("platform", "ratings", "entry-0")
            and not (name.startswith("booking-") and "sidecar" not in name)
        ]
        with self._lock:
            free = [name for name in free if name not in self.busy]
            if not free:
                return None
            name = source.choice(free)
            self.busy.add(name)
            return name

    def _release(self, name: str) -> None:
        with self._lock:
            self.busy.discard(name)

    def _kill(self, source: random.Random) -> None:
        name = self._pick(source)
        if name is None:
            return
        self._note("kill", name)
        self.deployment.processes[name].kill()
        time.sleep(source.uniform(0.0, RESTART_S))
        self.deployment.restart(name)
        time.sleep(RESTART_S)
        self._release(name)

    def _freeze(self, source: random.Random) -> None:
        name = self._pick(source)
        if name is None:
            return
        self._note("freeze", name)
        process = self.deployment.processes[name]
        process.signal(signal.SIGSTOP)
        time.sleep(source.uniform(0.2, LONGEST_S))
        process.signal(signal.SIGCONT)
        self._release(name)

    def _stop(self, source: random.Random) -> None:
        name = self._pick(source)
        if name is None:
            return
        self._note("stop", name)
        process = self.deployment.processes[name]
        process.signal(signal.SIGTERM)
        process.popen.wait(60)
        self.deployment.restart(name)
        time.sleep(RESTART_S)
        self._release(name)

    def _platform(self, source: random.Random) -> None:
        kind = source.choice(["down", "hang", "slow", "lost", "late"])
        self._note(f"platform {kind}", "")
        match kind:
            case "down":
                self.deployment.faults(down=True)
            case "hang":
                self.deployment.faults(hang=True)
            case "slow":
                self.deployment.faults(delay_s=source.uniform(0.05, 1.0))
            case "lost":
                self.deployment.faults(lose_answers=source.randrange(1, 30))
            case _:
                self.deployment.faults(late_s=source.uniform(0.5, 4.0))
        time.sleep(source.uniform(0.5, LONGEST_S))
        self.deployment.faults()
