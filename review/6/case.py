"""A version that was rolled back gets requests again at the next order."""

import os
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from sitekit import (
    Client,
    Record,
    Router,
    Store,
    Worker,
    configuration,
    free_ports,
    route,
    wait,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "booking-api"
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
# The order's time, as on the standard days of the site file.
DURATION_S = 24.0
SESSION_S = 5.0
# Clients with a session, and others without; each sends a request a second.
SESSIONS = 64
OTHERS = 96
# Seconds after "rolled_back" at which the platform drains the new workers, and
# at which the operator orders the next version.
DRAIN_AFTER_S = 3.0
NEXT_AFTER_S = 0.5
# PINNED: "more than three requests".
ALLOWED = 3


class Platform:
    """Starts and stops workers on the status of the roll-outs."""

    def __init__(self, store: Store, record: Record) -> None:
        """Start with the workers of version v1."""
        self.store = store
        self.record = record
        self.workers: list[Worker] = []
        self.ordered_at: dict[str, float] = {}
        self.rolled_back = threading.Event()
        self.rolled_back_at = 0.0
        store.on_status = self.take_status
        self.add("v1")

    def add(self, version: str, bad_share: float = 0.0) -> None:
        """Start a version's workers, one a zone."""
        for zone in ZONES:
            worker = Worker(
                self.store,
                self.record,
                SERVICE,
                version,
                zone,
                work_s=0.045,
                bad_share=bad_share,
            )
            self.workers.append(worker)

    def order(self, version: str, bad_share: float = 0.0) -> None:
        """Order a version, and start its workers beside the old ones."""
        self.ordered_at[version] = self.store.write(
            "rollouts",
            SERVICE,
            {"service": SERVICE, "target": version, "duration_s": DURATION_S},
        )
        self.record.add("order", version=version, duration_s=DURATION_S)
        self.add(version, bad_share)

    def take_status(self, kind: str, name: str, status: Any) -> None:
        """Act on a status that the system wrote."""
        if kind != "rollouts":
            return
        self.record.add("status", service=name, **status)
        if status["state"] == "rolled_back" and not self.rolled_back.is_set():
            self.rolled_back_at = time.monotonic()
            self.rolled_back.set()
            timer = threading.Timer(
                DRAIN_AFTER_S, self.drain, [status["target"]]
            )
            timer.daemon = True
            timer.start()

    def drain(self, version: str) -> None:
        """Have a version's workers report that they drain."""
        self.record.add("drain", version=version)
        for worker in self.workers:
            if worker.version == version:
                worker.drain()

    def runs(self) -> list[tuple[float, str, str, str]]:
        """Return time, attempt, session and version of all runs, in order."""
        return sorted(
            (at, attempt, session, worker.version)
            for worker in self.workers
            for at, attempt, session in worker.runs
        )


def run_client(
    number: int, router: Router, record: Record, until: threading.Event
) -> None:
    """Send one client's requests, one a second."""
    client = Client(router)
    session = f"s-{number}" if number < SESSIONS else ""
    until.wait(number / (SESSIONS + OTHERS))
    count = 0
    while not until.is_set():
        began = time.monotonic()
        attempt = f"{number:04x}{count:012x}"
        count += 1
        record.add("sent", attempt=attempt, session=session)
        status = client.send("/book/1", attempt, session=session)
        record.add("answered", attempt=attempt, status=status)
        until.wait(max(began + 1.0 - time.monotonic(), 0.0))
    client.close()


def pinned_breaks(
    runs: list[tuple[float, str, str, str]], ordered_at: dict[str, float]
) -> list[tuple[float, str, str, str, str]]:
    """Return the requests that PINNED counts.

    These ran on another version than the one before in their session: on the
    new version of a roll-out in the first half of its time.
    """
    last: dict[str, tuple[float, str]] = {}
    found = []
    for at, attempt, session, version in runs:
        before = last.get(session)
        last[session] = (at, version)
        if not session:
            continue
        if before is None or at - before[0] > SESSION_S:
            continue
        order = ordered_at.get(version)
        if version == before[1] or order is None:
            continue
        if at < order + DURATION_S / 2:
            found.append((at, attempt, session, before[1], version))
    return found


def main() -> int:
    """Run the case; return the exit status."""
    record = Record(Path(__file__).resolve().parent)
    store = Store()
    store.write(
        "config",
        "main",
        configuration(3, [route("book", "non_idempotent", SERVICE)], [SERVICE]),
    )
    platform = Platform(store, record)
    ports = free_ports()
    routers = [
        Router(number, store, ports, zone)
        for number, zone in enumerate(ZONES, 1)
    ]
    until = threading.Event()
    try:
        for router in routers:
            router.start()
        wait(
            lambda: all(one.is_ready() for one in routers),
            20,
            "routers are not ready",
        )
        # All routers are in touch after contact_ms.
        time.sleep(3.5)
        for number in range(SESSIONS + OTHERS):
            threading.Thread(
                target=run_client,
                args=(number, routers[number % len(routers)], record, until),
                daemon=True,
            ).start()
        time.sleep(5.0)
        platform.order("v2", bad_share=0.5)
        wait(platform.rolled_back.is_set, DURATION_S, "v2 is not rolled back")
        if TROUBLE:
            time.sleep(NEXT_AFTER_S)
            platform.order("v3")
        left_s = platform.rolled_back_at + 8.0 - time.monotonic()
        time.sleep(max(left_s, 0.0))
        until.set()
        time.sleep(1.0)
        if any(one.popen and one.popen.poll() is not None for one in routers):
            print("could not run: a router ended", file=sys.stderr)
            return 2
    finally:
        until.set()
        for router in routers:
            router.kill()
    runs = platform.runs()
    found = pinned_breaks(runs, platform.ordered_at)
    start = record.start
    for at, attempt, session, before, version in found:
        record.add(
            "PINNED",
            at=f"{at - start:.3f}",
            attempt=attempt,
            session=session,
            before=before,
            ran_on=version,
        )
    late = [one for one in runs if one[3] == "v2"]
    late = [one for one in late if one[0] > platform.rolled_back_at + 0.5]
    summary = (
        f"{len(runs)} runs; {len(late)} on v2 later than 0.5 s after its"
        f" roll-out had ended as rolled_back; PINNED counts {len(found)},"
        f" allowed are {ALLOWED}"
    )
    record.add("result", text=repr(summary))
    record.close()
    print(summary)
    return 1 if len(found) > ALLOWED else 0


if __name__ == "__main__":
    raise SystemExit(main())
