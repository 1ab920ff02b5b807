"""Support for measuring the claims: latency, writes, outage and takeover."""

import statistics
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any, Final

import fire

from bench.deployment import Deployment, Process, Shape
from bench.example import PARTITIONS, RETAIL_KEY, bring_into_force, read_example
from bench.http import Reply, call
from bench.report import Figure, figure, progress, show

CONFIRM: Final = "/services/booking/slots/confirm"
SLOTS: Final = "/services/booking/slots"
TICKETS: Final = "/services/booking/tickets"
RATES: Final = (10, 50, 150)
TAKEOVER_AIM_S: Final = 6.0


class Bench:
    """A deployment with a booking service, and its callers.

    Attributes:
        deployment: The running deployment.
        count: Keys used so far.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Bring the configuration into force, with tickets allowed."""
        self.deployment = deployment
        self.count = 0
        manifest = read_example()
        manifest["service/booking"]["operations"][0]["on_outage"] = "tickets"
        bring_into_force(deployment, manifest)
        deployment.wait_homes(PARTITIONS)
        for worker in self.workers():
            call("POST", f"{worker.url()}/control", {"delay_s": 0.0})

    def workers(self) -> list[Process]:
        """Return the booking workers."""
        found = self.deployment.processes.items()
        return [
            p
            for n, p in found
            if n.startswith("booking-") and "port" in p.ports
        ]

    def new_key(self) -> str:
        """Return a key that was not used before."""
        self.count += 1
        return f"bench-{self.count}"

    def ask(
        self, method: str, path: str, body: Any = None, key: str = ""
    ) -> Reply:
        """Call the entry."""
        headers = {"Authorization": f"Bearer {RETAIL_KEY}"}
        if key:
            headers["Idempotency-Key"] = key
        url = self.deployment.processes["entry-0"].url() + path
        return call(method, url, body, headers)

    def book(self, key: str) -> Reply:
        """Book a slot."""
        return self.ask("POST", CONFIRM, {"slot": key}, key)

    def ticket(self) -> str:
        """Get a ticket."""
        ticket: str = self.ask("POST", TICKETS, {}).json()["ticket"]
        return ticket

    def booked(self) -> list[str]:
        """Return the keys booked, as the workers recorded them."""
        return [
            made["key"]
            for worker in self.workers()
            for made in call("GET", f"{worker.url()}/bookings").json()
        ]

    def writes(self) -> int:
        """Count the writes for claims, as the platform recorded them."""
        url = f"{self.deployment.processes['platform'].url()}/calls"
        calls = call("GET", url).json()
        return int(calls.get("claims", 0) + calls.get("claims-segment", 0))


@contextmanager
def running(homes: int) -> Iterator[Bench]:
    """Run a deployment with a number of booking workers."""
    shape = Shape(entries=1, workers=0, booking_workers=homes)
    with Deployment(shape) as deployment:
        yield Bench(deployment)


def timed(function: Callable[[], Reply], count: int) -> list[float]:
    """Return the milliseconds of each call, one after the other.

    Raises:
        RuntimeError: A call was refused.
    """
    times = []
    for _ in range(count):
        started = time.perf_counter()
        reply = function()
        times.append((time.perf_counter() - started) * 1000)
        if reply.status != 200:
            raise RuntimeError(f"refused: {reply.body!r}")
        # Past the gap between writes, as single bookings come.
        time.sleep(0.05)
    return times


def latency(bench: Bench, count: int) -> list[Figure]:
    """Measure what a claim adds to a call of the same service."""
    plain: list[float] = []
    claimed: list[float] = []
    ticketed: list[float] = []
    tickets = [bench.ticket() for _ in range(3 * count)]
    for _ in range(3):
        plain += timed(lambda: bench.ask("GET", SLOTS), count)
        claimed += timed(lambda: bench.book(bench.new_key()), count)
        ticketed += timed(lambda: bench.book(tickets.pop()), count)
    base = statistics.median(plain)
    return [
        figure(
            "booking with a claim, median",
            claimed,
            "ms",
            baseline={
                "repeatable call": base,
                "booking with a ticket": statistics.median(ticketed),
            },
        ),
        figure("claim's share", [statistics.median(claimed) / base], "x"),
    ]


def writes(bench: Bench, homes: int, rate: int, seconds: float) -> Figure:
    """Measure the platform's writes a second at a rate of bookings."""
    before = bench.writes()
    replies = []
    started = time.monotonic()
    with ThreadPoolExecutor(64) as pool:
        for index in range(int(rate * seconds)):
            time.sleep(max(0.0, started + index / rate - time.monotonic()))
            replies.append(pool.submit(bench.book, bench.new_key()))
    took = time.monotonic() - started
    codes = [r.result().json().get("code", "") for r in replies]
    refused = ", ".join(sorted({code for code in codes if code})) or "none"
    return figure(
        f"writes/s at {rate} bookings/s, {homes} homes, refused: {refused}",
        [(bench.writes() - before) / took],
        "1/s",
        baseline={"two writes a booking": 2.0 * rate},
        aim="at most 200",
        reached=lambda value: value <= 200,
    )


def outage(bench: Bench, count: int) -> list[Figure]:
    """Count the bookings served while the platform is down, by mode."""
    keys = {
        "refuse": [bench.new_key() for _ in range(count)],
        "tickets": [bench.ticket() for _ in range(count)],
    }
    bench.deployment.faults(down=True)
    times = {}
    for mode, mode_keys in keys.items():
        started = time.monotonic()
        for key in mode_keys:
            bench.book(key)
        times[mode] = (time.monotonic() - started) / count * 1000
    booked = bench.booked()
    bench.deployment.faults()
    return [
        figure(
            f"bookings served of {count} in an outage, {mode}",
            [float(sum(key in booked for key in mode_keys))],
            "",
            baseline={"ms an answer": times[mode]},
        )
        for mode, mode_keys in keys.items()
    ]


def takeover(bench: Bench, is_planned: bool) -> float:
    """Return the seconds without a home for some key after a home's stop."""
    name = "lacewingdock_claim_partitions"
    process = max(
        (p for p in bench.deployment.daemons() if p.popen.poll() is None),
        key=lambda p: bench.deployment.metric(p, name),
    )
    started = time.monotonic()
    if is_planned:
        process.stop()
    else:
        process.kill()
    while True:
        # Enough keys that each partition is asked.
        with ThreadPoolExecutor(32) as pool:
            keys = [bench.new_key() for _ in range(32)]
            replies = list(pool.map(bench.book, keys))
        if all(reply.status == 200 for reply in replies):
            return time.monotonic() - started
        time.sleep(0.1)


def main(json: bool = False, seed: int = 1, count: int = 60) -> None:
    """Measure the claims on small deployments.

    Args:
        json: Whether to print one JSON object.
        seed: Only passed on; nothing here is drawn.
        count: Calls of each kind.
    """
    figures = []
    for homes in (1, 2, 4):
        progress(f"{homes} homes")
        with running(homes) as bench:
            if homes == 2:
                figures += latency(bench, count)
                figures += outage(bench, count)
            for rate in RATES:
                figures.append(writes(bench, homes, rate, 4.0))
            if homes == 4:
                planned = takeover(bench, True)
                killed = [takeover(bench, False) for _ in range(2)]
                figures.append(
                    figure(
                        "until every key has a home after a kill",
                        killed,
                        "s",
                        baseline={"planned stop": planned},
                        aim=f"under {TAKEOVER_AIM_S:g} s",
                        reached=lambda value: value < TAKEOVER_AIM_S,
                    )
                )
            doubled = len(bench.booked()) - len(set(bench.booked()))
            figures.append(
                figure(
                    f"doubled bookings, {homes} homes",
                    [float(doubled)],
                    "",
                    aim="none",
                    reached=lambda value: value == 0,
                )
            )
    show("claims", seed, figures, json)


if __name__ == "__main__":
    fire.Fire(main)
