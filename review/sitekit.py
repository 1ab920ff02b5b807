"""Stand-ins and process helpers for the scripts of review/4 to review/6.

Only Python's own library is used. Every address is a loopback address; each
router has one of its own (127.0.0.11, 127.0.0.12, ...), as on the platform.
"""

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "h.example"
KEY = "key-1"
TENANT = "tenant-1"

# Bounds of kit/more/system/sites/carpato-slots.toml.
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "config_apply_ms": 2000}

# A settings file of the form that DEPLOY.md describes, with the other bounds
# of the same site file.
SETTINGS = """
node_name = "{name}"
role = "router"
machine_class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "r-1"
port_range = [{first}, {last}]
seeds = [{seeds}]
bootstrap = true
heartbeat_ms = 1200
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
max_fds = 4200
[bounds]
contact_ms = {contact_ms}
drain_ms = {drain_ms}
grace_s = 8
config_apply_ms = {config_apply_ms}
downgrade_slack_ms = 250
revoke_ms = 5000
retry_budget_ratio = 0.9
budget_window_s = 10
retry_budget_extra = 52
exposure_share = 0.15
exposure_tolerance = 30
rollback_ms = 5000
recovery_s = 12
session_s = 5
[platform]
address = "127.0.0.1:{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"""


class Record:
    """The record of a script: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        """Open record.txt in the script's folder."""
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self.start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self.start

    def add(self, what: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        with self._lock:
            self._file.write(f"{self.now():9.3f} {what} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 65536
    disable_nagle_algorithm = True

    def log_message(self, *_: Any) -> None:
        """Log nothing."""

    def read_body(self) -> bytes:
        """Return the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Send a whole answer with a length."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def __init__(self, *arguments: Any) -> None:
        """Start without connections."""
        self.socks: list[socket.socket] = []
        super().__init__(*arguments)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Remember a connection, and serve it."""
        self.socks.append(request)
        super().process_request(request, client_address)

    def handle_error(self, *_: Any) -> None:
        """Ignore connections that the other side closed."""


def serve(handler: type[_Handler], ip: str = "127.0.0.1") -> _Server:
    """Start a server on a free port."""
    server = _Server((ip, 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's store: objects, one revision, conditions and watches."""

    def __init__(self) -> None:
        """Start an empty store on a free port."""
        self.changed = threading.Condition()
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.log: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 1
        self.on_status: Callable[[str, str, Any], None] = lambda *_: None
        store = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                store.get(self)

            def do_POST(self) -> None:
                store.put(self)

            def do_PUT(self) -> None:
                store.put(self)

            def do_DELETE(self) -> None:
                store.delete(self)

        self.server = serve(Handler)
        self.port = self.server.server_address[1]

    def write(self, kind: str, name: str, spec: Any) -> float:
        """Write an object as the operator or a server; return the time."""
        with self.changed:
            known = self.objects.get((kind, name))
            status = known["status"] if known else None
            self._store(kind, name, spec, status)
            return time.monotonic()

    def write_entry(self, name: str, spec: dict[str, Any]) -> float:
        """Write a server's entry; return the time.

        "The entry changes when more than `sequence` changes."
        """
        with self.changed:
            known = self.objects.get(("servers", name))
            before = known["spec"] if known else {}
            if {**before, "sequence": spec["sequence"]} != spec:
                self._store("servers", name, spec, None)
            return time.monotonic()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.changed:
            known = self.objects.pop((kind, name), None)
            if known is not None:
                self._log(kind, known, removed=True)

    def _store(
        self, kind: str, name: str, spec: Any, status: Any
    ) -> dict[str, Any]:
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec and known["status"] == status:
            return known
        made = known["metadata"]["created"] if known else self.revision + 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision + 1,
                "created": made,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects[kind, name] = stored
        self._log(kind, stored, removed=False)
        return stored

    def _log(self, kind: str, stored: dict[str, Any], *, removed: bool) -> None:
        self.revision += 1
        self.log.append((self.revision, kind, stored, removed))
        self.changed.notify_all()

    def get(self, call: _Handler) -> None:
        """Answer a read, a list or a watch."""
        parts, query = _split(call.path)
        if len(parts) > 1:
            with self.changed:
                found = self.objects.get((parts[0], parts[1]))
            _json(call, 200 if found else 404, found or {})
        elif "watch" in query:
            self._watch(call, parts[0], query)
        else:
            with self.changed:
                items = [
                    one for (k, _), one in self.objects.items() if k == parts[0]
                ]
                revision = self.revision
            _json(
                call,
                200,
                {"items": items, "has_more": False, "current_rev": revision},
            )

    def _watch(self, call: _Handler, kind: str, query: dict[str, str]) -> None:
        after = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        with self.changed:
            while True:
                events = [
                    {"object": one, "removed": removed}
                    for revision, k, one, removed in self.log
                    if revision > after and k == kind
                ]
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    break
                self.changed.wait(left_s)
            revision = self.revision
        _json(call, 200, {"events": events, "current_rev": revision})

    def put(self, call: _Handler) -> None:
        """Create an object, or replace its spec or its status."""
        parts, _ = _split(call.path)
        body = json.loads(call.read_body())
        is_status = len(parts) == 3
        name = parts[1] if len(parts) > 1 else body["metadata"]["name"]
        expect = body["metadata"].get("revision")
        told = None
        with self.changed:
            known = self.objects.get((parts[0], name))
            if len(parts) == 1:
                conflict = known is not None
            elif known is None:
                _json(call, 404, {})
                return
            else:
                revision = known["metadata"]["revision"]
                conflict = expect not in (None, revision)
            if conflict:
                _json(call, 409, known)
                return
            if is_status:
                spec, status = known["spec"], body["status"]
                told = status
            else:
                spec = body["spec"]
                status = known["status"] if known else None
            stored = self._store(parts[0], name, spec, status)
        if told is not None:
            self.on_status(parts[0], name, told)
        _json(call, 200, stored)

    def delete(self, call: _Handler) -> None:
        """Remove an object if its revision is the expected one."""
        parts, query = _split(call.path)
        with self.changed:
            known = self.objects.get((parts[0], parts[1]))
            if known is None:
                _json(call, 404, {})
                return
            expect = query.get("revision")
            if expect and int(expect) != known["metadata"]["revision"]:
                _json(call, 409, known)
                return
            del self.objects[parts[0], parts[1]]
            self._log(parts[0], known, removed=True)
        _json(call, 200, known)


def _split(target: str) -> tuple[list[str], dict[str, str]]:
    path, _, query = target.partition("?")
    parts = [urllib.parse.unquote(one) for one in path.split("/")[2:]]
    return parts, dict(urllib.parse.parse_qsl(query))


def _json(call: _Handler, status: int, body: Any) -> None:
    call.reply(
        status,
        json.dumps(body).encode(),
        {"Content-Type": "application/json"},
    )


class Worker:
    """One start of a worker; it registers itself in the store."""

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        version: str,
        zone: str,
        *,
        work_s: float,
        bad_share: float = 0.0,
    ) -> None:
        """Start the worker.

        Args:
            store: The platform's store.
            record: The script's record.
            service: Name of the service.
            version: Version of its software.
            zone: Its zone.
            work_s: Mean seconds that a request takes.
            bad_share: Share of its requests that fail with status 500.
        """
        self.store = store
        self.record = record
        self.service = service
        self.version = version
        self.zone = zone
        self.work_s = work_s
        self.bad_share = bad_share
        self.state = "ready"
        self.sequence = 0
        self.ended = False
        self.id = f"i-{random.randrange(16**10):010x}"
        # Time, attempt id and session of each run.
        self.runs: list[tuple[float, str, str]] = []
        self._slots = threading.Semaphore(6)
        worker = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                worker.answer(self)

            def do_POST(self) -> None:
                worker.answer(self)

        self.server = serve(Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        self.register()

    def entry(self) -> dict[str, Any]:
        """Return the worker's next entry, with a sequence one higher."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 6,
            "state": self.state,
            "sequence": self.sequence,
            "cold_left_ms": 0,
        }

    def register(self) -> float:
        """Write the worker's entry; return the time."""
        return self.store.write_entry(self.id, self.entry())

    def drain(self) -> float:
        """Report that the worker is draining; it goes on serving."""
        self.state = "draining"
        return self.register()

    def leave(self) -> None:
        """End the worker, with what runs there, and remove its entry."""
        self.ended = True
        self.server.socket.close()
        for sock in self.server.socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.store.remove("servers", self.id)

    def answer(self, call: _Handler) -> None:
        """Answer a request or a health check."""
        call.read_body()
        if self.ended:
            call.close_connection = True
            return
        headers = {"Instance-Id": self.id}
        attempt = call.headers.get("Attempt-Id", "")
        if attempt:
            headers["Attempt-Id"] = attempt
        if call.headers.get("Expect-Instance", self.id) != self.id:
            headers["Not-Executed"] = "1"
            call.reply(421, b"", headers)
            return
        if call.path == "/health":
            call.reply(200 if self.state == "ready" else 503, b"", headers)
            return
        if not attempt:
            headers["Not-Executed"] = "1"
            call.reply(400, b"", headers)
            return
        with self._slots:
            session = call.headers.get("Session", "")
            self.runs.append((time.monotonic(), attempt, session))
            self.record.add(
                "run",
                attempt=attempt,
                session=session,
                worker=self.id,
                version=self.version,
            )
            time.sleep(self.work_s * random.uniform(0.6, 1.4))
            status = 500 if random.random() < self.bad_share else 200
        if self.ended:
            call.close_connection = True
            return
        headers["Response-Seal"] = f"{attempt}.{self.id}"
        call.reply(status, b"x" * 200, headers)


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(
        self,
        number: int,
        store: Store,
        ports: dict[str, int],
        zone: str,
        store_port: int = 0,
        bounds: dict[str, int] = BOUNDS,
    ) -> None:
        """Write the settings file; `start` starts the process.

        Args:
            number: Number of the machine, from 1.
            store: The platform's store.
            ports: Ports as of `free_ports`.
            zone: Zone of the machine.
            store_port: Port of a proxy before the store; 0 for none.
            bounds: Bounds in the settings file, as in `BOUNDS`.
        """
        self.name = f"front-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.front = (self.ip, ports["front"])
        self.ready = (self.ip, ports["ready"])
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.path = self.folder / "boot.toml"
        seeds = ", ".join(
            f'"127.0.0.{10 + n}:{ports["control"]}"' for n in (1, 2, 3)
        )
        self.path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=zone,
                seeds=seeds,
                store=store_port or store.port,
                **ports,
                **bounds,
            )
        )
        role = _deploy_file()["roles"]["router"]
        self.command = role["run"].split()
        self.environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LACEWINGDOCK_CONFIG": str(self.path),
            **role.get("env", {}),
            # The deploy file's port may be taken here.
            "LACEWINGDOCK_METRICS_PORT": str(ports["metrics"]),
        }
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its log goes into the settings' folder."""
        with (self.folder / "log").open("ab") as log:
            self.popen = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=self.environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        try:
            connection = http.client.HTTPConnection(*self.ready, timeout=1)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def kill(self) -> None:
        """End the process, if it still runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait()


def _deploy_file() -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def free_ports() -> dict[str, int]:
    """Return ports that are free now: the same at all routers.

    Raises:
        OSError: No free ports were found.
    """
    for _ in range(50):
        first = random.randrange(20000, 30000)
        ports = {
            "front": first,
            "ready": first + 1,
            "control": first + 2,
            "first": first + 3,
            "last": first + 18,
            "metrics": first + 19,
        }
        try:
            for number in range(first, first + 20):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind(("0.0.0.0", number))
        except OSError:
            continue
        return ports
    raise OSError("no free ports")


def wait(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait for a condition; exit with 2 if it does not come about."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            print(f"could not run: {what}", file=sys.stderr)
            raise SystemExit(2)
        time.sleep(0.05)


class Client:
    """A client with a kept connection to one router."""

    def __init__(self, router: Router) -> None:
        """Create the client; it connects with its first request."""
        self.router = router
        self.connection: http.client.HTTPConnection | None = None

    def send(
        self,
        path: str,
        attempt: str,
        body: bytes = b"{}",
        session: str = "",
        deadline_ms: int = 5000,
    ) -> int:
        """Send a request; return the status, or 0 without a whole answer."""
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(deadline_ms),
            "Credential": KEY,
        }
        if session:
            headers["Session"] = session
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(
                    *self.router.front, timeout=deadline_ms / 1000
                )
            self.connection.request("POST", path, body, headers)
            answer = self.connection.getresponse()
            answer.read()
            if answer.will_close:
                self.close()
            return answer.status
        except (OSError, http.client.HTTPException):
            self.close()
            return 0

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration, at the path /NAME/."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "goal_ms": 1000,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        **fields,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": one, "max_conns": 96, "health_path": "/health"}
            for one in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }
