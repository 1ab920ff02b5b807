"""A late write of a leaving worker's earlier entry opens it again."""

import os
import sys
import threading
import time
from pathlib import Path

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
ZONES = ("zone-a", "zone-b")
# Clients, each with ten bookings a second at most.
CLIENTS = 24
PAUSE_S = 0.1
HEARTBEAT_S = 1.2
# Bounds of the site file.
CONTACT_S = 3.0
DRAIN_S = 2.0
# The write without an answer is done so much later: "1 to 6 s later" (kinds).
LATE_S = 5.0
# Seconds after that write's sending at which the worker begins to leave: the
# store loses no answer any more, and has been without disruption for
# contact_ms.
LEAVES_AFTER_S = CONTACT_S + 0.5
# The worker serves for drain_ms and a little longer.
SERVES_S = DRAIN_S + 0.3


def run_client(router: Router, number: int, case: "Case") -> None:
    """Send one client's bookings."""
    client = Client(router)
    count = 0
    while not case.until.is_set():
        attempt = f"{number:04x}{count:012x}"
        count += 1
        case.record.add("sent", attempt=attempt, to=router.name)
        status = client.send("/book/1", attempt)
        case.record.add("answered", attempt=attempt, status=status)
        case.statuses[attempt] = status
        case.until.wait(PAUSE_S)
    client.close()


class Case:
    """The clients' state.

    Attributes:
        record: The script's record.
        until: Set when the clients are to end.
        statuses: The answers' statuses by attempt.
    """

    def __init__(self) -> None:
        """Open the record."""
        self.record = Record(Path(__file__).resolve().parent)
        self.until = threading.Event()
        self.statuses: dict[str, int] = {}


def renew(workers: list[Worker], until: threading.Event) -> None:
    """Write the entries of all workers that run, every heartbeat."""
    while not until.wait(HEARTBEAT_S):
        for worker in workers:
            if not worker.ended:
                worker.register()


def main() -> int:
    """Run the case; return the exit status."""
    case = Case()
    record, until = case.record, case.until
    store = Store()
    routes = [route("book", "non_idempotent", SERVICE)]
    store.write("config", "main", configuration(3, routes, [SERVICE]))
    workers = [
        Worker(store, record, SERVICE, "v1", zone, work_s=0.09)
        for zone in (*ZONES, ZONES[0])
    ]
    leaving = workers[0]
    ports = free_ports()
    routers = [
        Router(number, store, ports, zone)
        for number, zone in enumerate(ZONES, 1)
    ]
    try:
        for router in routers:
            router.start()
        wait(
            lambda: all(one.is_ready() for one in routers),
            20,
            "routers are not ready",
        )
        # All routers are in touch after contact_ms.
        time.sleep(CONTACT_S + 0.5)
        for number in range(CLIENTS):
            threading.Thread(
                target=run_client,
                args=(routers[number % len(routers)], number, case),
                daemon=True,
            ).start()
        time.sleep(1.0)
        # A heartbeat, with the state ready. The store loses its answer, and
        # does the write later.
        spec = leaving.entry()
        sent_at = time.monotonic()
        record.add("heartbeat", worker=leaving.id, sequence=spec["sequence"])
        if TROUBLE:
            timer = threading.Timer(
                LATE_S, store.write_entry, [leaving.id, spec]
            )
            timer.daemon = True
            timer.start()
        else:
            store.write_entry(leaving.id, spec)
        threading.Thread(
            target=renew, args=(workers, until), daemon=True
        ).start()
        time.sleep(LEAVES_AFTER_S)
        acked_at = leaving.drain()
        record.add(
            "draining", worker=leaving.id, sequence=leaving.sequence, acked=1
        )
        time.sleep(max(acked_at + SERVES_S - time.monotonic(), 0.0))
        leaving.leave()
        record.add("left", worker=leaving.id)
        time.sleep(max(sent_at + LATE_S + 3.0 - time.monotonic(), 0.0))
        until.set()
        time.sleep(1.0)
        if any(one.popen and one.popen.poll() is not None for one in routers):
            print("could not run: a router ended", file=sys.stderr)
            return 2
    finally:
        until.set()
        for router in routers:
            router.kill()
    bound = acked_at + DRAIN_S
    late = [one for one in leaving.runs if one[0] > bound]
    lost = [one for one in late if case.statuses.get(one[1]) != 200]
    for at, attempt, _ in late:
        record.add(
            "DRAIN",
            attempt=attempt,
            after_s=f"{at - acked_at:.3f}",
            status=case.statuses.get(attempt),
        )
    summary = (
        f"{len(case.statuses)} bookings; {len(late)} reached the worker later"
        f" than {DRAIN_S:g} s after its draining was acknowledged, {len(lost)}"
        " of them got no success"
    )
    record.add("result", text=repr(summary))
    record.close()
    print(summary)
    return 1 if late else 0


if __name__ == "__main__":
    raise SystemExit(main())
