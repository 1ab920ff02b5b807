"""Tests of long bodies of requests that arrive at once."""

import contextlib
import itertools
import threading

import pytest

from lacewingdock.helpers.byte_budget import ByteBudget
from lacewingdock.helpers.server_connection import FREE_BODY_BYTES
from lacewingdock.world.route import CallerLimits, Repeat
from tests.components.gateway.fakes import Upstream, answer, request, route
from tests.waiting import wait

BODY = b"x" * 500_000
COUNTED = len(BODY) - FREE_BODY_BYTES
LIMITS = CallerLimits(body_bytes=1_000_000, read_s=0.4, idle_s=1.0)
ONCE = [route(Repeat.ONCE, timeout_s=3.0)]


class Watched(ByteBudget):
    """A budget that records the most bytes that were held.

    Attributes:
        most: Most bytes held at once.
    """

    __slots__ = ("most",)

    def __init__(self, limit):
        super().__init__(limit)
        self.most = 0

    def take_within(self, count, wait_s):
        """Hold more bytes as soon as there is room."""
        taken = super().take_within(count, wait_s)
        self.most = max(self.most, self.held)
        return taken


def hold(release):
    """Return a step that answers once an event is set."""

    def step(sock, call_id, head):
        release.wait(5)
        return answer()(sock, call_id, head)

    return step


def chunked(body):
    """Return a request whose head tells no length."""
    head = request(body=b"").replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


@pytest.fixture
def build(build_harness):
    """Builds a gateway with room for some counted bodies."""

    def make(bodies, *steps):
        upstream = Upstream(*steps)
        harness = build_harness(ONCE, [upstream], limits=LIMITS)
        harness.port.bodies = Watched(int(bodies * COUNTED))
        return harness, upstream

    return make


def test_bodies_that_arrive_at_once_are_held_within_bounds(build):
    """Guards against: a router that ends by its memory, with all requests."""
    harness, upstream = build(3.5)
    ids, statuses = itertools.count(), []

    def call():
        found = harness.call(
            call_id=f"c-{next(ids)}", body=BODY, deadline_ms=4000
        )
        statuses.append(found[0])

    threads = [threading.Thread(target=call) for _ in range(24)]
    for one in threads:
        one.start()
    for one in threads:
        one.join()
    assert statuses == [200] * 24
    assert all(len(body) == len(BODY) for body in upstream.bodies)
    assert 0 < harness.port.bodies.most <= harness.port.bodies.limit
    wait(lambda: not harness.port.bodies.held)


@pytest.mark.parametrize(
    "later", [request(call_id="c-2", body=BODY), chunked(BODY)]
)
def test_body_without_room_is_refused_as_not_run(build, later):
    """Guards against: a caller that waits until its deadline for nothing."""
    release = threading.Event()
    harness, upstream = build(1.5, hold(release))
    first = harness.connect()
    first.sendall(request(body=BODY, deadline_ms=4000))
    wait(lambda: upstream.requests)
    second = harness.connect()
    # The caller goes on sending while the answer is due.
    threading.Thread(target=_send, args=(second, later), daemon=True).start()
    head = second.recv(4096)
    assert head.startswith(b"HTTP/1.1 429 ")
    assert b"\r\nretry-after: " in head.lower()
    assert len(upstream.requests) == 1
    release.set()
    wait(lambda: not harness.port.bodies.held)


def _send(sock, data):
    with contextlib.suppress(OSError):
        sock.sendall(data)


def test_short_bodies_need_no_room(build):
    """Guards against: short requests that wait behind long ones."""
    release = threading.Event()
    harness, upstream = build(1.0, hold(release))
    first = harness.connect()
    first.sendall(request(body=BODY, deadline_ms=4000))
    wait(lambda: upstream.requests)
    short = b"x" * FREE_BODY_BYTES
    assert harness.call(call_id="c-2", body=short, deadline_ms=3000)[0] == 200
    release.set()


def test_body_longer_than_all_room_is_read_alone(build):
    harness, _ = build(0.5)
    assert harness.call(body=BODY, deadline_ms=3000)[0] == 200
    wait(lambda: not harness.port.bodies.held)


def test_room_of_a_caller_that_left_is_free_again(build):
    """Guards against: room that nobody gives back."""
    harness, _ = build(1.0)
    for _ in range(3):
        sock = harness.connect()
        sock.sendall(request(body=BODY)[:200_000])
        wait(lambda: harness.port.bodies.held)
        sock.close()
        wait(lambda: not harness.port.bodies.held)
    assert harness.call(body=BODY, deadline_ms=3000)[0] == 200
