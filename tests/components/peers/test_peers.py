"""Tests for heartbeats on links and the timeout of silent links."""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from types import SimpleNamespace

import logbook
import prometheus_client
import pytest

from lacewingdock.components import peers
from lacewingdock.helpers.tally import Tally
from lacewingdock.links.handshake import probe
from lacewingdock.links.keys import KeyRing
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Hello
from tests.fakes import FakeClock


class RecordingLink:
    """A link that records its heartbeats and when it was closed."""

    silent_s = Link.silent_s

    def __init__(self, clock, busy):
        """Build a link that has just received a message."""
        self.clock = clock
        self.busy = Tally()
        self.busy.add(busy)
        self.last_received = self.last_sent = clock.now
        self.busy_since = clock.now
        self.last_beat = clock.now
        self.beats = 0
        self.silent_at = None

    def beat(self, frame):
        """Record a heartbeat."""
        assert frame
        self.beats += 1
        self.last_beat = self.last_sent = self.clock.now

    def close(self, reason):
        """Record the time of the first close."""
        if self.silent_at is None:
            self.silent_at = self.clock.now


def run_beats(monkeypatch, role, busy, seconds, receives, sends=False):
    clock = FakeClock()
    monkeypatch.setattr(peers, "time", clock)
    daemon = SimpleNamespace(
        settings=SimpleNamespace(host="127.0.0.1", link_port=0),
        me=SimpleNamespace(role=role),
        metrics=prometheus_client.CollectorRegistry(),
    )
    links = peers.Peers(daemon)
    link = RecordingLink(clock, busy)
    links.links.add(link)
    start = clock.now
    for _ in range(int(seconds / 0.2)):
        clock.now += 0.2
        if receives:
            link.last_received = clock.now
        if sends:
            link.last_sent = clock.now
        links.send_beats()
    links.listener.close()
    silent = None if link.silent_at is None else link.silent_at - start
    return link.beats, silent


@pytest.mark.parametrize(
    ("role", "busy", "beats"),
    [
        ("sidecar", 1, 50),
        ("sidecar", 0, 2),
        # An entry has requests on nearly all its links and must not send
        # frequent heartbeats on all of them.
        ("entry", 1, 2),
        ("entry", 0, 2),
    ],
)
def test_only_the_side_that_answers_beats_often(monkeypatch, role, busy, beats):
    assert run_beats(monkeypatch, role, busy, 10.0, True) == (beats, None)


@pytest.mark.parametrize("role", ["entry", "sidecar"])
def test_steady_traffic_does_not_take_the_place_of_beats(monkeypatch, role):
    """Heartbeats are sent even if other messages keep a link active.

    Otherwise a busy sidecar stays on an old configuration: a change was not
    applied 19 s after the network had recovered. The push of the change goes
    to other peers or is lost, and the entry then sends this sidecar a request
    every second. The fault was that a heartbeat, which carries the revision,
    was due only after a pause in sending.
    """
    beats, _ = run_beats(monkeypatch, role, 0, 20.0, True, sends=True)
    assert beats >= 3


@pytest.mark.parametrize(
    ("role", "busy", "low", "high"),
    [("entry", 1, 0.7, 1.0), ("entry", 0, 16, 17), ("sidecar", 1, 16, 17)],
)
def test_silent_link_is_given_up(monkeypatch, role, busy, low, high):
    _, silent = run_beats(monkeypatch, role, busy, 20.0, False)
    assert low <= silent <= high


def test_a_probe_opens_no_link():
    """A probe must not be handled or logged as a link of a peer.

    Otherwise the log of a home fills with closed links, since other processes
    probe it every second over a connection that they close. The fault was
    that neither this component nor the log distinguished a probe from a peer,
    and each probe was also sent the pending changes.
    """
    me = Hello("home", "first", "sidecar", "hall", b"")
    keys = KeyRing("k", {"k": b"s" * 16}, (1, 1))
    daemon = SimpleNamespace(
        settings=SimpleNamespace(host="127.0.0.1", link_port=0),
        me=me,
        keys=keys,
        metrics=prometheus_client.CollectorRegistry(),
        spawn=None,
    )
    links = peers.Peers(daemon)
    opened = []
    links.on_open.append(opened.append)
    address = f"127.0.0.1:{links.port}"
    other = replace(me, instance="other")
    with logbook.TestHandler() as handler, ThreadPoolExecutor(1) as pool:
        probing = pool.submit(probe, address, other, keys, 2.0)
        links._serve_connection(links.listener.accept()[0])
        assert probing.result().incarnation == "first"
    links.listener.close()
    assert not opened
    assert [record.level for record in handler.records] == [logbook.DEBUG]
