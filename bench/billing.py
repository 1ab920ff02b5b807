"""Support for measuring billing: lost and doubled bills, writes, CPU.

Fault runs go through real processes; bills are counted in the platform
stand-in's objects against the whole answers that callers got. The rest runs
the two sides' own code in this process with an in-memory platform.
"""

import base64
import random
import signal
import time
import tracemalloc
import zlib
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final

import fire
import msgspec

from bench.deployment import Deployment, Shape, wait_until
from bench.example import RETAIL_KEY, apply, read_example
from bench.http import Reply, call
from bench.report import Figure, figure, progress, show
from lacewingdock.components.billing.const import MAX_HELD, MAX_PENDING
from lacewingdock.components.billing.entry import write_interval_s
from lacewingdock.components.billing.ledger import Ledger
from lacewingdock.components.billing.outbox import Outbox
from lacewingdock.components.billing.record import build_bill, encode_bill
from lacewingdock.helpers.ids import new_id
from lacewingdock.links.messages import Attempt, Bills, Finish, Hello
from lacewingdock.links.wire import LENGTH_BYTES, decode, encode
from lacewingdock.platform.store import Stored
from lacewingdock.world.objects import Version
from lacewingdock.world.run import Run
from lacewingdock.world.world import World

CPU_BILLS: Final = 5000
RATE: Final = 26_000
ENTRIES: Final = 1200
SIDECARS: Final = 6500
CONTROL_CPU: Final = 0.018
CONTROL_BYTES: Final = 18_000


class MemoryStore:
    """A platform that takes everything and counts the bytes.

    Attributes:
        writes: Writes taken.
        size: Bytes of their values as JSON.
    """

    __slots__ = ("size", "writes")

    def __init__(self) -> None:
        """Start at nothing."""
        self.writes = 0
        self.size = 0

    def get(self, collection: str, name: str, purpose: str) -> Stored:
        """Find nothing."""
        return Stored(name, 0)

    def put(
        self, collection: str, name: str, value: Any, expect: int, purpose: str
    ) -> Stored:
        """Take a write."""
        self.writes += 1
        self.size += len(msgspec.json.encode(value))
        return Stored(name, self.writes, value)


class Wire:
    """A link that only keeps the frames.

    Attributes:
        peer: The other end.
        frames: What was sent.
    """

    __slots__ = ("frames", "peer")

    def __init__(self, peer: Hello) -> None:
        """Start with nothing sent."""
        self.peer = peer
        self.frames: list[bytes] = []

    def send(self, message: Any) -> bool:
        """Encode and keep a message."""
        self.frames.append(encode(message))
        return True


def ended_runs(count: int) -> list[tuple[Run, Finish]]:
    """Return runs as a sidecar has them at their end."""
    return [
        (
            Run(
                Attempt(
                    new_id(), new_id(), "retail", "drafter-1", "POST", "", b""
                )
            ),
            Finish("", 423, 200, "text/event-stream", 150, 423),
        )
        for _ in range(count)
    ]


def measure_cpu(batch: int) -> dict[str, float]:
    """Measure both sides' work for bills that come one at a time.

    Args:
        batch: Bills that the entry writes together.
    """
    world = World()
    world.add("drafter-1", Version(model="m", input_price=0.1))
    store = MemoryStore()
    ledger = Ledger(store, "entry", "i")
    outbox = Outbox("sidecar", "a")
    to_entry: Any = Wire(Hello("entry", "i", "entry", "b", b""))
    to_sidecar: Any = Wire(Hello("sidecar", "i", "sidecar", "a", b""))
    outbox.on_kept(to_entry, ledger.announcement())
    runs = ended_runs(CPU_BILLS)
    start = time.process_time()
    for run, finish in runs:
        bill = build_bill(run, finish, world)
        outbox.record(bill.attempt, encode_bill(bill))
    sidecar = time.process_time() - start
    start = time.process_time()
    for index, frame in enumerate(to_entry.frames, 1):
        message: Any = decode(frame[LENGTH_BYTES:])
        ledger.receive(to_sidecar, message)
        if index % batch == 0:
            ledger.flush()
    ledger.flush()
    entry = time.process_time() - start
    start = time.process_time()
    for frame in to_sidecar.frames:
        kept: Any = decode(frame[LENGTH_BYTES:])
        outbox.on_kept(to_entry, kept)
    sidecar += time.process_time() - start
    assert not outbox.held
    assert ledger.written == CPU_BILLS
    frames = to_entry.frames + to_sidecar.frames
    return {
        "sidecar": sidecar / CPU_BILLS,
        "entry": entry / CPU_BILLS,
        "link": sum(map(len, frames)) / CPU_BILLS,
        "row": store.size / CPU_BILLS,
    }


def plain_row_bytes() -> float:
    """Measure a row as a JSON object, unpacked, for comparison."""
    ((run, finish),) = ended_runs(1)
    bill = build_bill(run, finish, World())
    return len(msgspec.json.encode(msgspec.structs.asdict(bill))) + 1


def measure_memory() -> tuple[float, float]:
    """Measure megabytes of a full outbox and a full ledger."""
    rows = {}
    for run, finish in ended_runs(MAX_HELD):
        rows[run.attempt.attempt] = encode_bill(
            build_bill(run, finish, World())
        )
    link: Any = Wire(Hello("sidecar", "i", "sidecar", "a", b""))

    def fill_outbox() -> Any:
        outbox = Outbox("sidecar", "a")
        for attempt, row in rows.items():
            outbox.record(str(attempt), bytes(bytearray(row)))
        return outbox

    def fill_ledger() -> Any:
        ledger = Ledger(MemoryStore(), "entry", "i")
        for row in list(rows.values())[:MAX_PENDING]:
            message = Bills(ledger.own, 0, False, [bytes(bytearray(row))])
            ledger.receive(link, message)
        return ledger

    return _megabytes(fill_outbox), _megabytes(fill_ledger)


def _megabytes(build: Callable[[], Any]) -> float:
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1e6


def fault_run(seed: int, seconds: float) -> dict[str, float]:
    """Run a load under random faults and count bills against answers."""
    source = random.Random(seed)
    with Deployment(Shape(entries=3, workers=2)) as deployment:
        url = deployment.processes["platform"].url()
        url = deployment.processes["platform"].url()
        apply(deployment, read_example())
        deployment.wait_ready()
        end = time.monotonic() + seconds
        with ThreadPoolExecutor(8) as pool:
            callers = [
                pool.submit(_ask_until, deployment, seed * 100 + n, end)
                for n in range(8)
            ]
            faults = _trouble(deployment, source, end)
            whole = [r for c in callers for r in c.result()]
        _settle(deployment)
        return {**_count(url, whole), "faults": faults}


def _ask_until(deployment: Deployment, seed: int, end: float) -> list[str]:
    """Return the ids of the requests whose whole answer came."""
    source = random.Random(seed)
    whole = []
    while time.monotonic() < end:
        entry = deployment.processes[f"entry-{source.randrange(3)}"]
        reply = _chat(entry.url(), source)
        if reply.status == 200 and not reply.error:
            whole.append(reply.headers["lacewingdock-request-id"])
        else:
            time.sleep(0.02)
    return whole


def _chat(url: str, source: random.Random) -> Reply:
    hard = source.random() < 0.3
    body = {
        "model": "route-day" if hard else "drafter",
        "max_tokens": 6,
        "messages": [{"role": "user", "content": "hard" if hard else "easy"}],
    }
    headers = {"Authorization": f"Bearer {RETAIL_KEY}"}
    path = f"{url}/v1/chat/completions"
    return call("POST", path, body, headers, timeout_s=15.0)


def _trouble(deployment: Deployment, source: random.Random, end: float) -> int:
    """Make one fault after another; what it stops comes back."""
    count = 0
    while time.monotonic() < end - 1:
        time.sleep(source.uniform(0.2, 1.0))
        count += 1
        entry = f"entry-{source.randrange(3)}"
        worker = f"worker-{source.randrange(2)}"
        kind = source.randrange(5)
        progress(f"{end - time.monotonic():6.2f} {kind} {entry} {worker}")
        match kind:
            case 0:
                deployment.processes[entry].kill()
                deployment.restart(entry)
            case 1:
                deployment.processes[worker].kill()
                deployment.restart(worker)
            case 2:
                deployment.processes[entry].signal(signal.SIGSTOP)
                time.sleep(source.uniform(0.5, 2.0))
                deployment.processes[entry].signal(signal.SIGCONT)
            case 3:
                deployment.faults(down=True)
                time.sleep(source.uniform(0.5, 3.0))
                deployment.faults()
            case _:
                deployment.faults(
                    lose_answers=source.randrange(1, 5),
                    lose_collection="ledger",
                )
    deployment.faults()
    return count


def _settle(deployment: Deployment) -> None:
    """Wait until no daemon holds a bill."""
    deployment.wait_ready()
    for name in ("lacewingdock_bills_held", "lacewingdock_bills_pending"):
        wait_until(
            lambda name=name: (
                not any(  # type: ignore[misc]
                    deployment.metric(p, name) for p in deployment.daemons()
                )
            ),
            f"{name} does not fall to nothing",
            120.0,
        )


def _count(url: str, whole: list[str]) -> dict[str, float]:
    attempts: Counter[str] = Counter()
    requests = set()
    for stored in call("GET", f"{url}/objects/ledger").json()["items"]:
        text = zlib.decompress(base64.b64decode(stored["spec"]["value"]))
        for row in msgspec.json.decode(text):
            attempts[row[0]] += 1
            requests.add(row[1])
    return {
        "answers": len(whole),
        "lost": len(set(whole) - requests),
        "doubled": sum(n - 1 for n in attempts.values()),
    }


def fault_figures(runs: int, seed: int, seconds: float) -> list[Figure]:
    """Count lost and doubled bills over fault runs."""
    found: list[dict[str, float]] = []
    for number in range(runs):
        found.append(fault_run(seed + number, seconds))
        progress(f"seed {seed + number}: {found[-1]}")

    def total(name: str) -> float:
        return sum(run[name] for run in found)

    none = {"aim": "0", "reached": lambda value: value == 0}
    return [
        figure("whole answers, all fault runs", [total("answers")], "requests"),
        figure("faults, all fault runs", [total("faults")], "faults"),
        figure("bills lost", [total("lost")], "bills", **none),  # type: ignore[arg-type]
        figure("bills doubled", [total("doubled")], "bills", **none),  # type: ignore[arg-type]
    ]


def cost_figures(runs: int) -> list[Figure]:
    """Measure CPU, bytes and memory, and work them to the target."""
    batch = round(RATE / ENTRIES * write_interval_s(ENTRIES))
    cpu = [measure_cpu(batch) for _ in range(runs)]
    memory = [measure_memory() for _ in range(runs)]

    def each(name: str, factor: float = 1.0) -> list[float]:
        return [run[name] * factor for run in cpu]

    at_entry = RATE / ENTRIES
    at_sidecar = RATE / SIDECARS
    figures = [
        figure("CPU a bill, sidecar", each("sidecar", 1e6), "us"),
        figure("CPU a bill, entry", each("entry", 1e6), "us"),
        figure(
            "control CPU at the target, entry",
            each("entry", at_entry * 100),
            "% core",
            aim="a part of 1.8",
            reached=lambda v: v < CONTROL_CPU * 100,
        ),
        figure(
            "control CPU at the target, sidecar",
            each("sidecar", at_sidecar * 100),
            "% core",
            aim="a part of 1.8",
            reached=lambda v: v < CONTROL_CPU * 100,
        ),
        figure("link bytes a bill", each("link"), "B"),
        figure(
            "link bytes at the target, entry",
            each("link", at_entry),
            "B/s",
            aim="a part of 18 KB/s",
            reached=lambda v: v < CONTROL_BYTES,
        ),
        figure(
            "ledger bytes a bill",
            each("row"),
            "B",
            baseline={"plain JSON objects": plain_row_bytes()},
        ),
        figure("memory, full outbox", [m[0] for m in memory], "MB"),
        figure("memory, full ledger", [m[1] for m in memory], "MB"),
    ]
    for entries, rate in ((4, 40), (120, 2600), (ENTRIES, RATE)):
        writes = entries / write_interval_s(entries)
        figures += [
            figure(
                f"writes/s, {entries} entries {rate} req/s",
                [writes],
                "1/s",
                baseline={"a write a request": float(rate)},
                aim="at most 40",
                reached=lambda v: v <= 40,
            ),
            figure(
                f"ledger KB/s, {entries} entries {rate} req/s",
                each("row", rate / 1000),
                "KB/s",
            ),
        ]
    return figures


def main(
    json: bool = False,
    seed: int = 1,
    runs: int = 5,
    fault_runs: int = 4,
    seconds: float = 12.0,
) -> None:
    """Measure billing.

    Args:
        json: Whether to print JSON.
        seed: Seed of the first fault run.
        runs: Runs of the CPU and size measures.
        fault_runs: Fault runs.
        seconds: Length of a fault run's load.
    """
    figures = cost_figures(runs) if runs else []
    if fault_runs:
        figures += fault_figures(fault_runs, seed, seconds)
    show("billing", seed, figures, json)


if __name__ == "__main__":
    fire.Fire(main)
