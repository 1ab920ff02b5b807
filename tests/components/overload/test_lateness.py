"""Tests of the measure of how late a router reads."""

import socket
from types import SimpleNamespace

import pytest

from lacewingdock.components.overload.const import SAMPLE_INTERVAL_S
from lacewingdock.components.overload.lateness import LatenessMeter

START = 100.0


class Peer:
    """A connection and its other end."""

    def __init__(self):
        self.sock, self.other = socket.socketpair()
        self.last_received_at = 0.0

    def arrive(self):
        """Let bytes arrive."""
        self.other.sendall(b"x")

    def read(self, now):
        """Read what has arrived."""
        self.sock.recv(100)
        self.last_received_at = now


@pytest.fixture
def peers():
    found = [Peer() for _ in range(10)]
    yield found
    for one in found:
        one.sock.close()
        one.other.close()


@pytest.mark.parametrize(
    ("arrived", "read", "late"),
    [
        (0, 0, 0),
        # All is read in time.
        (10, 10, 0),
        (10, 6, 4),
        (10, 0, 10),
    ],
)
def test_unread_bytes_are_late_at_the_second_look(peers, arrived, read, late):
    meter = LatenessMeter(lambda: peers, lambda: ())
    for one in peers[:arrived]:
        one.arrive()
    meter.sample(START)
    assert meter.late == 0
    for one in peers[:read]:
        one.read(START + 0.01)
    meter.sample(START + SAMPLE_INTERVAL_S)
    assert meter.late == late
    assert meter.busy == 10


def test_bytes_that_came_after_a_read_are_not_late(peers):
    meter = LatenessMeter(lambda: peers, lambda: ())
    for look in range(5):
        now = START + look * SAMPLE_INTERVAL_S
        for one in peers:
            one.arrive()
        meter.sample(now)
        assert meter.late == 0
        for one in peers:
            one.read(now + 0.01)


@pytest.mark.parametrize("pause_s", [0.1, 1.0, 30.0])
def test_pause_of_the_process_is_no_lateness(peers, pause_s):
    """Guards against a router that takes its own pause for overload."""
    meter = LatenessMeter(lambda: peers, lambda: ())
    meter.sample(START)
    for one in peers:
        one.arrive()
    meter.sample(START + pause_s)
    assert meter.late == 0


def test_idle_connections_of_callers_are_not_busy(peers):
    meter = LatenessMeter(lambda: (), lambda: peers)
    peers[0].arrive()
    meter.sample(START)
    assert meter.busy == 1


def test_closed_connection_is_passed_over(peers):
    peers[0].sock.close()
    meter = LatenessMeter(lambda: peers, lambda: ())
    meter.sample(START)
    assert meter.late == 0


def test_meter_survives_a_failed_sample():
    """Guards against a share that stays high for good."""
    meter = LatenessMeter(lambda: 1 // 0, lambda: ())
    meter.share = 1.0
    waits = iter([False, True])
    meter.run(SimpleNamespace(wait=lambda _: next(waits)))
    assert meter.share == 0.0
