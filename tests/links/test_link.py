"""Tests for a link whose peer is slow, idle or closed."""

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
    """Send until the socket blocks and the backlog reaches 1 MB."""
    count = 0
    while link.backlog_bytes < 1_000_000:
        assert link.send(Chunk("a", count, b"x" * 10_000))
        count += 1
    return count


def test_send_to_a_stuck_peer_returns_at_once(ends):
    """Guards against one stuck peer stalling answers and links of others.

    When a peer stops reading, a blocking send under a shared lock blocks the
    sending tasks, including those that read an upstream or another peer.
    """
    near, far = ends
    count = fill(near)
    # Nothing reads at this point, so a blocking send would not return.
    assert near.send(Chunk("a", count, b"last"))
    frames = far.receive()
    got = [next(frames).offset for _ in range(count + 1)]
    assert got == list(range(count + 1))


def test_backlog_is_bounded(ends, monkeypatch):
    """Guards against unbounded memory use while a peer is frozen.

    Answers continue while the peer reads nothing, so the backlog must have a
    limit.
    """
    monkeypatch.setattr(link_module, "MAX_BACKLOG_BYTES", 1_100_000)
    near, _ = ends
    fill(near)
    sent = [near.send(Chunk("a", 0, b"x" * 10_000)) for _ in range(20)]
    assert not sent[-1]
    assert near.closed


def test_bulk_sender_waits_for_room(ends):
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
    ("received_ago_s", "busy", "silent"),
    [(6.0, False, False), (20.0, False, True), (6.0, True, False)],
)
def test_first_request_after_a_pause_keeps_the_link(
    ends, received_ago_s, busy, silent
):
    """Guards against closing a healthy link on the first request after a pause.

    An idle link that last received data six seconds ago becomes busy, and the
    strict silence limit of busy links was applied to the idle time.
    """
    link, _ = ends
    now = time.monotonic()
    link.last_received = now - received_ago_s
    if busy:
        link.begin()
    limit = SILENCE_S if busy else SILENCE_IDLE_S
    assert (link.silent_s(now) > limit) == silent


def test_end_lets_the_peer_read_all_frames(ends):
    """Guards against losing the end of an answer when a sidecar stops.

    Closing a socket that holds unread heartbeats resets the connection, and
    the reset overtakes the answer; an orderly shutdown is needed.
    """
    near, far = ends
    count = fill(near)
    far.send(Beat())
    stop = threading.Thread(target=near.end)
    stop.start()
    # An `end` that does not wait returns within this time; an `end` that waits
    # is released by the reads below.
    stop.join(0.2)
    assert [frame.offset for frame in far.receive()] == list(range(count))
    assert far.reason == "peer closed"
    stop.join()


@pytest.mark.parametrize(
    ("busy", "sent", "closed", "lapsed"),
    [
        (True, False, False, True),
        (True, True, False, True),
        (True, False, True, True),
        # An idle link requires no heartbeats from this end.
        (False, False, False, False),
        (False, True, True, False),
    ],
)
def test_pause_with_outstanding_answers_is_a_lapse(
    ends, monkeypatch, busy, sent, closed, lapsed
):
    """Guards against running a request on two upstreams after a pause.

    While a sidecar is paused, its entry closes the link and retries the
    request elsewhere. The resumed sidecar must detect its own pause, whichever
    of its tasks runs first.
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
    if sent:
        link.send(Beat())
    if closed:
        link.close("peer closed")
    assert link.lapsed_since(began) is lapsed
    if closed:
        now[0] += 60.0
        assert not link.lapsed_since(now[0])


def test_close_is_detected_before_pending_frames_are_read(ends):
    """Guards against starting attempts that their entry has abandoned.

    When an entry closes a link, the close is queued behind its frames and is
    only read after them, while each frame is still handled.
    """
    near, far = ends
    assert not far.is_hung_up()
    near.send(Beat())
    near.close("silent")
    assert far.is_hung_up()
    assert next(far.receive()) == Beat()
    far.dispose()
    assert far.is_hung_up()
