"""Tests for one link whose peer is slow or gone."""

import socket
import threading
import time

import pytest

from lacewingdock.const import SILENCE_IDLE_S, SILENCE_S
from lacewingdock.helpers.clock import since_boot
from lacewingdock.links import link as link_module
from lacewingdock.links.link import LAPSE_S, Link
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
    assert near.wait_for_room()
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
    link.last_received = now - heard_ago_s
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


@pytest.mark.parametrize(
    ("busy", "spoken", "closed", "lapsed"),
    [
        (True, False, False, True),
        (True, True, False, True),
        (True, False, True, True),
        # Nothing is owed over an idle link.
        (False, False, False, False),
        (False, True, True, False),
    ],
)
def test_pause_of_one_that_owes_answers_is_told(
    ends, monkeypatch, busy, spoken, closed, lapsed
):
    """What was given up during a pause is begun after it.

    Symptom: a request runs at two upstreams at once.
    Events: a sidecar is paused; its entry gives the link up and sends the
    request elsewhere; the sidecar goes on as if no time had passed.
    Cause: it does not notice its own pause, whichever of its tasks runs first.
    """
    link, _ = ends
    now = [since_boot()]
    monkeypatch.setattr(link_module, "since_boot", lambda: now[0])
    if busy:
        link.begin()
    link.send(Beat())
    began = now[0]
    assert not link.lapsed_since(began)
    now[0] += LAPSE_S + 0.1
    if spoken:
        link.send(Beat())
    if closed:
        link.close("peer closed")
    assert link.lapsed_since(began) is lapsed
    if closed:
        now[0] += 60.0
        assert not link.lapsed_since(now[0])


def test_close_shows_while_frames_before_it_wait(ends):
    """Frames of a link that its peer gave up are taken as if it waited.

    Symptom: attempts begin whose entry has gone elsewhere.
    Events: an entry closes a link; its frames are read one by one.
    Cause: the close is behind the frames and is read after them.
    """
    near, far = ends
    assert not far.is_hung_up()
    near.send(Beat())
    near.close("silent")
    assert far.is_hung_up()
    assert next(far.receive()) == Beat()
    far.dispose()
    assert far.is_hung_up()
