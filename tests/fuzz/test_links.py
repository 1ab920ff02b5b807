"""Fuzz tests of frames and handshakes."""

import socket
import struct
import threading
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingdock.const import MAX_FRAME_BYTES, MAX_HELLO_BYTES
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.links.handshake import accept
from lacewingdock.links.keys import KeyRing
from lacewingdock.links.link import _split_frames, read_frame
from lacewingdock.links.messages import (
    Beat,
    Chunk,
    Delta,
    Finish,
    Hello,
    Item,
    Proof,
    Pull,
    Refusal,
    Status,
)
from lacewingdock.links.wire import decode, encode
from tests.fuzz.common import ATTEMPT, coded, fuzzed

ME = Hello("a", "b", "entry", "hall-a", b"n" * 16)


SAMPLES = (
    ME,
    Proof(b"m"),
    ATTEMPT,
    Chunk("a", 1, b"data"),
    Finish("a", 3, 200, "text/plain", 1, 2),
    Refusal("a", "deadline", "unknown", "late", 100),
    Status(["v1", "v2"], 1, 2, 3, True, ["booking/1@2"]),
    Beat(1, 2, 3),
    Delta(1, 5, [Item("version/a", 2, b"{}"), Item("model/b", 5, b"")]),
    Pull(9),
)


FRAMES = [encode(message) for message in SAMPLES]


def mutated(frames):
    """Whole frames with some bytes changed, cut or added."""

    def change(drawn):
        frame, places, cut = drawn
        data = bytearray(frame)
        for place, value in places:
            data[place % len(data)] = value
        return bytes(data[: len(data) - cut] if cut else data)

    places = st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)))
    return st.tuples(st.sampled_from(frames), places, st.integers(0, 9)).map(
        change
    )


@fuzzed
@given(mutated([frame[4:] for frame in FRAMES]) | st.binary(max_size=200))
def test_wire(payload):
    coded(decode, payload)


@fuzzed
@given(st.lists(mutated(FRAMES), max_size=4).map(b"".join))
def test_split(data):
    pending = bytearray(data)
    coded(lambda: list(_split_frames(pending)))
    assert len(pending) <= len(data)


def test_a_small_frame_builds_no_large_message():
    # Elements without words cost no bytes: 64 bytes can claim millions.
    count = 3_000_000
    words = [encode(Delta(0, 1, [Item("a", 1, b"x")]))[12:][:56]]
    body = bytearray(words[0])
    body[40:48] = struct.pack("<II", 1, 7)
    body[48:56] = struct.pack("<IHH", count << 2, 0, 0)
    payload = struct.pack("<II", 0, len(body) // 8) + bytes(body)
    tracemalloc.start()
    coded(decode, payload)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 1024 * 1024


def over_socket(data, function):
    """Let a function read bytes from a socket that then closes."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.settimeout(2)
        theirs.settimeout(2)
        theirs.sendall(data)
        theirs.shutdown(socket.SHUT_WR)
        try:
            return coded(function, ours)
        except OSError:
            return None


@fuzzed
@given(mutated(FRAMES) | st.binary(max_size=100))
def test_handshake(data):
    keys = KeyRing("k", {"k1": b"s" * 16}, (1, 1))
    assert over_socket(data, lambda s: accept(s, ME, keys)) is None
    over_socket(data, lambda s: read_frame(s, MAX_HELLO_BYTES))


def test_a_peer_that_drips_does_not_hold_a_task():
    # Symptom: links are refused to everybody. Sequence: peers connect and
    # send a byte now and then, each within the timeout of one read. Cause:
    # the timeout began anew with each byte, so a handshake could last for
    # hours and hold its task; the tasks ran out.
    ours, theirs = socket.socketpair()
    sent = []

    def drip(stop):
        for index in range(MAX_HELLO_BYTES):
            if stop.wait(0.05):
                return
            sent.append(index)
            theirs.sendall(b"\0" if index < 3 else b"\x40")

    stop = threading.Event()
    dripping = threading.Thread(target=drip, args=(stop,))
    with ours, theirs:
        ours.settimeout(0.3)
        dripping.start()
        try:
            with pytest.raises(TimeoutError):
                read_frame(ours, MAX_HELLO_BYTES)
        finally:
            stop.set()
            dripping.join()
    # A whole frame of this length takes 67 bytes.
    assert len(sent) < 60


def test_split_refuses_a_frame_beyond_the_limit_at_once():
    pending = bytearray((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
    with pytest.raises(LacewingdockError, match="bad_link"):
        list(_split_frames(pending))
