"""Tests for encoding and decoding frames."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.messages import Beat, Chunk, Finish
from lacewingdock.links.wire import LENGTH_BYTES, decode, encode

PROPERTY = settings(derandomize=True, deadline=None)
TEXT = st.text(max_size=40)
COUNT = st.integers(0, 2**32 - 1)
MESSAGES = st.one_of(
    st.builds(Chunk, TEXT, COUNT, st.binary(max_size=300)),
    st.builds(Beat, COUNT, COUNT, COUNT),
    st.builds(Finish, TEXT, COUNT),
)


@PROPERTY
@given(MESSAGES)
def test_encoding_round_trip(message):
    frame = encode(message)
    length = int.from_bytes(frame[:LENGTH_BYTES], "big")
    assert length == len(frame) - LENGTH_BYTES
    assert decode(frame[LENGTH_BYTES:]) == message


@PROPERTY
@given(MESSAGES, st.data())
def test_corrupted_frames_decode_or_are_rejected(message, data):
    frame = bytearray(encode(message)[LENGTH_BYTES:])
    if frame:
        at = data.draw(st.integers(0, len(frame) - 1))
        frame[at] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(0, len(frame)))
    try:
        decode(bytes(frame[:cut]))
    except LacewingdockError as error:
        assert error.kind is ErrorKind.BAD_LINK


@pytest.mark.parametrize(
    "payload",
    [b"", b"\x93", b"\x93\xa1x\xff\xc4\x00", b"\x93\xa1x\xc0\xc0", b"junk"],
)
def test_undecodable_frames_are_rejected(payload):
    with pytest.raises(LacewingdockError) as caught:
        decode(payload)
    assert caught.value.kind is ErrorKind.BAD_LINK
