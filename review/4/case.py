"""A configuration of a megabyte never comes into force on a slow link."""

import contextlib
import json
import os
import socket
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
SERVICE = "catalogue"
ZONES = ("zone-a", "zone-b")
# link_mbps of the slowest front machines of the site file. Both machines have
# such a link: what they send each other doesn't pass the proxies.
LINK_MBPS = 5.0
# Bytes of the grown configuration; value_bytes is 1,048,576.
CONFIG_BYTES = 1_000_000
# Bounds of the site file.
BOUNDS = {"contact_ms": 4000, "drain_ms": 3000, "config_apply_ms": 3000}
APPLY_S = BOUNDS["config_apply_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
# Versions that change a time-out, each with the pause before it, in seconds.
CHANGES = ((6, 5.0), (9, 4.3), (10, 3.7), (13, 4.9), (14, 3.1), (15, 4.6))
# Seconds for which requests go on after the last configuration.
WATCHED_S = 30.0


class Link:
    """A machine's link: a proxy before the store with a bandwidth.

    It delays bytes by their number alone, and drops none.
    """

    def __init__(self, store: Store, mbps: float) -> None:
        """Listen on a free port."""
        self.store = store
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at = 0.0
        self.lock = threading.Lock()
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Connect each caller with the store."""
        while True:
            near, _ = self.sock.accept()
            far = socket.create_connection(("127.0.0.1", self.store.port))
            for source, sink in ((near, far), (far, near)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(
                    target=self.copy, args=(source, sink), daemon=True
                ).start()

    def copy(self, source: socket.socket, sink: socket.socket) -> None:
        """Copy bytes at the link's bandwidth until one side closes."""
        try:
            while data := source.recv(4096):
                with self.lock:
                    at = max(self.free_at, time.monotonic())
                    self.free_at = at + len(data) / self.bytes_per_s
                time.sleep(max(self.free_at - time.monotonic(), 0.0))
                sink.sendall(data)
        except OSError:
            pass
        finally:
            for sock in (source, sink):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def grown(version: int, keys: list[str]) -> dict[str, Any]:
    """Return a configuration with the new route and as many more as fit.

    Without the disruption the new route is the only one more.
    """
    routes = [
        route("old", "idempotent", SERVICE),
        route("new", "idempotent", SERVICE),
    ]
    more = route("r-000000", "idempotent", SERVICE, gap_target_ms=0)
    size = len(json.dumps(more)) + 2
    count = CONFIG_BYTES // size - 8 if TROUBLE else 0
    routes += [
        route(f"r-{number:06d}", "idempotent", SERVICE, gap_target_ms=0)
        for number in range(count)
    ]
    found = configuration(version, routes, [SERVICE])
    found["tenants"][0]["api_keys"] = keys
    return found


def send(client: Client, path: str, attempt: str, record: Record) -> int:
    """Send a request and record it."""
    record.add("sent", attempt=attempt, path=path, to=client.router.name)
    status = client.send(path, attempt)
    record.add("answered", attempt=attempt, status=status)
    return status


def main() -> int:
    """Run the case; return the exit status."""
    record = Record(Path(__file__).resolve().parent)
    store = Store()
    first = configuration(3, [route("old", "idempotent", SERVICE)], [SERVICE])
    first["tenants"][0]["api_keys"] = ["key-1", "key-2"]
    store.write("config", "main", first)
    worker = Worker(store, record, SERVICE, "v1", "zone-a", work_s=0.02)
    ports = free_ports()
    routers = [
        Router(number, store, ports, zone, Link(store, LINK_MBPS).port, BOUNDS)
        for number, zone in enumerate(ZONES, 1)
    ]
    late: dict[str, list[str]] = {one.name: [] for one in routers}
    sent: dict[str, int] = {one.name: 0 for one in routers}
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
        clients = [Client(one) for one in routers]
        for number, client in enumerate(clients):
            if send(client, "/old/1", f"a{number:015x}", record) != 200:
                print("could not run: no answer at first", file=sys.stderr)
                return 2
        # The new route comes first, and then key-1 is taken away.
        spec = grown(4, ["key-1", "key-2"])
        added_at = store.write("config", "main", spec)
        record.add("config", version=4, bytes=len(json.dumps(spec)))
        for version, pause_s in CHANGES:
            time.sleep(pause_s)
            spec = grown(version, ["key-1", "key-2"])
            spec["routes"][0]["timeout_ms"] += version
            store.write("config", "main", spec)
            record.add("config", version=version, bytes=len(json.dumps(spec)))
        time.sleep(4.0)
        spec = grown(17, ["key-2"])
        revoked_at = store.write("config", "main", spec)
        record.add("config", version=17, bytes=len(json.dumps(spec)))
        until = revoked_at + WATCHED_S
        count = 0
        while time.monotonic() < until:
            for client in clients:
                count += 1
                name, attempt = client.router.name, f"b{count:015x}"
                began = time.monotonic()
                status = send(client, "/new/1", attempt, record)
                sent[name] += 1
                if began < max(added_at, revoked_at) + CONTACT_S + APPLY_S:
                    continue
                # Version 17 has the route, and doesn't know key-1: only 401 is
                # right. 404 is of version 3, a success of versions 4 to 15.
                if status != 401:
                    late[name].append(f"{attempt}:{status}")
                count += 1
                attempt = f"c{count:015x}"
                status = send(client, "/old/1", attempt, record)
                sent[name] += 1
                if status != 401:
                    late[name].append(f"{attempt}:{status}")
            time.sleep(0.5)
        if any(one.popen and one.popen.poll() is not None for one in routers):
            print("could not run: a router ended", file=sys.stderr)
            return 2
    finally:
        for router in routers:
            router.kill()
    ran = {attempt for _, attempt, _ in worker.runs}
    parts = []
    for name, found in late.items():
        revoked = sum(one.partition(":")[0] in ran for one in found)
        for one in found:
            record.add("CONFIG", router=name, attempt=one)
        parts.append(
            f"{name}: {len(found)} of {sent[name]} handled as only an older"
            f" version allows, {revoked} of them run with a dropped key"
        )
    summary = "; ".join(parts)
    record.add("result", text=repr(summary))
    record.close()
    print(summary)
    return 1 if any(late.values()) else 0


if __name__ == "__main__":
    raise SystemExit(main())
