"""Tests of the routers' messages and of the port that carries them."""

import random
import socket
import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingdock.components.gossip import (
    KeptSession,
    Message,
    Row,
    decode,
    encode,
)
from lacewingdock.components.gossip.port import GossipPort
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from tests.fuzz.common import coded, fuzzed, json_bytes

FULL = Message(
    "router-1",
    1,
    2,
    [Row(3, 4, 5)],
    [KeptSession("svc", "s", "v1", 2)],
    [("svc", "v2")],
)


def test_message_comes_back_as_it_was():
    assert decode(encode(FULL)) == FULL


@pytest.mark.parametrize(
    "message",
    [
        Message("r", 1, 1, [Row(1, -1, 0)]),
        Message("r", 1, 1, [Row(1, 1, -5)]),
        Message("r", 1, 1, [Row(n, 1, 0) for n in range(97)]),
        Message("r", 1, 1, [], [KeptSession("a", "b", "c", -1)]),
        Message("r", 1, 1, [], [KeptSession("a", "b", "c", 1)] * 65),
    ],
)
def test_what_no_router_tells_is_refused(message):
    with pytest.raises(LacewingdockError) as caught:
        decode(encode(message))
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@fuzzed
@given(st.binary(max_size=80) | json_bytes)
def test_any_bytes_are_a_message_or_a_coded_error(data):
    coded(decode, data)


def port(compose=lambda number: Message("r", 1, number), others=()):
    """Return a port on loopback and what it heard."""
    heard = []
    found = GossipPort(
        ("127.0.0.1", 0),
        compose,
        [heard.append],
        lambda: list(others),
        threading.Event(),
        random.Random(1),
    )
    return found, heard


def test_messages_pass_and_odd_datagrams_do_not_stop_them():
    """Symptom: a router hears of no load any more, until it is restarted.

    Sequence: a datagram of something else comes to its port. Cause: the task
    that takes messages ended with its error.
    """
    taker, heard = port()
    address = taker.sock.getsockname()
    sender, _ = port(others=[address, ("127.0.0.1", 1)])
    stopping = threading.Event()
    task = threading.Thread(target=taker.listen, args=(stopping,), daemon=True)
    task.start()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as odd:
        odd.sendto(b"\xff\xfe odd", address)
    sender._send(encode(FULL))
    for _ in range(200):
        if heard:
            break
        stopping.wait(0.01)
    stopping.set()
    sender._send(encode(FULL))
    task.join(2.0)
    for one in (taker, sender):
        one.close()
    assert heard[0] == FULL


def test_only_news_is_told_and_repeated_while_it_holds(monkeypatch):
    sent = []
    now = [100.0]
    monkeypatch.setattr(
        "lacewingdock.components.gossip.port.time.monotonic", lambda: now[0]
    )
    found, _ = port()
    rows = [Row(1, 2, 3)]
    for moment, told in (
        (100.0, []),
        (100.1, rows),
        (100.2, rows),
        (100.5, rows),
        (100.6, []),
        (109.0, []),
    ):
        now[0] = moment
        message = Message("r", 1, found.number + 1, told)
        if found._is_news(message):
            sent.append((moment, message.number))
    found.close()
    assert sent == [(100.1, 1), (100.5, 2), (100.6, 3)]


def test_bytes_are_bounded():
    """A large fleet is told less often: 25 of 1,200 routers, full messages."""
    rows = [Row(2**32 - n, 64, 10**6) for n in range(96)]
    others = [("127.0.0.1", 1)] * 1200
    found, _ = port(lambda n: Message("r" * 20, 1, n, rows), others)
    data = encode(found.compose(1))
    spent = found._send(data)
    found.close()
    assert spent == found.sent_bytes == 25 * (len(data) + 28)
    assert len(data) < 2000
