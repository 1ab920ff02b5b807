"""Tests of the messages between watchers and followers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingdock.components.relay import (
    FreshnessQuery,
    FreshnessReport,
    KindState,
    decode,
    encode,
)
from lacewingdock.components.relay.const import MAX_AGE_MS, MAX_BYTES, MAX_KINDS
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from tests.fuzz.common import coded, fuzzed, json_bytes

STATE = KindState(7, 40, 41, 1200)


@pytest.mark.parametrize(
    "message",
    [
        FreshnessQuery("r-1", 5),
        FreshnessReport("r-2", 5, [STATE], True, 300),
        FreshnessReport("r-2", 0, []),
    ],
)
def test_message_round_trip(message):
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    "message",
    [
        FreshnessReport("r", 1, [KindState(1, 5, 4, 0)]),
        FreshnessReport("r", 1, [KindState(1, -1, 4, 0)]),
        FreshnessReport("r", 1, [KindState(1, 3, 4, -1)]),
        FreshnessReport("r", 1, [KindState(1, 3, 4, MAX_AGE_MS + 1)]),
        FreshnessReport("r", 1, [], False, -1),
        FreshnessReport("r", 1, [STATE] * (MAX_KINDS + 1)),
    ],
)
def test_state_out_of_bounds_is_refused(message):
    with pytest.raises(LacewingdockError) as caught:
        decode(encode(message))
    assert caught.value.kind is ErrorKind.BAD_REQUEST


def test_all_kinds_fit_in_a_message():
    longest = KindState(2**32 - 1, 2**40, 2**40, MAX_AGE_MS)
    report = FreshnessReport(
        "r" * 64, 2**40, [longest] * MAX_KINDS, True, MAX_AGE_MS
    )
    assert len(encode(report)) < MAX_BYTES


@fuzzed
@given(st.binary(max_size=80) | json_bytes)
def test_any_bytes_decode_or_raise_a_coded_error(data):
    coded(decode, data)
