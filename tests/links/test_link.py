"""Tests for one link whose peer is slow or gone."""

import socket
import threading
import time

import pytest

from lacewingdock.const import SILENCE_IDLE_S, SILENCE_S
from lacewingdock.links import link as link_module
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Beat, Chunk, Hello

PEER = Hello("worker-0", "w", "sidecar", "hall-a", b"")


@pytest.fixture
def ends():
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
    threads = []

    def spawn(function):
        threads.append(threading.Thread(target=function))
        threads[-1].start()

    links = Link(near, PEER), Link(far, PEER)
    links[0].spawn = spawn
    yield links
    for link in links:
        link.dispose()
    for thread in threads:
        thread.join()


def fill(link):
    """Send until the socket takes no more and much waits."""
    count = 0
    while link.backlog_bytes < 1_000_000:
        assert link.send(Chunk("a", count, b"x" * 10_000))
        count += 1
    return count


def test_send_to_a_stuck_peer_returns_at_once(ends):
    """Symptom: healthy answers stall and healthy links are given up.

    Sequence: one peer stops reading; whoever sends to it blocks, be it the
    task that reads an upstream or the one that reads another peer. Cause: a
    blocking send, under a lock that others need.
    """
    near, far = ends
    count = fill(near)
    # Whether a send blocks shows in that nobody reads and it returns.
    assert near.send(Chunk("a", count, b"last"))
    frames = far.receive()
    got = [next(frames).offset for _ in range(count + 1)]
    assert got == list(range(count + 1))


def test_backlog_is_bounded(ends, monkeypatch):
    """Symptom: memory grows while a peer is frozen.

    Sequence: the peer reads nothing, answers go on. Cause: a backlog without
    a bound.
    """
    monkeypatch.setattr(link_module, "MAX_BACKLOG_BYTES", 1_100_000)
    near, _ = ends
    fill(near)
    sent = [near.send(Chunk("a", 0, b"x" * 10_000)) for _ in range(20)]
    assert not sent[-1]
    assert near.closed


def test_bulk_waits_for_room(ends):
    near, far = ends
    count = fill(near)
    for index in range(count, count + 80):
        near.send(Chunk("a", index, b"x" * 10_000))
    frames = far.receive()
    reader = threading.Thread(
        target=lambda: [next(frames) for _ in range(count + 80)]
    )
    reader.start()
    assert near.wait_room()
    reader.join()


@pytest.mark.parametrize(
    ("heard_ago_s", "busy", "silent"),
    [(6.0, False, False), (20.0, False, True), (6.0, True, False)],
)
def test_first_request_after_a_pause_keeps_the_link(
    ends, heard_ago_s, busy, silent
):
    """Symptom: first requests after a pause lose their link.

    Sequence: an idle link, last heard of six seconds ago, gets a request.
    Cause: the strict limit of busy links was held against the idle time.
    """
    link, _ = ends
    now = time.monotonic()
    link.last_heard = now - heard_ago_s
    if busy:
        link.begin()
    limit = SILENCE_S if busy else SILENCE_IDLE_S
    assert (link.silent_s(now) > limit) == silent


def test_end_lets_the_peer_read_all(ends):
    """Symptom: the end of an answer is lost when a sidecar stops.

    Sequence: the sidecar closes a socket in which beats wait unread; the
    reset overtakes the answer. Cause: close instead of an orderly shutdown.
    """
    near, far = ends
    count = fill(near)
    far.send(Beat())
    stop = threading.Thread(target=near.end)
    stop.start()
    # Time for an end that does not wait to show itself; one that does is
    # released by the reading below.
    stop.join(0.2)
    assert [frame.offset for frame in far.receive()] == list(range(count))
    assert far.reason == "peer closed"
    stop.join()
