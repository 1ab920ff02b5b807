"""A worker's second answer is taken for that of the next attempt.

Workers get more requests than they have slots for, and answer 503 with
`Not-Executed` to those beyond. They are faulty: one answer in ten comes once
more, late, at the point where the next response is expected on that connection.
After a 503 the router sends its next attempt at the same request, which bears
the same `Attempt-Id`, over a kept connection. Where that is the connection of
the 503, it takes the second copy for the answer to the attempt that the worker
runs. Without the trouble no answer comes twice.
"""

import random
import socket
import sys
import threading
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment import (  # noqa: E402
    BOUNDS,
    Asked,
    Site,
    Worker,
    answer,
    configuration,
    route,
    run,
    seal,
)

SEED = 51
# Workers and callers of each service. Of the one with a single worker the
# others are lost, as workers may be for good.
SERVICES = {"drafts": (1, 5), "offers": (2, 9)}
SLOTS = 3
WORK_S = 0.06
LASTS_S = 45.0
# A caller's pause between two requests, and its share of single calls.
PAUSE_S = 0.02
CALLS_EVERY = 4
# Part of their answers that workers give twice.
TWICE_SHARE = 0.1
REFUSALS = (408, 421, 429, 503)


class Faulty:
    """A worker with some slots and no queue, which may answer twice."""

    def __init__(self, site: Site, share: float, seed: int) -> None:
        """Take which part of its answers comes twice."""
        self.site = site
        self.share = share
        self.random = random.Random(seed)
        self.running = 0
        self.lock = threading.Lock()
        # Second answers that are still to come, by connection.
        self.owed: dict[socket.socket, tuple[str, bytes]] = {}

    def serve(self, worker: Worker, sock: socket.socket, asked: Asked) -> bool:
        """Run a request, or refuse it where no slot is free."""
        call, owed = self.owed.pop(sock, ("", b""))
        if owed:
            self.site.record.add(f"again     the answer to {call} once more")
            sock.sendall(owed)
        with self.lock:
            is_full = self.running >= SLOTS
            self.running += not is_full
        if is_full:
            self.site.record.add(f"full      {asked.id} at {worker.name}: 503")
            data = answer(503, asked.id, ["Not-Executed: 1"])
        else:
            data = self._run(worker, asked)
        sock.sendall(data)
        if self.random.random() < self.share:
            self.owed[sock] = (asked.id, data)
        return True

    def _run(self, worker: Worker, asked: Asked) -> bytes:
        self.site.ran(worker, asked)
        time.sleep(self.random.uniform(0.5, 1.5) * WORK_S)
        with self.lock:
            self.running -= 1
        body = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        head = [seal(worker, asked), "Content-Type: text/event-stream"]
        return answer(200, asked.id, head, body)


def play(site: Site, trouble: bool) -> list[str]:
    """Play the case: streams that may not be resumed, and single calls."""
    routes = []
    callers = []
    for service, (workers, count) in SERVICES.items():
        routes += [
            route(
                f"{service}-stream",
                "streaming",
                service,
                max_attempts=3,
                gap_target_ms=600,
            ),
            route(f"{service}-call", "non_idempotent", service, max_attempts=3),
        ]
        for number in range(workers):
            worker = site.worker(f"i-{service}-{number}", service)
            share = TWICE_SHARE if trouble else 0.0
            worker.serve = Faulty(site, share, SEED + number).serve
        callers += [
            threading.Thread(target=ask, args=(site, service, number))
            for number in range(count)
        ]
    site.store.write("config", "main", configuration(7, routes))
    site.start()
    time.sleep(BOUNDS["contact_ms"] / 1000)
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    time.sleep(1.0)
    return judge(site)


def ask(site: Site, service: str, caller: int) -> None:
    """Send one request after the other."""
    until = site.record.now() + LASTS_S
    number = 0
    while site.record.now() < until:
        kind = "stream" if number % CALLS_EVERY else "call"
        name = f"{service[0]}{caller}-{number:04}"
        router = site.routers[number % len(site.routers)]
        site.send(router, name, f"/{service}-{kind}/a")
        number += 1
        time.sleep(PAUSE_S)


def judge(site: Site) -> list[str]:
    """Return where the rules were broken."""
    runs = Counter(one.id for one in site.runs)
    broken = [
        f"TWICE: {name} ran {count} times"
        for name, count in runs.items()
        if count > 1
    ]
    broken += [
        f"REFUSED: {one.id} was answered {one.status} and ran"
        for one in site.answers
        if one.status in REFUSALS and runs[one.id]
    ]
    for line in broken:
        site.record.add(f"broken    {line}")
    statuses = Counter(one.status for one in site.answers)
    site.record.add(f"answers by status {dict(statuses)}")
    return broken


if __name__ == "__main__":
    sys.exit(run(FOLDER, 2, play))
