"""Tests for writing pieces straight to a caller's socket."""

import os
import re
import socket
import threading
import time
from types import SimpleNamespace

import pytest

from lacewingdock.components.answers.answer import (
    MAX_WAITING_BYTES,
    Answer,
)
from lacewingdock.components.callers import sink
from lacewingdock.components.callers.chat import Chat
from lacewingdock.components.callers.sink import Sink, event_bytes
from lacewingdock.helpers.http_connection import Writer
from lacewingdock.links.messages import Attempt, Chunk, Finish

PIECES = 300
ATTEMPT = Attempt("a", "r", "retail", "drafter-1", "POST", "/", b"")


def caller(buffer_bytes):
    """Return a served request and the caller's end of its connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    ours.settimeout(5)
    theirs.settimeout(5)
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    conn = SimpleNamespace(socket=ours, wfile=Writer(ours))
    return SimpleNamespace(conn=conn, chunked_write=False), ours, theirs


def write_answer(answer, request):
    """Write an answer as the caller's task does."""
    relay = SimpleNamespace(take=lambda answer: answer.take())
    chat = Chat(None, relay, None, None, None)
    direct = Sink(request, b"u/a")
    try:
        pieces = answer.take()
        while pieces:
            start = answer.next_offset - len(pieces)
            for index, data in enumerate(pieces, start):
                request.conn.wfile.write(event_bytes(b"u/a", index, data))
            pieces = chat.more(answer, direct)
    finally:
        answer.divert(None)
        request.conn.socket.close()


@pytest.mark.parametrize("buffer_bytes", [16384, 1 << 20])
@pytest.mark.parametrize("size", [10, 2000, 9000])
@pytest.mark.parametrize("limit", [7, 1 << 20])
def test_slow_caller_gets_every_piece_once_and_in_order(
    buffer_bytes, size, limit, monkeypatch
):
    # Symptom: a slow caller's answer lacks a piece, has one twice, or stops
    # in the middle of one until the next comes.
    # Sequence: the caller reads slower than the answer comes; its socket
    # takes a piece in part; writing goes from the link's task to the
    # caller's task and back again.
    # Cause: both tasks, or neither, sent the rest of the piece.
    monkeypatch.setattr(sink, "write", lambda fd, d: os.write(fd, d[:limit]))
    request, _, theirs = caller(buffer_bytes)
    answer = Answer(SimpleNamespace(name="u"), ATTEMPT)
    data = [b"%d:" % i + b"x" * size for i in range(PIECES)]

    def deliver():
        for index, piece in enumerate(data):
            while answer.waiting > MAX_WAITING_BYTES // 2:
                time.sleep(0.001)
            assert answer.deliver(Chunk("a", index, piece))
        answer.deliver(Finish("a", PIECES))

    tasks = [
        threading.Thread(target=deliver),
        threading.Thread(target=write_answer, args=(answer, request)),
    ]
    for task in tasks:
        task.start()
    received = bytearray()
    while piece := theirs.recv(3000):
        received += piece
    for task in tasks:
        task.join()
    theirs.close()
    assert re.findall(rb"data: (\d+):", received) == [
        b"%d" % i for i in range(PIECES)
    ]
    want = b"".join(event_bytes(b"u/a", i, d) for i, d in enumerate(data))
    assert bytes(received) == want


def test_ended_diversion_writes_no_more():
    # Symptom: a caller gets a piece of another caller's answer.
    # Sequence: a caller leaves; its connection's number goes to a new one;
    # one more piece of the old answer arrives.
    # Cause: the link's task still wrote to the number.
    request, ours, theirs = caller(65536)
    answer = Answer(SimpleNamespace(name="u"), ATTEMPT)
    answer.divert(Sink(request, b"u/a").write)
    answer.deliver(Chunk("a", 0, b"seen"))
    answer.divert(None)
    answer.deliver(Chunk("a", 1, b"not seen"))
    ours.close()
    assert theirs.recv(1000) == event_bytes(b"u/a", 0, b"seen")
    assert theirs.recv(1000) == b""
    theirs.close()
