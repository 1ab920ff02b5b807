"""Fuzz tests of what upstreams send."""

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from lacewingdock.components.callers.assemble import assemble
from lacewingdock.components.runs.upstream_call import Receiver
from lacewingdock.const import MAX_FRAME_BYTES
from lacewingdock.links.messages import Chunk
from lacewingdock.links.wire import encode
from lacewingdock.world.run import Run
from tests.fuzz.common import ATTEMPT, coded, fuzzed, json_values

engine_events = st.lists(
    st.binary(max_size=40)
    | json_values.map(lambda v: b"data: " + msgspec.json.encode(v) + b"\n\n")
    | st.builds(
        lambda a, b: (
            b"data: "
            + msgspec.json.encode(
                {"usage": {"prompt_tokens": a, "completion_tokens": b}}
            )
            + b"\n\n"
        ),
        st.integers(-(2**40), 2**40),
        st.integers(-(2**40), 2**40),
    )
    | st.just(b"data: [DONE]\n\n"),
    max_size=6,
)


@fuzzed
@given(
    st.lists(
        st.sampled_from(
            [
                b"HTTP/1.1 200 OK\r\n",
                b"HTTP/\r\n",
                b"HTTP/1.1 x\r\n",
                b"HTTP/1.1 99999999 x\r\n",
                b"Content-Type: text/event-stream\r\n",
                b"\xff\xfe: \x00\r\n",
            ]
        )
        | st.binary(max_size=20),
        max_size=4,
    ),
    engine_events,
)
def test_engine_events(headers, events):
    run = Run(ATTEMPT)
    receiver = Receiver(run)
    for line in headers:
        receiver.header(line)
    for data in events:
        receiver.body(data)
    coded(receiver.end)
    for index, data in enumerate(run.chunks):
        encode(Chunk("a", index, data))
    if run.outcome is not None:
        encode(run.outcome)


@fuzzed
@given(
    json_values
    | st.fixed_dictionaries(
        {
            "choices": st.lists(
                json_values
                | st.fixed_dictionaries(
                    {"index": st.integers(0, 2), "delta": json_values}
                ),
                max_size=3,
            )
        }
    )
)
@example([[]])
def test_assemble(event):
    whole = coded(assemble, [msgspec.json.encode(event)])
    if whole is not None:
        msgspec.json.encode(whole)


def test_an_event_without_end_is_given_up_before_it_fills_a_frame():
    run = Run(ATTEMPT)
    receiver = Receiver(run)
    receiver.header(b"Content-Type: text/event-stream\r\n")
    piece = b"data: " + b"x" * 65536
    taken = 0
    while receiver.body(piece) is None:
        taken += len(piece)
        assert taken < MAX_FRAME_BYTES
    assert not run.chunks
