"""Support for the soak: random failures, two at once, all answers checked."""

import datetime
import sys
import threading
import time
from collections import Counter
from typing import Final

import fire

from bench.demo import Demo
from bench.deployment import Deployment, Shape, wait_until
from bench.example import PARTITIONS, RETAIL_KEY
from bench.http import call
from bench.report import progress
from bench.soak_callers import Booked, Callers, Chatted
from bench.soak_faults import Faults
from lacewingdock.components.billing.reader import DAY_FORMAT, read_day

SHAPE: Final = Shape(
    domains=["buc-hall-a", "buc-hall-b", "clj-hall", "tms-hall"],
    entries=2,
    workers=3,
    booking_workers=2,
    versions=["drafter-1", "drafter-2", "planner-1"],
    weak=["drafter-1", "drafter-2"],
    lag_s=1.0,
)
# In force everywhere within this, once nothing fails any more.
IN_FORCE_S: Final = 19.0
# The entries write the ledger in batches; sidecars offer again after a while.
BILLS_S: Final = 60.0


class Operator:
    """Changes the configuration all the time and watches that it holds.

    Attributes:
        demo: Tools of an operator.
        accepted: The highest revision that the platform accepted.
        reverted: Daemons whose revision went back.
    """

    __slots__ = ("accepted", "demo", "reverted")

    def __init__(self, demo: Demo) -> None:
        """Start from the manifest in force."""
        self.demo = demo
        self.accepted = 0
        self.reverted: list[str] = []

    def run(self, stopping: threading.Event) -> None:
        """Change shares until stopped."""
        turn = 0
        while not stopping.wait(1.0):
            turn += 1
            share = (turn % 10) / 10
            shares = {"drafter-1": 1.0 - share, "drafter-2": share}
            try:
                changes = self.demo.apply({"model/drafter": {"shares": shares}})
            except Exception as error:
                progress(f"change not accepted: {error}")
                continue
            self.accepted = max([self.accepted, *(c.revision for c in changes)])

    def watch(self, stopping: threading.Event) -> None:
        """Note a daemon whose configuration goes back while it runs."""
        seen: dict[tuple[str, int], float] = {}
        deployment = self.demo.deployment
        while not stopping.wait(0.5):
            for process in deployment.daemons():
                revision = deployment.metric(
                    process, "lacewingdock_configuration_revision"
                )
                key = (process.name, process.popen.pid)
                # An answer of nothing comes from a process that was ended.
                if 0.0 < revision < seen.get(key, 0.0):
                    self.reverted.append(process.name)
                seen[key] = max(revision, seen.get(key, 0.0))


def check_bookings(booked: list[Booked], made: Counter[str]) -> list[str]:
    """Name every booking that broke a promise."""
    broken = []
    for item in booked:
        count = made[item.slot]
        if count > 1:
            broken.append(f"{item.slot} landed {count} times: {item.answers}")
        if count == 0 and "200" in item.answers:
            broken.append(f"{item.slot} was confirmed and is lost")
        if count and set(item.answers) == {"no"}:
            broken.append(f"{item.slot} ran and was called not run")
    return broken


def check_chats(chatted: list[Chatted]) -> list[str]:
    """Name every chat that got a wrong answer, or none in all its tries."""
    return [
        f"chat {c.request_id} {c.verdict}: {c.detail}"
        for c in chatted
        if c.verdict != "whole"
    ]


def check_bills(demo: Demo, chatted: list[Chatted]) -> list[str]:
    """Name every bill that is doubled or missing in the ledger."""
    whole = {c.request_id for c in chatted if c.verdict == "whole"}
    end = time.monotonic() + BILLS_S
    while time.monotonic() < end:
        rows = [bill for day in _days() for bill in read_day(demo.store, day)]
        lost = whole - {bill.request for bill in rows}
        if not lost:
            break
        time.sleep(1.0)
    counts = Counter(bill.attempt for bill in rows)
    broken = [f"bill {a} doubled" for a, n in counts.items() if n > 1]
    print(f"  bills {len(rows)}, lost {len(lost)} of {len(whole)}")
    if lost:
        broken.append(f"{len(lost)} of {len(whole)} whole answers not billed")
    return broken


def _days() -> list[str]:
    """Return today and yesterday: a soak may run over midnight."""
    today = datetime.datetime.now(datetime.UTC)
    days = (today - datetime.timedelta(1), today)
    return [day.strftime(DAY_FORMAT) for day in days]


def check_withdrawal(demo: Demo, entries: list[str]) -> list[str]:
    """Withdraw a version once all is well; nothing may run on it then.

    The model keeps another version with a share: with none, a refusal is the
    right answer.
    """
    shares = {"drafter-1": 0.5, "drafter-2": 0.5}
    demo.configure({"model/drafter": {"shares": shares}})
    old = dict(demo.manifest["version/drafter-1"])
    demo.configure({"version/drafter-1": {**old, "state": "withdrawn"}})
    before = _served(demo.deployment, "drafter-1")
    callers = Callers(entries, RETAIL_KEY, 20.0, 7)
    ending = threading.Timer(3.0, callers.stopping.set)
    ending.start()
    callers.run()
    after = _served(demo.deployment, "drafter-1")
    if after != before:
        return [f"{after - before} requests ran on a withdrawn version"]
    return check_chats(callers.chatted)


def _served(deployment: Deployment, version: str) -> int:
    total = 0
    for name, process in deployment.processes.items():
        if name.startswith("engine-"):
            status = call("GET", f"{process.url()}/status").json()
            total += status["served"].get(version, 0)
    return total


def soak(seconds: float, seed: int, rate: float) -> list[str]:
    """Run one soak and return what broke."""
    with Deployment(SHAPE) as deployment:
        demo = Demo(deployment)
        demo.configure(demo.manifest)
        deployment.wait_ready()
        deployment.wait_homes(PARTITIONS)
        stopping = threading.Event()
        callers = Callers(demo.entries(), RETAIL_KEY, rate, seed)
        faults = Faults(deployment, seed)
        operator = Operator(demo)
        work = [
            threading.Thread(target=callers.run),
            threading.Thread(target=faults.run, args=(stopping,)),
            threading.Thread(target=operator.run, args=(stopping,)),
            threading.Thread(target=operator.watch, args=(stopping,)),
        ]
        for thread in work:
            thread.start()
        time.sleep(seconds)
        stopping.set()
        for thread in work[1:]:
            thread.join()
        broken = _converges(demo, operator)
        callers.stopping.set()
        work[0].join()
        broken += check_bookings(callers.booked, demo.bookings())
        broken += check_chats(callers.chatted)
        broken += [f"{n}: configuration reverted" for n in operator.reverted]
        broken += check_withdrawal(demo, demo.entries())
        broken += check_bills(demo, callers.chatted)
        _tell(callers, faults, demo, seed)
    return broken


def _converges(demo: Demo, operator: Operator) -> list[str]:
    """Wait until all is well again; name what does not become so."""
    deployment = demo.deployment
    try:
        for process in deployment.daemons():
            wait_until(
                lambda p=process: (  # type: ignore[misc]
                    deployment.metric(p, "lacewingdock_configuration_revision")
                    >= operator.accepted
                ),
                f"{process.name}: revision {operator.accepted} not in force",
                IN_FORCE_S,
            )
        deployment.wait_ready()
        deployment.wait_homes(PARTITIONS)
    except RuntimeError as error:
        return [str(error)]
    return []


def _tell(callers: Callers, faults: Faults, demo: Demo, seed: int) -> None:
    answers = Counter(b.answers[-1] for b in callers.booked)
    verdicts = Counter(c.verdict for c in callers.chatted)
    print(f"seed {seed}: failures {faults.happened}")
    print(f"  bookings by last answer {dict(answers)}")
    print(f"  bookings made {sum(demo.bookings().values())}")
    print(f"  chats {dict(verdicts)}", flush=True)


def main(
    seconds: float = 120.0, seed: int = 1, runs: int = 1, rate: float = 10.0
) -> None:
    """Run soaks one after the other; exits with 1 if a promise broke.

    Args:
        seconds: How long the failures of each run go on.
        seed: Seed of the first run.
        runs: Number of runs, each with the next seed.
        rate: Requests a second.
    """
    failed = 0
    for index in range(runs):
        broken = soak(seconds, seed + index, rate)
        for line in broken:
            print(f"BROKEN (seed {seed + index}): {line}", flush=True)
        failed += bool(broken)
    print(f"{runs} runs of {seconds:g} s, {failed} with something broken")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
