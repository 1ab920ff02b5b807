"""Tests of bytes that are no answer and come without end."""

import contextlib
import itertools
import json
import threading
import time

import pytest

from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import (
    CHUNKED,
    END,
    Upstream,
    answer,
    event,
    read_answer,
    request,
    route,
    send,
    stream_head,
)
from tests.waiting import wait

BLOCK = b"x" * 65536
# Most bytes that a router takes of one faulty answer: the longest body, and
# what the buffers of the sockets hold.
MAX_TAKEN = 24 * 1024 * 1024
DEADLINE_S = 4.0
WHOLE = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n"
ENGINES = 20


def flood(build, block=BLOCK, pause_s=0.0):
    """Return a step that sends a block again and again, and its counter.

    Args:
        build: Returns what is sent first, by the request's id.
        block: The block.
        pause_s: Seconds between two blocks.
    """
    taken = [0]

    def step(sock, call_id, _):
        with contextlib.suppress(OSError):
            sock.sendall(build(call_id))
            while True:
                sock.sendall(block)
                taken[0] += len(block)
                time.sleep(pause_s)
        taken.append("closed")
        return False

    return step, taken


def whole(extra=b""):
    return lambda call_id: WHOLE % call_id + extra + b"\r\n"


FLOODS = {
    "head": (lambda _: b"HTTP/1.1 200 OK\r\nX: ", BLOCK, 0.0),
    "no http": (lambda _: b"", BLOCK, 0.0),
    "heads that tell nothing": (
        lambda _: b"",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 100,
        0.0,
    ),
    "answers to nobody": (
        lambda _: b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" * 100,
        0.0,
    ),
    "chunk size": (lambda i: whole(CHUNKED)(i) + b"0" * 9, b"0" * 65536, 0.0),
    "trailers": (
        lambda i: whole(CHUNKED)(i) + b"2\r\nok\r\n0\r\n",
        b"X: y\r\n" * 1000,
        0.0,
    ),
    "slow head": (lambda _: b"HTTP/1.1 200 OK\r\nX: ", b"x", 0.05),
}
WHOLE_FLOODS = FLOODS | {
    "body without length": (whole(), BLOCK, 0.0),
    "tiny chunks": (whole(CHUNKED), b"1\r\nx\r\n" * 1000, 0.0),
}
STREAM_FLOODS = FLOODS | {
    "event": (
        lambda i: stream_head(i) + event(1),
        b"10000\r\n" + BLOCK + b"\r\n",
        0.0,
    ),
    "first event": (stream_head, b"10000\r\n" + BLOCK + b"\r\n", 0.0),
    "event of a stream without length": (
        lambda i: stream_head(i, b"", b"") + b"id: 1\ndata: e1\n\ndata: ",
        BLOCK,
        0.0,
    ),
    "comments": (
        lambda i: stream_head(i) + event(1),
        b"2\r\n:\n\r\n" * 1000,
        0.0,
    ),
    "blocks of comments": (
        lambda i: stream_head(i) + event(1),
        b"3\r\n:\n\n\r\n" * 1000,
        0.0,
    ),
    "comments before an event": (stream_head, b"3\r\n:\n\n\r\n" * 1000, 0.0),
    "slow blocks of comments": (
        lambda i: stream_head(i) + event(1),
        b"3\r\n:\n\n\r\n",
        0.05,
    ),
    "slow event": (
        lambda i: stream_head(i) + event(1),
        b"1\r\nx\r\n",
        0.05,
    ),
}


def add_far(harness, upstream):
    """Add an instance that is asked only where a near one fails."""
    harness.directory.apply(upstream.entry("i-2", failure_domain="d2"))
    harness.directory.instances["i-2"].running += 50


def check_taken(taken):
    """Check that the flood was ended by the router, and soon."""
    wait(lambda: taken[-1] == "closed")
    assert taken[0] < MAX_TAKEN


@pytest.mark.parametrize("name", WHOLE_FLOODS)
def test_second_instance_answers_after_an_endless_answer(build_harness, name):
    """Guards against an engine whose bytes never end and never answer."""
    step, taken = flood(*WHOLE_FLOODS[name])
    bad, good = Upstream(step), Upstream()
    harness = build_harness([route(timeout_s=DEADLINE_S)], [bad])
    add_far(harness, good)
    start = time.monotonic()
    status, _, body = harness.call(deadline_ms=4000)
    assert (status, body) == (200, b"done")
    assert time.monotonic() - start < DEADLINE_S
    assert bad.requests
    check_taken(taken)
    assert harness.directory.instances["i-1"].failures > 0


@pytest.mark.parametrize("name", WHOLE_FLOODS)
def test_booking_runs_once_beside_an_endless_answer(build_harness, name):
    """Guards against a second run of a booking, or an answer that hangs."""
    step, taken = flood(*WHOLE_FLOODS[name])
    bad = Upstream(step)
    once = route(Repeat.ONCE, timeout_s=1.5)
    harness = build_harness([once], [bad])
    start = time.monotonic()
    status, _, body = harness.call()
    assert status in (502, 504)
    assert json.loads(body)["code"] in ("upstream_failed", "deadline")
    assert time.monotonic() - start < 2.0
    check_taken(taken)
    assert len(bad.requests) == 1


@pytest.mark.parametrize("name", STREAM_FLOODS)
def test_stream_goes_on_after_an_endless_answer(build_harness, name):
    """Guards against a stream that waits for an event that never ends."""
    step, taken = flood(*STREAM_FLOODS[name])
    bad = Upstream(step)
    good = Upstream(send(stream_head, event(2), END, then="keep"))
    stream = route(
        Repeat.RESUMABLE, streaming=True, timeout_s=6.0, gap_s=0.2, goal_s=0.3
    )
    harness = build_harness([stream], [bad])
    add_far(harness, good)
    sock = harness.connect()
    sock.settimeout(8)
    start = time.monotonic()
    sock.sendall(request(deadline_ms=6000))
    status, _, body = read_answer(sock)
    assert status == 200
    assert body.endswith(b"id: 2\ndata: e2\n\n")
    assert time.monotonic() - start < 4.0
    assert bad.requests
    check_taken(taken)


def test_endless_bodies_of_many_engines_are_held_in_bounds(build_harness):
    """Guards against a router that ends by its memory beside such engines."""
    floods = [flood(whole()) for _ in range(ENGINES)]
    engines = [Upstream(step) for step, _ in floods]
    once = route(Repeat.ONCE, timeout_s=5.0)
    harness = build_harness([once], engines)
    ids = itertools.count()

    def call():
        harness.call(call_id=f"c-{next(ids)}", deadline_ms=4000)

    threads = [threading.Thread(target=call) for _ in range(ENGINES)]
    for one in threads:
        one.start()
    for one in threads:
        one.join()
    wait(lambda: all(t[-1] == "closed" for _, t in floods if t[0]))
    # The sockets' buffers of each connection may hold a few megabytes besides.
    assert sum(taken[0] for _, taken in floods) < 4 * MAX_TAKEN


def test_answer_of_many_tiny_chunks_is_passed_on(build_harness):
    chunks = b"1\r\nx\r\n" * 2000 + b"0\r\n\r\n"
    upstream = Upstream(
        send(lambda i: whole(CHUNKED)(i) + chunks, then="keep"), answer()
    )
    harness = build_harness([route()], [upstream])
    assert harness.call()[2] == b"x" * 2000
