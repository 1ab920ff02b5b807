"""Tests of splitting a stream into events."""

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.gateway.events import EventSplitter

FIRST = b"id: 1\ndata: a\n\n"
SECOND = b"id: 2\r\ndata: b\r\n\r\n"
COMMENT = b": still here\n\n"


def split(stream, at=()):
    """Return events and rest of a stream that arrives in parts."""
    splitter, events = EventSplitter(), []
    ends = [*sorted({min(one, len(stream)) for one in at}), len(stream)]
    start = 0
    for end in ends:
        events += splitter.append(stream[start:end])
        start = end
    return events, splitter


@pytest.mark.parametrize(
    ("stream", "events", "rest", "partial"),
    [
        (FIRST + SECOND, [("1", FIRST), ("2", SECOND)], b"", False),
        (b"data: x\n\n", [("", b"data: x\n\n")], b"", False),
        (FIRST + b"id: 2\n", [("1", FIRST)], b"id: 2\n", True),
        # Comments are no event, and no byte of them is lost.
        (COMMENT * 3, [], COMMENT * 3, False),
        (COMMENT + FIRST, [("1", COMMENT + FIRST)], b"", False),
        (FIRST + COMMENT, [("1", FIRST)], COMMENT, False),
        (
            FIRST + COMMENT + SECOND,
            [("1", FIRST), ("2", COMMENT + SECOND)],
            b"",
            False,
        ),
        (b":\n" * 3, [], b":\n" * 3, True),
        # The id of a comment is none.
        (
            b": x\nid: 3\ndata: y\n\n",
            [("3", b": x\nid: 3\ndata: y\n\n")],
            b"",
            False,
        ),
    ],
)
def test_events_of_a_stream(stream, events, rest, partial):
    for at in ((), range(len(stream))):
        found, splitter = split(stream, at)
        assert [(one.id, one.data) for one in found] == events
        assert bytes(splitter.buffer) == rest
        assert splitter.has_partial_event is partial


@given(
    blocks=st.lists(
        st.sampled_from([FIRST, SECOND, COMMENT, b":\r\n\r\n", b"\n\n", b"id"]),
        max_size=8,
    ),
    at=st.lists(st.integers(0, 120), max_size=12),
)
@settings(derandomize=True, deadline=None)
def test_parts_in_which_a_stream_arrives_change_nothing(blocks, at):
    stream = b"".join(blocks)
    events, splitter = split(stream, at)
    whole, _ = split(stream)
    assert [one.id for one in events] == [one.id for one in whole]
    joined = b"".join(one.data for one in events)
    assert joined + splitter.buffer == stream


def test_time_grows_with_the_bytes():
    """Guards against: a flood that is searched anew with each part."""
    splitter = EventSplitter()
    began = time.thread_time()
    for _ in range(32_000):
        splitter.append(b":\n")
    assert time.thread_time() - began < 1.0
