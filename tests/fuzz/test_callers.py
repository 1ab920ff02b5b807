"""Fuzz tests of what callers send."""

import base64
import threading

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from werkzeug.wrappers import Request

from lacewingdock.components.callers.requests import read_caller, read_chat
from lacewingdock.components.sessions import open_session
from lacewingdock.core import Daemon
from lacewingdock.links.keys import KeyRing
from lacewingdock.settings import EntrySettings, load_settings
from tests.fuzz.common import DEEP, coded, fuzzed, json_bytes, json_values


def _base64(part):
    return base64.urlsafe_b64encode(part).decode()


@fuzzed
@given(
    st.text(max_size=60)
    | st.lists(st.binary(max_size=30), min_size=3, max_size=3).map(
        lambda parts: ".".join(map(_base64, parts))
    )
)
def test_session_token(token):
    assert coded(open_session, token, "w", KeyRing("x", {"k": b"s"})) is None
    coded(open_session, token, "w", KeyRing(""))


@fuzzed
@given(
    json_bytes
    | st.fixed_dictionaries(
        {"model": json_values, "messages": json_values},
        optional={"stream": json_values},
    ).map(msgspec.json.encode)
)
@example(b"[" * DEEP)
@example(b'{"a":' * DEEP)
@example(b'{"model":"m","messages":[],"x":"\\ud800"}')
def test_chat_body(body):
    chat = coded(read_chat, body)
    if chat is not None:
        msgspec.json.encode(chat.fields)


@fuzzed
@given(
    st.dictionaries(
        st.sampled_from(
            [
                "Authorization",
                "Idempotency-Key",
                "Last-Event-ID",
                "Lacewingdock-Session",
                "Lacewingdock-Priority",
                "Lacewingdock-Timeout",
                "traceparent",
                "Content-Type",
            ]
        ),
        st.text(st.characters(max_codepoint=255), max_size=12),
    ),
    st.text(st.characters(max_codepoint=255), max_size=8),
)
def test_headers_that_go_on_to_the_upstream(headers, query):
    # Not ASCII: the upstream's call could not be made, the run never ended
    # and the caller waited for its deadline.
    environ = {
        "HTTP_" + name.upper().replace("-", "_"): value
        for name, value in headers.items()
    }
    environ["CONTENT_TYPE"] = headers.get("Content-Type", "")
    environ["HTTP_AUTHORIZATION"] = "Bearer key"
    environ["QUERY_STRING"] = query
    request = Request(environ)
    if caller := coded(read_caller, request, "r1", 10.0):
        passed = (caller.key, caller.traceparent, request.content_type or "")
        assert "".join(passed).isascii()
        assert request.query_string.isascii()


@pytest.mark.parametrize("opening", [b"[", b'{"a":'])
def test_deep_nesting_does_not_end_a_daemon(opening):
    # In a task with a small stack the decoder ran out of it and the process
    # ended: one body of 900 bytes stopped an entry.
    settings_ = load_settings(
        EntrySettings,
        {
            "instance": "e",
            "failure_domain": "d",
            "platform": "http://127.0.0.1:1",
            "port": 0,
            "plain_links": True,
            "plain_callers": True,
        },
        {},
    )
    daemon = Daemon(settings_)
    try:
        for depth in (900, 990, DEEP):
            body = opening * depth
            daemon.executor.submit(coded, read_chat, body).result(10)
    finally:
        daemon.stop()
        threading.stack_size(0)
