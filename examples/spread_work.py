"""Spread links over failure domains and work over slots.

Sixty clients choose 6 of 40 workers each, without a word between them.
Then one worker's only slot is given out, the most urgent request first.
"""

import threading
import time
from collections import Counter

from lacewingdock.library import (
    Instance,
    LacewingdockError,
    Slots,
    choose_subset,
)

DOMAINS = ("hall-a", "hall-b", "hall-c", "hall-d")
CLIENTS = [f"client-{index}" for index in range(60)]
WORKERS = [
    Instance(
        name=f"worker-{index}",
        role="sidecar",
        failure_domain=DOMAINS[index % len(DOMAINS)],
        address=f"10.0.0.{index + 1}:7000",
        pool="drafter",
    )
    for index in range(40)
]


def spread_links() -> None:
    """Show that the choice is even and spans the failure domains."""
    links: Counter[str] = Counter()
    spans: list[int] = []
    for client in CLIENTS:
        chosen = choose_subset(client, CLIENTS, WORKERS, 6)
        spans.append(len({worker.failure_domain for worker in chosen}))
        links.update(worker.name for worker in chosen)
    print(f"domains a client spans: {min(spans)} to {max(spans)}")
    print(f"links a worker: {min(links.values())} to {max(links.values())}")


def give_out_slots() -> None:
    """Show that the urgent request goes first, in a bounded queue."""
    slots = Slots(capacity=1, queue_limit=2)
    order: list[str] = []

    def work(name: str, priority: int) -> None:
        with slots.hold(priority, time.monotonic() + 5.0):
            order.append(name)

    with slots.hold(0, time.monotonic() + 5.0):
        waiting = [
            threading.Thread(target=work, args=("nightly", 2)),
            threading.Thread(target=work, args=("shopper", 0)),
        ]
        for index, thread in enumerate(waiting, 1):
            thread.start()
            while slots.queued < index:
                time.sleep(0.001)
        try:
            work("one too many", 2)
        except LacewingdockError as error:
            print(f"refused: {error.kind}, ran {error.ran}")
    for thread in waiting:
        thread.join()
    print(f"order: {', '.join(order)}")


if __name__ == "__main__":
    spread_links()
    give_out_slots()
