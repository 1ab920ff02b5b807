"""Tests of the messages between routers and sidecars."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingdock.components.probes import (
    Load,
    LoadQuery,
    RequestNotice,
    decode,
    encode,
)
from lacewingdock.components.probes.const import MAX_BYTES, MAX_UNREAD
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.engine_report import decode_report
from tests.fuzz.common import coded, fuzzed, json_bytes


@pytest.mark.parametrize(
    "message",
    [LoadQuery(2**31), Load(3, 17, 4.5), RequestNotice("c" * 64, MAX_UNREAD)],
)
def test_message_round_trip(message):
    data = encode(message)
    assert decode(data) == message
    assert len(data) < MAX_BYTES


@pytest.mark.parametrize(
    "message",
    [
        Load(1, -1, 0.0),
        Load(1, 1, -0.5),
        Load(1, 1, float("nan")),
        RequestNotice("c", float("inf")),
        RequestNotice("c", MAX_UNREAD * 2),
    ],
)
def test_value_out_of_bounds_is_refused(message):
    with pytest.raises(LacewingdockError) as caught:
        decode(encode(message))
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@fuzzed
@given(st.binary(max_size=80) | json_bytes)
def test_any_bytes_decode_or_raise_a_coded_error(data):
    coded(decode, data)


@fuzzed
@given(st.binary(max_size=80) | json_bytes)
def test_any_report_decodes_or_raises_a_coded_error(data):
    coded(decode_report, data)


def test_report():
    found = decode_report(
        b'{"stage":"both","queued":2,"active":3,"kv_used":7,"state":"ready",'
        b'"runs":[["a",1200,0,1],["b",900,17,0]],"next":10}'
    )
    assert (found.running, found.waiting) == (3, 2)
    assert found.events == {"a": 0, "b": 17}


@pytest.mark.parametrize("body", [b"{}", b'{"active":-1,"queued":0}', b"[]"])
def test_malformed_report_raises_a_coded_error(body):
    with pytest.raises(LacewingdockError) as caught:
        decode_report(body)
    assert caught.value.kind is ErrorKind.UPSTREAM_FAILED
