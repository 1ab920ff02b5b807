"""Tests of listening sockets."""

import contextlib
import socket
import threading
import time

import pytest

from lacewingdock.helpers.sockets import Listener
from tests.waiting import wait

SERVED = b"served"


@pytest.fixture
def build():
    stopping, built = threading.Event(), []

    def build(serve=None, most=50, admits=lambda *_: True):
        found = Listener(
            "test",
            ("127.0.0.1", 0),
            serve or (lambda sock, _: sock.sendall(SERVED)),
            most,
            admits=admits,
        )
        built.append(found)
        threading.Thread(
            target=found.run, args=(stopping,), daemon=True
        ).start()
        return found

    yield build
    stopping.set()
    for one in built:
        one.close()


def call(listener):
    """Return what a connection gets until it is closed."""
    with socket.create_connection(listener.address, 5) as sock:
        sock.settimeout(5)
        with contextlib.suppress(ConnectionResetError):
            return sock.recv(100)
    return b""


@pytest.mark.parametrize("admitted", [True, False])
def test_connection_is_served_or_closed_unread(build, admitted):
    listener = build(admits=lambda *_: admitted)
    assert call(listener) == (SERVED if admitted else b"")
    wait(lambda: listener.open.value == 0)
    assert listener.refused == (not admitted)


def test_connections_over_the_limit_are_closed(build):
    gate = threading.Event()
    listener = build(lambda *_: gate.wait(5), most=3)
    held = [socket.create_connection(listener.address, 5) for _ in range(3)]
    wait(lambda: listener.open.value == 3)
    assert call(listener) == b""
    gate.set()
    for one in held:
        one.close()
    wait(lambda: listener.open.value == 0)
    assert listener.refused == 1


def test_threads_are_used_again(build):
    listener = build()
    for _ in range(5):
        assert call(listener) == SERVED
        wait(lambda: listener.open.value == 0)
        wait(lambda: len(listener._threads.idle) == 1)


def test_waiting_time_includes_the_listen_queue(build):
    """Guards against requests that are read after their callers gave up."""
    seen = []

    def admits(_, queued_s):
        # The accepting thread has no turn for a while.
        seen.append(queued_s)
        time.sleep(0.05)
        return False

    listener = build(admits=admits)
    socks = [socket.create_connection(listener.address, 5) for _ in range(8)]
    wait(lambda: listener.refused == 8)
    for one in socks:
        one.close()
    assert seen[-1] >= 0.2


def test_close_ends_the_accepting_thread(build):
    listener = build()
    before = threading.active_count()
    listener.close()
    wait(lambda: threading.active_count() < before)
