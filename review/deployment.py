"""A small deployment on loopback: store, workers, clients and routers.

The store, the workers and the clients are stand-ins written after the users'
pages, with the standard library alone. The routers are the project's own
program, started as the deploy file says, each at a loopback address of its
own.
"""

import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = ROOT / "deploy" / "system.toml"
PACKAGES = ROOT / "target" / "deps"
# The operator's host, and the only key of the only tenant.
HOST = "booking.example"
KEY = "key-of-the-tenant"
TENANT = "tenant-1"
HEARTBEAT_S = 1.2
# Figures of the pages' small deployments.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.9,
    "budget_window_s": 10,
    "retry_budget_extra": 52,
    "exposure_share": 0.15,
    "exposure_tolerance": 30,
    "rollback_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "session_s": 5,
}


class NotRunnable(Exception):
    """The case could not be run here."""


class Record:
    """What was sent, answered and run, a line each."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self.start = time.monotonic()
        self.lines: list[str] = []
        self.path = path
        self._lock = threading.Lock()

    def now(self) -> float:
        """Return the seconds since the beginning."""
        return time.monotonic() - self.start

    def add(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self.lines.append(f"{self.now():8.3f}  {text}")

    def write(self) -> None:
        """Write the file."""
        with self._lock:
            self.path.write_text("\n".join(self.lines) + "\n")


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


# --- the platform's store ---------------------------------------------------


class Store:
    """Objects with one growing revision, with lists and watches."""

    def __init__(self) -> None:
        """Start empty, and serve on a free port."""
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self.log: list[tuple[int, str, bool, dict[str, Any]]] = []
        self.changed = threading.Condition()
        self.on_write: list[Callable[[str, str, dict[str, Any]], None]] = []
        self.server = _Server(("127.0.0.1", 0), _handler(self))
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it answers."""
        return f"127.0.0.1:{self.server.server_address[1]}"

    def put(
        self,
        kind: str,
        name: str,
        part: str,
        value: Any,
        expect: int | None = None,
    ) -> tuple[int, dict[str, Any] | None]:
        """Replace a part of an object; return status and object."""
        with self.changed:
            known = self.objects.get(kind, {}).get(name)
            if known is None:
                return 404, None
            if expect is not None and expect != known["metadata"]["revision"]:
                return 409, known
            if known[part] == value:
                return 200, known
            found = {**known, part: value}
            self._keep(kind, name, found, known["metadata"]["created"])
        for told in self.on_write:
            told(kind, name, found)
        return 200, found

    def create(
        self, kind: str, name: str, spec: Any
    ) -> tuple[int, dict[str, Any]]:
        """Create an object; return status and object."""
        with self.changed:
            known = self.objects.get(kind, {}).get(name)
            if known is not None:
                return 409, known
            found = {"spec": spec, "status": None}
            self._keep(kind, name, found, self.revision + 1)
            return 201, found

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Write an object's spec, whether it is there or not."""
        if self.put(kind, name, "spec", spec)[0] == 404:
            self.create(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.changed:
            found = self.objects.get(kind, {}).pop(name, None)
            if found is not None:
                self.revision += 1
                self.log.append((self.revision, kind, True, found))
                self.changed.notify_all()

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, if it is there."""
        with self.changed:
            return self.objects.get(kind, {}).get(name)

    def find(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        """Answer a list or a watch."""
        if "watch" in query:
            return self._watch(kind, query)
        with self.changed:
            found = self.objects.get(kind, {})
            names = sorted(n for n in found if n > query.get("since_rev", ""))
            items = [found[name] for name in names]
            return 200, {
                "items": items,
                "has_more": False,
                "current_rev": self.revision,
            }

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["watch"])
        wait_s = min(int(query.get("wait_ms", "0")), 30_000) / 1000
        until = time.monotonic() + wait_s
        with self.changed:
            while True:
                events = [
                    {"object": found, "removed": removed}
                    for at, one, removed, found in self.log
                    if at > after and one == kind
                ]
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    answer = {"events": events, "current_rev": self.revision}
                    return 200, answer
                self.changed.wait(left_s)

    def _keep(
        self, kind: str, name: str, found: dict[str, Any], created: int
    ) -> None:
        self.revision += 1
        found["metadata"] = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        self.objects.setdefault(kind, {})[name] = found
        self.log.append((self.revision, kind, False, found))
        self.changed.notify_all()


class _Server(ThreadingHTTPServer):
    request_queue_size = 128

    def handle_error(self, *_: Any) -> None:
        """Pass over callers that left."""


def _handler(store: Store) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *_: Any) -> None:
            """Say nothing."""

        def _parts(self) -> tuple[list[str], dict[str, str]]:
            url = urllib.parse.urlsplit(self.path)
            parts = [urllib.parse.unquote(one) for one in url.path.split("/")]
            return parts[2:], dict(urllib.parse.parse_qsl(url.query))

        def _body(self) -> Any:
            size = int(self.headers.get("Content-Length") or 0)
            return json.loads(self.rfile.read(size) or b"{}")

        def _answer(self, status: int, found: Any) -> None:
            data = json.dumps(found).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def do_GET(self) -> None:
            parts, query = self._parts()
            if len(parts) == 1:
                self._answer(*store.find(parts[0], query))
                return
            found = store.get(parts[0], parts[1])
            self._answer(200 if found else 404, found)

        def do_POST(self) -> None:
            parts, _ = self._parts()
            body = self._body()
            name = body["metadata"]["name"]
            self._answer(*store.create(parts[0], name, body.get("spec")))

        def do_PUT(self) -> None:
            parts, _ = self._parts()
            body = self._body()
            part = "status" if parts[2:] == ["status"] else "spec"
            expect = (body.get("metadata") or {}).get("revision")
            value = body.get(part)
            self._answer(*store.put(parts[0], parts[1], part, value, expect))

        def do_DELETE(self) -> None:
            parts, _ = self._parts()
            store.remove(parts[0], parts[1])
            self._answer(200, None)

    return Handler


# --- workers ----------------------------------------------------------------


@dataclass
class Asked:
    """A request that reached a worker."""

    id: str
    at: float
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Worker:
    """A worker of a service; what it does with a request is the case's."""

    def __init__(
        self,
        site: "Site",
        name: str,
        service: str,
        version: str = "v1",
        slots: int = 8,
    ) -> None:
        """Listen on a free port; `register` puts it into the store."""
        self.site = site
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.arrived: list[Asked] = []
        self.ended = threading.Event()
        # Serves a request on a connection; returns whether it stays open.
        self.serve: Callable[[Worker, socket.socket, Asked], bool] = whole
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = int(self.sock.getsockname()[1])
        self.open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def spec(self) -> dict[str, Any]:
        """Return its entry as it is now, with the next sequence number."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "hall-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
        }

    def beat(self) -> None:
        """Write its entry once; nothing changes where only the count did."""
        spec = self.spec()
        known = self.site.store.get("servers", self.name)
        if known is None or not _same(known["spec"], spec):
            self.site.store.write("servers", self.name, spec)

    def register(self) -> None:
        """Write its entry now and at each heartbeat."""
        self.beat()
        threading.Thread(target=self._beats, daemon=True).start()

    def leave(self) -> None:
        """End: take no connection more, cut those that are open."""
        self.ended.set()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for sock in list(self.open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.site.store.remove("servers", self.name)

    def _beats(self) -> None:
        while not self.ended.wait(HEARTBEAT_S):
            self.beat()

    def _accept(self) -> None:
        while not self.ended.is_set():
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(
                target=self._talk, args=(sock,), daemon=True
            ).start()

    def _talk(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open.add(sock)
        file = sock.makefile("rb")
        with contextlib.suppress(OSError, ValueError):
            while (asked := read_request(file, self.site)) is not None:
                wanted = asked.headers.get("expect-instance", self.name)
                if wanted != self.name:
                    head = [f"Instance-Id: {self.name}"]
                    sock.sendall(answer(421, asked.id, head))
                    continue
                if asked.path == "/health":
                    status = 200 if self.state == "ready" else 503
                    head = [f"Instance-Id: {self.name}"]
                    sock.sendall(answer(status, asked.id, head))
                    continue
                self.arrived.append(asked)
                if not self.serve(self, sock, asked):
                    break
        self.open.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()


def _same(one: dict[str, Any], other: dict[str, Any]) -> bool:
    return {**one, "sequence": 0} == {**other, "sequence": 0}


def read_request(file: Any, site: "Site") -> Asked | None:
    """Read a request of a connection; None at its end."""
    first = file.readline()
    if not first:
        return None
    method, path, _ = first.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := file.readline().strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = file.read(int(headers.get("content-length", 0)))
    call = headers.get("attempt-id", "")
    return Asked(call, site.record.now(), method, path, headers, body)


def answer(status: int, call: str, head: list[str], body: bytes = b"") -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *head, f"Content-Length: {len(body)}"]
    if call:
        lines.append(f"Attempt-Id: {call}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def seal(worker: Worker, asked: Asked) -> str:
    """Return the header that marks an answer as the worker's own."""
    return f"Response-Seal: {worker.name}.{asked.id}"


def whole(worker: Worker, sock: socket.socket, asked: Asked) -> bool:
    """Run a request and answer it."""
    worker.site.ran(worker, asked)
    sock.sendall(answer(200, asked.id, [seal(worker, asked)], b"done\n"))
    return True


# --- routers ----------------------------------------------------------------


class Router:
    """The project's router, as a process."""

    def __init__(self, site: "Site", number: int) -> None:
        """Choose its ports and write its settings."""
        self.site = site
        self.number = number
        self.name = f"front-{number}"
        self.ip = f"127.0.0.{number + 1}"
        self.front, self.ready, self.metrics = (
            free_port(self.ip) for _ in range(3)
        )
        self.settings = site.folder / f"{self.name}.toml"
        self.log = site.folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.write_settings()

    def write_settings(self, session_s: int = 5) -> None:
        """Write the settings file as the platform does."""
        site = self.site
        bounds = {**BOUNDS, "session_s": session_s}
        lines = [
            f'node_name = "{self.name}"',
            'role = "router"',
            'machine_class = "front"',
            'serves = ["front","control"]',
            f'ip = "{self.ip}"',
            'zone = "hall-a"',
            'region = "region-a"',
            f"port_range = [{site.ports},{site.ports + 15}]",
            f'seeds = ["127.0.0.2:{site.control}"]',
            "bootstrap = true",
            "in_tolerance = false",
            'discovery = "platform"',
            'entry = "vip"',
            f"heartbeat_ms = {int(HEARTBEAT_S * 1000)}",
            "[zones]",
            'hall-a = "region-a"',
            "[listen]",
            f'front = "{self.ip}:{self.front}"',
            f'ready = "{self.ip}:{self.ready}"',
            f'control = "{self.ip}:{site.control}"',
            "[limits]",
            "cpu_share = 0.817",
            "cores = 1",
            "memory_mb = 300",
            "max_fds = 4200",
            "link_mbps = 1000.0",
            "disk_mb = 0",
            "[bounds]",
            *(f"{name} = {json.dumps(one)}" for name, one in bounds.items()),
            "[platform]",
            f'address = "{site.store.address}"',
            'form = "objects"',
            "writes_per_s = 400",
            "reads_per_s = 2000",
            "history_s = 20",
            "value_bytes = 1048576",
            "min_ttl_ms = 1000",
        ]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = tomllib.loads(DEPLOY.read_text())["roles"]["router"]
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= {
            "PYTHONPATH": str(PACKAGES),
            "LACEWINGDOCK_CONFIG": str(self.settings),
            "LACEWINGDOCK_METRICS_PORT": str(self.metrics),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        try:
            caller = http.client.HTTPConnection(self.ip, self.ready, timeout=1)
            caller.request("GET", "/ready")
            status = caller.getresponse().status
            caller.close()
        except OSError:
            return False
        return status == 200

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


# --- the whole --------------------------------------------------------------


@dataclass
class Answered:
    """What a client got for a request."""

    id: str
    sent_at: float
    status: int = 0
    ended_at: float = 0.0
    error: str = ""
    sealed_by: str = ""
    retry_after: str = ""


@dataclass
class Ran:
    """A request that a worker began to work on."""

    id: str
    at: float
    worker: Worker = field(repr=False)


class Site:
    """A store, workers and routers."""

    def __init__(self, folder: Path, routers: int) -> None:
        """Start the store; the routers are started by `start`."""
        if not (PACKAGES / "lacewingdock").is_dir():
            raise NotRunnable("target/deps is missing: run the build first")
        self.record = Record(folder / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.store = Store()
        self.ports = _free_range()
        self.control = free_port("127.0.0.2")
        self.workers: list[Worker] = []
        self.runs: list[Ran] = []
        self.answers: list[Answered] = []
        self._lock = threading.Lock()
        self.routers = [Router(self, one) for one in range(1, routers + 1)]

    def worker(self, name: str, service: str, **fields: Any) -> Worker:
        """Start a worker and register it."""
        made = Worker(self, name, service, **fields)
        self.workers.append(made)
        made.register()
        return made

    def ran(self, worker: Worker, asked: Asked) -> None:
        """Note that a worker began to work on a request."""
        with self._lock:
            self.runs.append(Ran(asked.id, self.record.now(), worker))
        self.record.add(f"run       {asked.id} at {worker.name}")

    def start(self) -> None:
        """Start the routers and wait until all are ready."""
        for router in self.routers:
            router.start()
        until = time.monotonic() + 15.0
        while not all(router.is_ready() for router in self.routers):
            if time.monotonic() > until:
                raise NotRunnable("the routers did not become ready")
            time.sleep(0.1)
        self.record.add("routers are ready")

    def send(
        self,
        router: Router,
        call: str,
        path: str,
        *,
        body: bytes = b"{}",
        deadline_s: float = 8.0,
        headers: dict[str, str] | None = None,
    ) -> Answered:
        """Send a request on a new connection and take its answer."""
        found = Answered(call, self.record.now())
        self.record.add(f"sent      {call} to {router.name} {path}")
        caller = http.client.HTTPConnection(
            router.ip, router.front, timeout=deadline_s
        )
        try:
            caller.request(
                "POST",
                path,
                body,
                {
                    "Host": HOST,
                    "Attempt-Id": call,
                    "Deadline-Ms": str(int(deadline_s * 1000)),
                    "Credential": KEY,
                    **(headers or {}),
                },
            )
            got = caller.getresponse()
            got.read()
            found.status = got.status
            found.sealed_by = got.headers.get("Response-Seal", "")
            found.retry_after = got.headers.get("Retry-After", "")
        except (OSError, http.client.HTTPException) as error:
            found.error = type(error).__name__
        finally:
            caller.close()
        found.ended_at = self.record.now()
        with self._lock:
            self.answers.append(found)
        self.record.add(
            f"answered  {call} {found.status} {found.error}"
            f" {found.sealed_by}".rstrip()
        )
        return found

    def close(self) -> None:
        """End all that was started, and write the record."""
        for router in self.routers:
            router.kill()
        for worker in self.workers:
            worker.ended.set()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for router in self.routers:
                target = Path(logs) / router.log.name
                target.write_bytes(router.log.read_bytes())
        self.record.write()
        self.temporary.cleanup()


def _free_range() -> int:
    """Return the first of sixteen ports that are free."""
    while True:
        first = free_port()
        if first + 16 < 65535:
            return first


def configuration(
    version: int, routes: list[dict[str, Any]], **limits: int
) -> dict[str, Any]:
    """Return the operator's configuration."""
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 290,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 8000,
        "goal_ms": 1000,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": False,
        **fields,
    }


def run(
    folder: Path,
    routers: int,
    case: Callable[[Site, bool], list[str]],
) -> int:
    """Run a case; return what the script exits with.

    Args:
        folder: Where the record goes.
        routers: How many routers there are.
        case: Plays the case, with or without the trouble, and returns what
            broke the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        site = Site(folder, routers)
    except (NotRunnable, OSError) as error:
        print(f"could not run: {error}")
        return 2
    try:
        broken = case(site, trouble)
    except (NotRunnable, OSError) as error:
        site.record.add(f"could not run: {error}")
        print(f"could not run: {error}")
        return 2
    finally:
        site.close()
    for line in broken:
        print(f"broken: {line}")
    if not broken:
        print("the rule held")
    return 1 if broken else 0
