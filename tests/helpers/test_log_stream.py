"""Tests of the log stream: bounded and non-blocking."""

import json
import os
import select
import time

import pytest

from lacewingdock.helpers import log_stream
from lacewingdock.helpers.log_stream import LogStream


@pytest.fixture
def pipe():
    # The thread of a stream outlives its test. The write end stays open, so
    # that the pipe of another test does not get the same descriptor.
    ends = os.pipe()
    yield ends
    os.close(ends[0])


def test_lines_arrive_in_order(pipe):
    stream = LogStream(pipe[1])
    for number in range(50):
        stream.write(f"{number}\n")
    stream.drain(2.0)
    lines = os.read(pipe[0], 65536).decode().split()
    assert lines == [str(number) for number in range(50)]


@pytest.mark.parametrize("pause_s", [0.0, 3 * log_stream.BATCH_DELAY_S])
def test_stalled_reader_does_not_block_writers(pipe, monkeypatch, pause_s):
    """Guards against requests that hang while the log collector is stuck.

    Happens if the logging thread itself writes to the pipe, which is full.
    With the pause, lines are batched and the first drops are reported before
    the last lines. Each line is then received, reported as dropped, or counted
    as dropped and not reported yet.
    """
    count = 30_000
    monkeypatch.setattr(log_stream, "LINES_PER_S", 1e9)
    monkeypatch.setattr(log_stream, "BURST", 1e9)
    stream = LogStream(pipe[1])
    stream.tokens = 1e9
    start = time.monotonic()
    for number in range(count):
        if number == count - 1000:
            time.sleep(pause_s)
        stream.write("x" * 100 + "\n")
    assert time.monotonic() - start < 2.0
    assert len(stream._lines) <= log_stream.MAX_LINES
    arrived, reported = _read_all(pipe[0])
    dropped = reported + stream.dropped
    assert arrived + dropped == count
    # No line left the queue while the reader was stalled.
    assert dropped >= count - log_stream.MAX_LINES


def _read_all(descriptor):
    """Read all lines; return the received and the reported dropped lines."""
    text = b""
    while select.select([descriptor], [], [], 0.5)[0]:
        text += os.read(descriptor, 1 << 20)
    lines = text.decode().splitlines()
    reported = [json.loads(one)["lines"] for one in lines if one[0] == "{"]
    return len(lines) - len(reported), sum(reported)


def test_flood_is_limited_and_drops_are_reported(pipe):
    stream = LogStream(pipe[1])
    for _ in range(int(log_stream.BURST) + 500):
        stream.write("x\n")
    stream.drain(2.0)
    time.sleep(0.1)
    text = os.read(pipe[0], 1 << 20).decode()
    assert '"message":"lines dropped"' in text
    assert text.count("x\n") <= log_stream.BURST + 50
