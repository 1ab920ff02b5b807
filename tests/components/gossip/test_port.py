"""Tests of gossip messages and of their port."""

import math
import random
import socket
import threading

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingdock.components.gossip import (
    CrashRow,
    LimitRow,
    LoadRow,
    Message,
    PinnedSession,
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
    [LoadRow(3, 4, 5)],
    [PinnedSession("svc", "s", "v1", 2)],
    [("svc", "v2")],
    [17],
    [LimitRow(3, 0.5, 40)],
    [CrashRow("part-1", ["i-1"], True), CrashRow("part-2", cleared=["i-1"])],
    True,
    [19],
)


def test_message_round_trip():
    assert decode(encode(FULL)) == FULL


@pytest.mark.parametrize(
    "message",
    [
        Message("r", 1, 1, [LoadRow(1, -1, 0)]),
        Message("r", 1, 1, [LoadRow(1, 1, -5)]),
        Message("r", 1, 1, [LoadRow(n, 1, 0) for n in range(97)]),
        Message("r", 1, 1, [], [PinnedSession("a", "b", "c", -1)]),
        Message("r", 1, 1, [], [PinnedSession("a", "b", "c", 1)] * 65),
        Message("r", 1, 1, [LoadRow(1, 10_001, 0)]),
        Message("r", 1, 1, [LoadRow(1, 1, 10**15)]),
        Message("r", 1, 1, bad=[("svc", "v2")] * 65),
        Message("r", 1, 1, replaced=[1] * 129),
        Message("r", 1, 1, left=[1] * 129),
        Message("r", 1, 1, limits=[LimitRow(1, 3.0, 5)] * 65),
        Message("r", 1, 1, limits=[LimitRow(1, -0.1, 5)]),
        Message("r", 1, 1, limits=[LimitRow(1, math.inf, 5)]),
        Message("r", 1, 1, limits=[LimitRow(1, math.nan, 5)]),
        Message("r", 1, 1, limits=[LimitRow(1, 1e308, 5)]),
        Message("r", 1, 1, limits=[LimitRow(1, 3.0, -1)]),
        Message("r", 1, 1, limits=[LimitRow(1, 3.0, 60_001)]),
        Message("r", 1, 1, crashes=[CrashRow("p")] * 17),
        Message("r", 1, 1, crashes=[CrashRow("p", ["i"] * 9)]),
        Message("r", 1, 1, crashes=[CrashRow("p", [], False, ["i"] * 9)]),
    ],
)
def test_value_out_of_bounds_is_refused(message):
    with pytest.raises(LacewingdockError) as caught:
        decode(encode(message))
    assert caught.value.kind is ErrorKind.BAD_REQUEST


def test_message_of_another_release_is_decoded():
    """Guards against routers that ignore each other during an upgrade."""
    fields = msgspec.msgpack.decode(encode(FULL))
    assert decode(msgspec.msgpack.encode(fields[:-1])).left == []
    assert not decode(msgspec.msgpack.encode(fields[:-2])).overloaded
    assert decode(msgspec.msgpack.encode(fields[:-3])).crashes == []
    assert decode(msgspec.msgpack.encode(fields[:-4])).limits == []
    assert decode(msgspec.msgpack.encode([*fields, 5])) == FULL


@fuzzed
@given(st.binary(max_size=80) | json_bytes)
def test_any_bytes_decode_or_raise_a_coded_error(data):
    coded(decode, data)


def port(
    compose=lambda number: Message("r", 1, number),
    others=(),
    at="127.0.0.1",
):
    """Return a port on loopback and the list of messages that it received.

    Args:
        compose: Returns the message to send.
        others: Addresses of the other routers.
        at: IP address of `router-1` by the platform's entries.
    """
    received = []
    found = GossipPort(
        ("127.0.0.1", 0),
        compose,
        [received.append],
        lambda: list(others),
        lambda router, host: (router, host) == ("router-1", at),
        threading.Event(),
        random.Random(1),
    )
    return found, received


def sent_to(receiver, *datagrams):
    """Send datagrams to a port and wait until it handled them all."""
    address = receiver.datagrams.sock.getsockname()
    stopping = threading.Event()
    task = threading.Thread(
        target=receiver.listen, args=(stopping,), daemon=True
    )
    task.start()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in datagrams:
            sender.sendto(data, address)
        last = Message("last", 1, 1)
        taken, is_at = threading.Event(), receiver.is_at
        receiver.is_at = lambda *who: who[0] == "last" or is_at(*who)
        receiver.handlers.append(
            lambda one: taken.set() if one == last else None
        )
        sender.sendto(encode(last), address)
        assert taken.wait(5.0)
        stopping.set()
        sender.sendto(encode(last), address)
    task.join(5.0)
    receiver.close()
    assert not task.is_alive()


def test_malformed_datagram_does_not_end_the_receiving():
    """Guards against a router that receives no load until it is restarted.

    A malformed datagram arrives at its port, and the error ended the task that
    receives messages.
    """
    receiver, received = port()
    sent_to(receiver, b"\xff\xfe odd", encode(FULL))
    assert received[0] == FULL
    assert receiver.datagrams.refused == 1


@pytest.mark.parametrize(
    ("message", "at"),
    [
        # The router is at another address.
        (FULL, "127.0.0.2"),
        # There is no such router.
        (Message("router-9", 1, 1, [LoadRow(3, 4, 5)]), "127.0.0.1"),
        (Message("", 1, 1), "127.0.0.1"),
    ],
)
def test_message_with_a_forged_sender_is_refused(message, at):
    """Guards against an instance without work, and a needless rollback.

    A host that is no router sends a datagram in a router's name, with a load
    of 10^15, a later start and a bad version, and no sender was checked.
    """
    receiver, received = port(at=at)
    sent_to(receiver, encode(message))
    assert message not in received
    assert receiver.datagrams.refused == 1


def test_error_of_a_handler_does_not_end_the_receiving():
    """Guards against a router that receives no load until it is restarted.

    An error of a message handler ended the task that receives messages.
    """
    receiver, received = port()
    later = Message("router-1", 1, 3)

    def fail_once(message):
        if message == FULL:
            raise ValueError("a fault")

    receiver.handlers.insert(0, fail_once)
    sent_to(receiver, encode(FULL), encode(later))
    assert received[0] == later


def test_error_while_composing_does_not_end_the_sending():
    """Guards against a router whose load is missing until it is restarted.

    An error while composing a message ended the task that sends messages.
    """
    stopping = threading.Event()
    asked = []

    def compose(number):
        asked.append(number)
        if len(asked) > 1:
            stopping.set()
        raise ValueError("a fault")

    found, _ = port(compose)
    found.changed.set()
    task = threading.Thread(
        target=found.send_messages, args=(stopping,), daemon=True
    )
    task.start()
    task.join(5.0)
    found.close()
    assert not task.is_alive()
    assert len(asked) == 2


def test_new_content_is_sent_and_repeated_unless_empty(monkeypatch):
    sent = []
    now = [100.0]
    monkeypatch.setattr(
        "lacewingdock.components.gossip.port.time.monotonic", lambda: now[0]
    )
    found, _ = port()
    rows = [LoadRow(1, 2, 3)]
    for moment, rows_sent in (
        (100.0, []),
        (100.1, rows),
        (100.2, rows),
        (100.5, rows),
        (100.6, []),
        (109.0, []),
    ):
        now[0] = moment
        message = Message("r", 1, found.number + 1, rows_sent)
        if found._should_send(message):
            sent.append((moment, message.number))
    found.close()
    assert sent == [(100.1, 1), (100.5, 2), (100.6, 3)]


def test_bytes_are_bounded():
    """Sends full messages to 25 of 1,200 routers.

    The bytes sent set the pause before the next message.
    """
    rows = [LoadRow(2**32 - n, 64, 10**6) for n in range(96)]
    others = [("127.0.0.1", 1)] * 1200
    found, _ = port(lambda n: Message("r" * 20, 1, n, rows), others)
    data = encode(found.compose(1))
    spent = found._send(data)
    found.close()
    assert spent == found.sent_bytes == 25 * (len(data) + 28)
    assert len(data) < 2000
