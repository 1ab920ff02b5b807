"""Tests for the client of the platform's object API."""

import contextlib
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.budget import CallBudget
from lacewingdock.platform.store import ObjectStore


class Handler(BaseHTTPRequestHandler):
    """Answers what the server was told to, in turn; the last one for good."""

    protocol_version = "HTTP/1.1"
    wbufsize = -1

    def do_GET(self):
        """Answer."""
        server = self.server
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        server.asked.append((self.command, self.headers["If-None-Match"]))
        status, body, tag = server.answers[0]
        if len(server.answers) > 1:
            server.answers.pop(0)
        self.send_response(status)
        if tag:
            self.send_header("ETag", tag)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if status != 304:
            self.wfile.write(body)

    def do_PUT(self):
        """Answer."""
        self.do_GET()

    def log_message(self, *_):
        """Say nothing."""


@pytest.fixture(scope="module")
def server():
    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.shutdown()
    server.server_close()


def store_of(server, *answers):
    server.answers = [
        answer if len(answer) > 2 else (*answer, "") for answer in answers
    ]
    server.asked = []
    return ObjectStore(f"http://127.0.0.1:{server.server_address[1]}")


CALLS = {
    "get": lambda store: store.get("config", "a", "test"),
    "list": lambda store: store.list_all("config", "test"),
    "watch": lambda store: store.watch("config", 1, "test"),
    "put": lambda store: store.put("config", "a", {}, 0, "test"),
    "instances": lambda store: store.instances(),
}


@pytest.mark.parametrize("call", CALLS)
@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    status=st.sampled_from([200, 302, 400, 404, 409, 429, 500, 503]),
    body=st.one_of(
        st.binary(max_size=60),
        st.sampled_from([b"null", b"[1]", b'{"revision": -1e9}', b"<html>"]),
        st.recursive(
            st.none() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["revision", "objects", "name", "value"]),
                    inner,
                    max_size=3,
                )
            ),
            max_leaves=6,
        ).map(msgspec.json.encode),
    ),
)
def test_any_answer_gives_a_value_or_a_coded_error(server, call, status, body):
    """Symptom: a daemon never again hears of a change, and logs nothing more.

    A balancer before the platform answers 429 or a page of its own. Cause:
    the error was none of the coded ones, so the task that reads the
    configuration ended.
    """
    store = store_of(server, (status, body))
    with contextlib.suppress(LacewingdockError):
        CALLS[call](store)


@pytest.mark.parametrize(
    ("answers", "kind", "ran"),
    [
        ([(429, b"")], ErrorKind.PLATFORM_UNAVAILABLE, "no"),
        ([(409, b'{"revision": 4}')], ErrorKind.CONFLICT, "no"),
        # The answer is lost; the object is still the old one.
        ([(503, b""), (404, b"{}")], ErrorKind.PLATFORM_UNAVAILABLE, "unknown"),
        # The answer is lost; somebody wrote after, perhaps over this write.
        (
            [(503, b""), (200, b'{"name": "a", "revision": 9, "writer": "x"}')],
            ErrorKind.CONFLICT,
            "unknown",
        ),
        (
            [(200, b"<html>"), (503, b"")],
            ErrorKind.PLATFORM_UNAVAILABLE,
            "unknown",
        ),
    ],
)
def test_write_says_whether_it_took_effect(server, answers, kind, ran):
    store = store_of(server, *answers)
    with pytest.raises(LacewingdockError) as caught:
        store.put("config", "a", {}, 0, "test")
    assert (caught.value.kind, caught.value.ran) == (kind, ran)


def test_unchanged_instance_list_is_not_sent_again(server):
    entry = {"name": "e", "role": "entry", "failure_domain": "d"}
    listed = msgspec.json.encode([{**entry, "address": "127.0.0.1:1"}])
    store = store_of(server, (200, listed, '"7"'), (304, b"", '"7"'))
    assert store.instances() == store.instances() != []
    assert server.asked[1] == ("GET", '"7"')


def test_budget_refuses_a_loop_without_a_pause():
    budget = CallBudget(rate=1e-9, burst=3)
    for _ in range(3):
        budget.take()
    with pytest.raises(LacewingdockError) as caught:
        budget.take()
    assert (caught.value.ran, budget.refused) == ("no", 1)
