"""Tests of transfers that end by silence."""

import socket
import time

import pycurl
import pytest

from lacewingdock.helpers.transfer import (
    Progress,
    TransferError,
    TransferLimits,
    Transfers,
)
from tests.paced_server import PacedServer

LIMITS = TransferLimits(first_byte_s=0.3, idle_s=0.3, total_s=1.0)
# Seconds by which a transfer may end later than its limit.
MARGIN_S = 0.25
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"


def handle(url, progress):
    """Return a handle that records its progress, and the bytes it receives."""
    curl, received = pycurl.Curl(), []

    def receive(data):
        received.append(data)
        progress.add(len(data))

    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.WRITEFUNCTION, receive)
    curl.setopt(pycurl.HEADERFUNCTION, progress.read_header)
    return curl, received


@pytest.mark.parametrize(
    "parts",
    [
        [(0.0, HEAD + b"x" * 12)],
        [(0.15, HEAD), (0.1, b"x" * 12)],
        # Longer than each limit but that on the whole.
        [(0.0, HEAD), *[(0.2, b"xxx")] * 4],
    ],
    ids=["at once", "two parts", "steady"],
)
def test_transfer_that_makes_progress_is_completed(parts):
    server, transfers = PacedServer(parts), Transfers()
    for _ in range(2):
        progress = Progress()
        curl, received = handle(server.url, progress)
        transfers.perform(curl, LIMITS, progress)
        assert b"".join(received) == b"x" * 12
        assert progress.received == progress.expected == 12
    assert server.connections == 1
    transfers.close()


def test_head_may_come_long_before_the_body():
    """Guards against: a waiting call that is ended as soon as it waits."""
    server, transfers = (
        PacedServer([(0.0, HEAD), (0.6, b"x" * 12)]),
        Transfers(),
    )
    progress = Progress()
    curl, received = handle(server.url, progress)
    limits = TransferLimits(first_byte_s=1.0, idle_s=0.2, total_s=1.0)
    transfers.perform(curl, limits, progress)
    assert b"".join(received) == b"x" * 12
    transfers.close()


@pytest.mark.parametrize(
    ("parts", "reason", "ends_s"),
    [
        ([(9.0, b"")], "no answer: 0 bytes", 0.3),
        ([(0.1, HEAD), (9.0, b"")], "no answer: 0 of 12 bytes", 0.3),
        ([(0.1, HEAD + b"xx"), (9.0, b"")], "no more bytes: 2 of 12", 0.4),
        (
            [(0.0, HEAD), (0.1, b"x"), *[(0.23, b"x")] * 10],
            "too slow: 5 of 12",
            1.1,
        ),
        ([(0.0, b"none\r\n\r\n")], "", 0.0),
    ],
    ids=["no answer", "no body", "silence", "few bytes", "no HTTP"],
)
def test_transfer_that_makes_none_is_ended(parts, reason, ends_s):
    """Guards against: a task that one call holds for good."""
    server, transfers, progress = PacedServer(parts), Transfers(), Progress()
    curl, _ = handle(server.url, progress)
    began = time.monotonic()
    with pytest.raises(TransferError, match=f"^{reason}"):
        transfers.perform(curl, LIMITS, progress)
    assert ends_s <= time.monotonic() - began < ends_s + MARGIN_S
    transfers.close()


def test_closed_port_fails_at_once():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    transfers, progress = Transfers(), Progress()
    curl, _ = handle(f"http://127.0.0.1:{port}/", progress)
    with pytest.raises(TransferError):
        transfers.perform(curl, LIMITS, progress)
    transfers.close()


def test_descriptors_above_those_of_select():
    """Guards against: a busy router that can't call the store."""
    held = [socket.socket() for _ in range(1100)]
    server, transfers, progress = (
        PacedServer([(0.0, HEAD + b"x" * 12)]),
        Transfers(),
        Progress(),
    )
    curl, received = handle(server.url, progress)
    transfers.perform(curl, LIMITS, progress)
    assert curl.getinfo(pycurl.LASTSOCKET) > 1023
    assert b"".join(received) == b"x" * 12
    transfers.close()
    for one in held:
        one.close()
