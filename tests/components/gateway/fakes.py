"""Scripted fake upstream instances, and a gateway in front of them."""

import contextlib
import random
import socket
import struct
import threading
from concurrent.futures import ThreadPoolExecutor

from lacewingdock.components.admission.fleet_budget import RetryTerms
from lacewingdock.components.gateway import CallersPort
from lacewingdock.components.gateway.gateway import Gateway
from lacewingdock.components.gateway.metrics import GatewayMetrics
from lacewingdock.components.pacing import Pacer
from lacewingdock.components.poison_requests import PoisonRequests
from lacewingdock.components.poison_requests.address_check import check_address
from lacewingdock.components.routes import Routes
from lacewingdock.components.traffic_shifting import Shifts
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.world.backend import UpstreamEntry
from lacewingdock.world.host import Bounds, HostProfile
from lacewingdock.world.route import (
    Caller,
    CallerLimits,
    Repeat,
    Route,
    RoutingTable,
    Target,
)
from tests.components.poison_requests.claims import Claims

KEY = "key-1"
LINGER_NONE = struct.pack("ii", 1, 0)


def ok(call_id, body=b"done", extra=b"", status=b"200 OK"):
    """Return a complete answer with a response seal."""
    return (
        b"HTTP/1.1 "
        + status
        + b"\r\nAttempt-Id: "
        + call_id
        + b"\r\nResponse-Seal: s\r\n"
        + extra
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body
    )


def refusal(call_id):
    """Return an answer which states that the request was not run."""
    return ok(call_id, b"full", b"Not-Executed: 1\r\n", b"503 Busy")


CHUNKED = b"Transfer-Encoding: chunked\r\n"


def stream_head(call_id, extra=b"", framing=CHUNKED):
    """Return a stream's head; without framing the stream ends by a close."""
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: "
        + call_id
        + b"\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
        + extra
        + framing
        + b"\r\n"
    )


def event(number):
    """Return a server-sent event as an HTTP chunk."""
    data = b"id: %d\ndata: e%d\n\n" % (number, number)
    return b"%x\r\n%s\r\n" % (len(data), data)


END = b"0\r\n\r\n"


class Upstream:
    """An upstream instance that answers requests by a script.

    Each step is a function of the socket, the request's id and the request's
    head; a step that returns False ends the connection. Without a step left,
    requests are answered with 200.

    Attributes:
        steps: Steps for the next requests.
        requests: Heads of all requests received, as text.
        bodies: Bodies of these requests.
        connections: Number of connections accepted.
        named: Instance id in answers to health checks; empty for none.
        healthy: Whether health checks are answered with 200, not 503.
        sock: Listening socket.
        port: Port of the listening socket.
        open: Sockets of all connections accepted.
    """

    def __init__(self, *steps):
        self.steps = list(steps)
        self.requests = []
        self.bodies = []
        self.connections = 0
        self.named = b""
        self.healthy = True
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        self.open = []
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, name="i-1", service="svc", **changes):
        """Return the directory entry of the instance."""
        fields = {
            "id": name,
            "service": service,
            "host": "127.0.0.1",
            "port": self.port,
            "failure_domain": "d1",
            "version": "v1",
            "slots": 4,
            **changes,
        }
        return UpstreamEntry(**fields)

    def close(self):
        """Stop listening and end all connections."""
        with contextlib.suppress(OSError):
            # Closing alone lets a thread in `accept` return once more.
            self.sock.shutdown(socket.SHUT_RDWR)
        for one in [self.sock, *self.open]:
            with contextlib.suppress(OSError):
                one.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.connections += 1
            self.open.append(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError):
            while (found := self._read(sock)) is not None:
                call_id, head = found
                if not call_id:
                    # Health checks do not use up a step of the script.
                    own_id = b"Instance-Id: " + self.named + b"\r\n"
                    extra = own_id if self.named else b""
                    status = b"200 OK" if self.healthy else b"503 Leaving"
                    sock.sendall(ok(b"", b"well", extra, status))
                    continue
                step = self.steps.pop(0) if self.steps else answer()
                if step(sock, call_id, head) is False:
                    break
        sock.close()

    def _read(self, sock):
        found = read_request(sock)
        if found is None:
            return None
        head, headers, body = found
        call_id = headers.get(b"attempt-id", b"")
        if call_id:
            self.requests.append(head.decode())
            self.bodies.append(body)
        return call_id, head


def read_request(sock):
    """Return head, headers by lower-case name, and body; None at a close."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return None
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    headers = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
    )
    length = int(headers.get(b"content-length", 0))
    while len(body) < length:
        more = sock.recv(65536)
        if not more:
            return None
        body += more
    return head, headers, body


def answer(body=b"done", extra=b"", status=b"200 OK"):
    """Return a step that sends a complete answer."""
    return lambda sock, call_id, _: sock.sendall(
        ok(call_id, body, extra, status)
    )


def refuse():
    """Return a step that refuses the request as not run."""
    return lambda sock, call_id, _: sock.sendall(refusal(call_id))


def send(*parts, then="close"):
    """Return a step that sends parts of an answer and then ends.

    Args:
        *parts: Bytes, or functions of the request's id.
        then: How the step ends: "close", "reset", "silent" or "keep".
    """

    def step(sock, call_id, _):
        for part in parts:
            sock.sendall(part(call_id) if callable(part) else part)
        if then == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        if then == "silent":
            threading.Event().wait(2)
        return then == "keep"

    return step


def route(repeat=Repeat.IDEMPOTENT, **changes):
    """Return a route to the service `svc`."""
    fields = {
        "name": "r",
        "host": "h.example",
        "prefix": "/r/",
        "targets": (Target("svc"),),
        "repeat": repeat,
        "timeout_s": 2.0,
        "goal_s": 0.2,
        "max_attempts": 3,
        **changes,
    }
    return Route(**fields)


class GatewayHarness:
    """A gateway in front of fake upstreams, with a client for requests.

    Attributes:
        host: The router's host profile.
        directory: The upstream instances.
        routes: Holds the routing table.
        published: Losses that were published to the other routers.
        shifts: Roll-outs under way.
        suspects: Requests that may be poison requests.
        gateway: The gateway.
        leaving: Set once the router is to stop.
        port: The gateway's callers' port.
        stopping: Set to stop the listener.
        pool: Threads for the listener and for callers of a test.
    """

    def __init__(self, routes, upstreams, limits=None, version=1):
        self.host = HostProfile(
            instance="router-1",
            failure_domain="d1",
            address="127.0.0.1",
            callers_address=("127.0.0.1", 0),
            ready_address=("127.0.0.1", 0),
            peer_address=("127.0.0.1", 0),
            platform="http://127.0.0.1:1",
        )
        self.directory = Directory()
        for index, upstream in enumerate(upstreams):
            self.directory.apply(upstream.entry(f"i-{index + 1}"))
        self.routes = Routes()
        self.routes.table = RoutingTable(
            version,
            routes,
            {KEY: Caller("w-1")},
            limits or CallerLimits(idle_s=1.0),
        )
        self.routes.loaded.set()
        source = random.Random(7)
        self.published = []
        self.shifts = Shifts(self.host, "inc", None, self.directory, lambda: 1)
        self.suspects = PoisonRequests(
            self.directory,
            self._publish,
            Claims().claim,
            self._reach,
            source,
        )
        chooser = Chooser(self.directory, "d1", source)
        chooser.pacer = Pacer(
            "router-1", tuple, lambda: True, self.routes.limits, Bounds, 0.0
        )
        self.gateway = Gateway(
            self.routes,
            chooser,
            self.shifts,
            self.suspects,
            GatewayMetrics(),
            RetryTerms(0.5, 20.0, 10.0),
            source,
        )
        self.leaving = threading.Event()
        self.port = CallersPort(
            self.gateway, ("127.0.0.1", 0), 400, self.leaving
        )
        self.stopping = threading.Event()
        self.pool = ThreadPoolExecutor(4)
        self.pool.submit(self.port.listener.run, self.stopping)

    def _reach(self, instance):
        return check_address(instance.entry, "/health")

    def _publish(self, report):
        self.published.append(report.losses)
        return True

    def close(self):
        """Stop the listener and its threads."""
        self.stopping.set()
        self.port.listener.close()
        self.pool.shutdown(wait=False)

    def connect(self):
        """Return a socket connected to the callers' port."""
        sock = socket.create_connection(self.port.listener.address, 5)
        sock.settimeout(5)
        return sock

    def call(self, sock=None, **fields):
        """Make a request, and return status, headers and body."""
        sock = sock or self.connect()
        sock.sendall(request(**fields))
        return read_answer(sock)


def request(
    call_id="c-1",
    method="POST",
    path="/r/x?q=1",
    body=b"hello",
    host="h.example",
    key=KEY,
    deadline_ms=1500,
    extra="",
):
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Attempt-Id: {call_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Credential: {key}",
        f"Content-Length: {len(body)}",
    ]
    head = "\r\n".join(lines) + "\r\n" + extra + "\r\n"
    return head.encode() + body


def read_answer(sock):
    """Read a complete answer; a body that ends early raises `EOFError`."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += _more(sock)
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {
        name.lower(): value
        for name, value in (line.split(": ", 1) for line in lines[1:])
    }
    status = int(lines[0].split()[1])
    if "content-length" in headers:
        while len(rest) < int(headers["content-length"]):
            rest += _more(sock)
        return status, headers, rest
    body = b""
    while True:
        while b"\r\n" not in rest:
            rest += _more(sock)
        size, _, rest = rest.partition(b"\r\n")
        while len(rest) < int(size, 16) + 2:
            rest += _more(sock)
        if not int(size, 16):
            return status, headers, body
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]


def _more(sock):
    data = sock.recv(65536)
    if not data:
        raise EOFError
    return data
