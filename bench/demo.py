"""Support for the demo: Carpato's shape under a mixed load."""

import math
import signal
import sys
import threading
import time
from collections import Counter
from typing import Any, Final

import fire
import numpy

from bench.deployment import Deployment, Shape
from bench.example import MANIFEST, PARTITIONS, RETAIL_KEY, read_example
from bench.http import call
from bench.load import Load, Outcome
from lacewingdock.components.configuration.apply import Change, apply_manifest
from lacewingdock.platform.store import ObjectStore
from lacewingdock.world.manifest import Manifest

CARPATO: Final = Shape(
    domains=["buc-hall-a", "buc-hall-b", "clj-hall", "tms-hall"],
    entries=2,
    workers=6,
    booking_workers=4,
    versions=["drafter-1", "drafter-2", "planner-1"],
    weak=["drafter-1", "drafter-2"],
)
# An accepted withdrawal is in force everywhere within seconds.
WITHDRAWAL_S: Final = 2.0
CHEAP, DEAR = 0.3, 3.0


class Demo:
    """One run of the demo.

    Attributes:
        deployment: The running deployment.
        store: The platform, as an operator's tool sees it.
        manifest: The configuration to start from.
        withdrawn_at: Monotonic time when the withdrawal was in force.
        stop: Set by Ctrl-C.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Take a started deployment."""
        self.deployment = deployment
        url = deployment.processes["platform"].url()
        self.store = ObjectStore(url)
        self.manifest = read_example()
        self.withdrawn_at = math.inf
        self.stop = threading.Event()

    def apply(self, manifest: Manifest) -> list[Change]:
        """Have the platform accept a manifest."""
        return apply_manifest(self.store, manifest)

    def configure(self, manifest: Manifest) -> None:
        """Bring a manifest into force everywhere."""
        changes = self.apply(manifest)
        if changes:
            self.deployment.wait_revision(max(c.revision for c in changes))

    def entries(self) -> list[str]:
        """Return the entries' URLs."""
        processes = self.deployment.processes
        return [p.url() for n, p in processes.items() if n.startswith("entry-")]

    def operate(self, seconds: float) -> None:
        """Let a roll-out and a withdrawal happen under the load."""
        for share in (0.25, 0.5, 1.0):
            if self.stop.wait(seconds / 5):
                return
            shares = {"drafter-1": 1.0 - share, "drafter-2": share}
            self.configure({"model/drafter": {"shares": shares}})
        if self.stop.wait(seconds / 10):
            return
        old = dict(self.manifest["version/drafter-1"])
        self.configure({"version/drafter-1": {**old, "state": "withdrawn"}})
        self.withdrawn_at = time.monotonic()

    def bookings(self) -> Counter[str]:
        """Count bookings by slot, as the booking workers recorded them."""
        made: Counter[str] = Counter()
        for name, process in self.deployment.processes.items():
            if name.startswith("booking-") and "port" in process.ports:
                for booking in call("GET", f"{process.url()}/bookings").json():
                    made[booking["slot"]] += 1
        return made

    def check(self, outcomes: list[Outcome]) -> list[str]:
        """Name every promise that broke."""
        made = self.bookings()
        confirmed = {o.slot for o in outcomes if o.slot and o.status == 200}
        not_run = {o.slot for o in outcomes if o.slot and o.ran == "no"}
        late = [
            o
            for o in outcomes
            if o.version == "drafter-1"
            and o.started > self.withdrawn_at + WITHDRAWAL_S
        ]
        broken = [
            f"booking of {slot} landed {count} times"
            for slot, count in made.items()
            if count > 1
        ]
        broken += [f"booking of {s} was lost" for s in confirmed - set(made)]
        broken += [
            f"booking of {s} ran and was called not run"
            for s in not_run & set(made)
        ]
        broken += ["withdrawn version got new work" for _ in late]
        broken += [
            f"{o.kind} answer was not whole"
            for o in outcomes
            if o.status == 200 and not o.whole
        ]
        return broken


def table(outcomes: list[Outcome], made: Counter[str]) -> str:
    """Return the demo's table."""
    refused = Counter(o.code for o in outcomes if o.status != 200)
    chats = [o for o in outcomes if o.kind != "booking" and o.whole]
    firsts = [o.first_s for o in chats if o.first_s is not None]
    gaps = [gap for o in chats for gap in o.gaps_s]
    cost = sum(
        o.tokens * (DEAR if o.version.startswith("planner") else CHEAP)
        for o in chats
    )
    dearest = sum(o.tokens * DEAR for o in chats)
    confirmed = {o.slot for o in outcomes if o.slot and o.status == 200}
    rows: list[tuple[str, Any]] = [
        ("requests", len(outcomes)),
        ("answered whole", sum(o.whole for o in outcomes)),
        ("refused, by kind", dict(refused) or "none"),
        ("cost against always-dearest", f"{cost / max(dearest, 1e-9):.2f}"),
        ("first token p50 / p95, ms", _percentiles(firsts)),
        ("between tokens p50 / p95, ms", _percentiles(gaps)),
        ("bookings made", sum(made.values())),
        ("bookings doubled", sum(c > 1 for c in made.values())),
        ("bookings lost", len(confirmed - set(made))),
    ]
    return "\n".join(f"{name:32}{value}" for name, value in rows)


def _percentiles(values: list[float]) -> str:
    if not values:
        return "-"
    middle, high = numpy.percentile(values, [50, 95]) * 1000
    return f"{middle:.1f} / {high:.1f}"


def main(
    keep: bool = False, seconds: float = 12.0, rate: float = 25.0, seed: int = 1
) -> None:
    """Run the demo; exits with 1 if a promise broke.

    Args:
        keep: Leave the deployment up until Ctrl-C.
        seconds: How long the load lasts.
        rate: Requests a second.
        seed: Seed of the mix.
    """
    with Deployment(CARPATO) as deployment:
        demo = Demo(deployment)
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: demo.stop.set())
        demo.configure(demo.manifest)
        deployment.wait_ready()
        deployment.wait_homes(PARTITIONS)
        load = Load(
            demo.entries(), RETAIL_KEY, rate, seconds, seed, stop=demo.stop
        )
        operator = threading.Thread(target=demo.operate, args=(seconds,))
        operator.start()
        outcomes = load.run()
        operator.join()
        broken = demo.check(outcomes)
        print(table(outcomes, demo.bookings()))
        for line in sorted(set(broken)):
            print(f"BROKEN: {line}")
        if keep and not demo.stop.is_set():
            _keep(demo)
        deployment.leave()
    sys.exit(1 if broken else 0)


def _keep(demo: Demo) -> None:
    entry = demo.entries()[0]
    print(f"\nentries: {', '.join(demo.entries())}")
    print(f"logs and keys: {demo.deployment.folder}")
    print(
        f"try: curl {entry}/v1/chat/completions"
        f" -H 'Authorization: Bearer {RETAIL_KEY}'"
        ' -d \'{"model": "route-day",'
        ' "messages": [{"role": "user", "content": "a plan"}]}\''
    )
    platform = demo.deployment.processes["platform"].url()
    cli = ".venv/bin/lacewingdock"
    print(f"what it does: {cli} report --platform={platform}")
    print(f"what would change: {cli} diff {MANIFEST} --platform={platform}")
    print("Ctrl-C takes it down.", flush=True)
    demo.stop.wait()


if __name__ == "__main__":
    fire.Fire(main)
