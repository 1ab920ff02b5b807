"""Tests of the client of values in the platform's object API."""

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
    """Returns the server's prepared answers in turn, and repeats the last."""

    protocol_version = "HTTP/1.1"
    wbufsize = -1

    def do_GET(self):
        """Record the request and return the next answer."""
        server = self.server
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        server.requests.append((self.command, self.path))
        status, body = server.answers[0]
        if len(server.answers) > 1:
            server.answers.pop(0)
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if status != 304:
            self.wfile.write(body)

    def do_POST(self):
        """Handle as a GET."""
        self.do_GET()

    def do_PUT(self):
        """Handle as a GET."""
        self.do_GET()

    def log_message(self, *_):
        """Suppress the access log."""


@pytest.fixture(scope="module")
def server():
    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.shutdown()
    server.server_close()


def store_of(server, *answers):
    server.answers = list(answers)
    server.requests = []
    return ObjectStore(f"http://127.0.0.1:{server.server_address[1]}")


def encoded_value(revision, writer):
    """Return an encoded value at a revision, as in the platform's answers."""
    metadata = {"name": "a", "revision": revision}
    spec = {"value": 1, "writer": writer}
    return msgspec.json.encode({"metadata": metadata, "spec": spec})


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
        st.sampled_from([b"null", b"[1]", b'{"current_rev": -1e9}', b"<html>"]),
        st.recursive(
            st.none() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["current_rev", "items", "events", "metadata", "spec"]
                    ),
                    inner,
                    max_size=3,
                )
            ),
            max_leaves=6,
        ).map(msgspec.json.encode),
    ),
)
def test_any_answer_gives_a_value_or_a_coded_error(server, call, status, body):
    """Guards against a daemon that stops receiving changes and logs nothing.

    A load balancer before the platform answered 429 or a page of its own.
    Cause: the error was not a coded one, so the task that reads the
    configuration ended.
    """
    store = store_of(server, (status, body))
    with contextlib.suppress(LacewingdockError):
        CALLS[call](store)


@pytest.mark.parametrize(
    ("answers", "kind", "ran"),
    [
        ([(429, b"")], ErrorKind.PLATFORM_UNAVAILABLE, "no"),
        # With this status the platform reports that it did nothing.
        ([(503, b"")], ErrorKind.PLATFORM_UNAVAILABLE, "no"),
        ([(409, encoded_value(4, "x"))], ErrorKind.CONFLICT, "no"),
        # The answer is lost; the object is still the old one.
        ([(500, b""), (404, b"{}")], ErrorKind.PLATFORM_UNAVAILABLE, "unknown"),
        # The answer is lost; another write followed, perhaps over this one.
        (
            [(500, b""), (200, encoded_value(9, "x"))],
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
def test_failed_write_reports_whether_it_took_effect(
    server, answers, kind, ran
):
    store = store_of(server, *answers)
    with pytest.raises(LacewingdockError) as caught:
        store.put("config", "a", {}, 0, "test")
    assert (caught.value.kind, caught.value.ran) == (kind, ran)


def test_repeated_write_that_took_effect_is_no_conflict(server):
    """Guards against a conflict of a write with its own first attempt.

    A daemon that had acquired a lease concluded that another holder had it. The
    kept connection dies after the platform applied the write, and the HTTP
    library repeats the write on a new one. Cause: a conflict was reported
    without comparing the writers.
    """
    store = store_of(server, (409, encoded_value(9, "me")))
    assert store.put("config", "a", 1, 0, "test", writer="me").revision == 9


def test_only_changes_of_the_instance_list_are_fetched_again(server):
    entry = {"name": "e", "role": "entry", "failure_domain": "d"}
    spec = {**entry, "address": "127.0.0.1:1"}
    item = {"metadata": {"name": "e", "revision": 7}, "spec": spec}
    page = msgspec.json.encode({"items": [item], "current_rev": 8})
    none = msgspec.json.encode({"events": [], "current_rev": 9})
    store = store_of(server, (200, page), (200, none))
    assert store.instances() == store.instances() != []
    assert server.requests[1] == ("GET", "/objects/instances?watch=8&wait_ms=0")


def test_watch_continues_from_the_last_platform_revision(server):
    """Guards against listing an unchanged collection every few seconds.

    While other kinds change, the revision of the collection's last change
    drops out of the history. Cause: each watch started from that revision.
    """
    page = msgspec.json.encode({"items": [], "current_rev": 50})
    none = msgspec.json.encode({"events": [], "current_rev": 90})
    store = store_of(server, (200, page), (200, none))
    head = store.list_all("config", "test").revision
    head = store.watch("config", head, "test").revision
    store.watch("config", head, "test")
    paths = [path for _, path in server.requests]
    assert [path.partition("watch=")[2][:2] for path in paths[1:]] == [
        "50",
        "90",
    ]


def test_dropped_history_is_replaced_by_a_list(server):
    item = {"metadata": {"name": "a", "revision": 60}, "spec": {"value": 1}}
    page = msgspec.json.encode({"items": [item], "current_rev": 70})
    store = store_of(server, (410, b"{}"), (200, page))
    found = store.watch("config", 5, "test")
    assert [(one.name, one.value) for one in found.objects] == [("a", 1)]


def test_listing_reads_every_page(server):
    pages = [
        msgspec.json.encode(
            {
                "items": [{"metadata": {"name": name, "revision": 1}}],
                "has_more": name == "a",
                "current_rev": revision,
            }
        )
        for name, revision in (("a", 5), ("b", 8))
    ]
    store = store_of(server, *((200, page) for page in pages))
    found = store.list_kind("config", "test")
    assert (found.revision, sorted(found.objects)) == (5, ["a", "b"])
    assert server.requests[1] == ("GET", "/objects/config?since_rev=a")


def test_budget_refuses_calls_in_a_tight_loop():
    budget = CallBudget(rate=1e-9, burst=3)
    for _ in range(3):
        budget.take()
    with pytest.raises(LacewingdockError) as caught:
        budget.take()
    assert (caught.value.ran, budget.refused) == ("no", 1)
