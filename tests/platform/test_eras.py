"""Tests of the client of a store that is restored from an older copy."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec
import pytest

from lacewingdock.exceptions import LacewingdockError
from lacewingdock.platform.eras import EarlierEraError, StoreEras, read_era
from lacewingdock.platform.history import (
    MAX_COUNT,
    MAX_ERA,
    count_of,
    era_of,
    format_revision,
    revision_of,
)
from lacewingdock.platform.object_api import HistoryGoneError, ObjectApi


class Clock:
    """A clock whose time the test sets."""

    time = 10.0

    def now(self):
        return self.time


class Handler(BaseHTTPRequestHandler):
    """Returns the server's prepared answers, one for each request."""

    protocol_version = "HTTP/1.1"
    wbufsize = -1

    def do_GET(self):
        """Record the request and return the next answer."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.requests.append((self.command, self.path))
        status, eras, value = self.server.answers.pop(0)
        body = msgspec.json.encode(value)
        self.send_response(status)
        for era in eras:
            self.send_header("Store-Era", era)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        """Handle as a GET."""
        self.do_GET()

    def do_PUT(self):
        """Handle as a GET."""
        self.do_GET()

    def do_DELETE(self):
        """Handle as a GET."""
        self.do_GET()

    def log_message(self, *_):
        """Suppress the access log."""


@pytest.fixture
def server():
    found = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    found.answers, found.requests = [], []
    threading.Thread(target=found.serve_forever, daemon=True).start()
    yield found
    found.shutdown()
    found.server_close()


@pytest.fixture
def api(server):
    return ObjectApi(f"http://127.0.0.1:{server.server_address[1]}")


def page(revision, *names):
    """Return the answer to a list, with objects of the given names."""
    items = [{"metadata": {"name": one, "revision": revision}} for one in names]
    return {"items": items, "current_rev": revision}


def stored(revision):
    """Return an object at a revision, as in the store's answers."""
    return {"metadata": {"name": "a", "revision": revision}, "spec": {}}


@pytest.mark.parametrize(
    ("era", "count", "text"),
    [(0, 7, "0.7"), (3, 51, "3.51"), (MAX_ERA, MAX_COUNT, None), (3, 0, "0.0")],
)
def test_revision_holds_era_and_count(era, count, text):
    found = revision_of(era, count)
    assert 0 <= found < 2**63
    assert (era_of(found), count_of(found)) == (
        (era, count) if count else (0, 0)
    )
    assert format_revision(found) == (text or f"{era}.{count}")


def test_later_era_is_greater_than_all_of_an_earlier_one():
    assert revision_of(2, 1) > revision_of(1, MAX_COUNT)
    assert revision_of(1, 2) > revision_of(1, 1)


@pytest.mark.parametrize(
    ("values", "era"),
    [
        (["3"], 3),
        ([" 3 "], 3),
        (["3", "3"], 3),
        (["3", "4"], None),
        ([], None),
        ([""], None),
        (["-1"], None),
        (["x"], None),
        (["1.5"], None),
        (["³"], None),
        ([str(MAX_ERA)], MAX_ERA),
        ([str(MAX_ERA + 1)], None),
        (["9" * 5000], None),
    ],
)
def test_read_era(values, era):
    assert read_era(values) == era


def test_answer_without_a_readable_era_counts_as_of_the_current_one():
    """Guards against a router that receives nothing after a bad era header.

    An answer with an invalid header, or without one, must leave the current
    era in force.
    """
    eras = StoreEras(Clock())
    assert eras.observe([], 0) == 0
    assert eras.unreadable == 0
    assert eras.observe(["2"], 0) == 2
    for values in ([], ["x"], ["2", "3"], ["-1"]):
        assert eras.observe(values, 20) == 2
    assert (eras.unreadable, eras.restores) == (4, 0)


def test_late_answer_of_an_earlier_era_is_rejected():
    """Guards against applying lost state from an answer before a restore."""
    clock = Clock()
    eras, notified = StoreEras(clock), []
    eras.on_restore.append(lambda: notified.append(eras.era))
    eras.observe(["4"], 0)
    clock.time = 20.0
    assert eras.observe(["5"], 19.0) == 5
    with pytest.raises(EarlierEraError):
        eras.observe(["4"], 19.9)
    # A read that may be stale is rejected, whenever it began.
    with pytest.raises(EarlierEraError):
        eras.observe(["4"], 21.0, stale=True)
    assert (eras.era, eras.stale_answers, notified) == (5, 2, [5])


def test_wrong_era_lasts_until_the_next_answer():
    """Guards against rejecting all answers after one header with a wrong era.

    Cause: only higher eras were accepted, and the store never reached the wrong
    one.
    """
    clock = Clock()
    eras = StoreEras(clock)
    eras.observe(["4"], 0)
    eras.observe(["900000"], 9)
    clock.time = 11.0
    assert eras.observe(["4"], 10.5) == 4


def test_watch_from_an_earlier_era_is_not_sent(server, api):
    """Guards against missing a change that follows a restore of the store.

    Cause: the restored store reused the count from which the watch continued,
    and the change was made before it reached that count.
    """
    server.answers = [(200, ["1"], page(24, "a")), (200, ["2"], page(21, "a"))]
    revision = api.list_kind("servers", "test").revision
    api.list_kind("config", "test")
    with pytest.raises(HistoryGoneError):
        api.watch_kind("servers", revision, 0.0, "test")
    assert len(server.requests) == 2


@pytest.mark.parametrize("status", [200, 410])
def test_watch_answered_in_another_era_raises_history_gone(server, api, status):
    events = {"events": [], "current_rev": 30}
    server.answers = [(200, ["1"], page(24)), (status, ["2"], events)]
    revision = api.list_kind("servers", "test").revision
    with pytest.raises(HistoryGoneError):
        api.watch_kind("servers", revision, 0.0, "test")
    assert server.requests[1][1] == "/objects/servers?watch=24&wait_ms=0"


def test_list_with_pages_of_two_eras_raises(server, api):
    first = page(24, "a") | {"has_more": True}
    server.answers = [(200, ["1"], first), (200, ["2"], page(21, "b"))]
    with pytest.raises(LacewingdockError, match="between two pages"):
        api.list_kind("servers", "test")


WRITES = {
    "write": lambda api, at: api.write("k", "a", {}, at, "test"),
    "write_status": lambda api, at: api.write_status("k", "a", {}, at, "test"),
}


@pytest.mark.parametrize("write", WRITES)
def test_write_that_expects_a_lost_state_is_not_sent(server, api, write):
    """Guards against a write that replaces a state its writer never saw.

    Cause: the restored store reused the expected count for that state.
    """
    server.answers = [
        (200, ["1"], stored(24)),
        (200, ["2"], page(24)),
        (200, ["2"], stored(24)),
    ]
    current = api.read("k", "a", "test")
    api.list_kind("k", "test")
    written, found = WRITES[write](api, current.revision)
    assert (written, format_revision(found.revision)) == (False, "2.24")
    assert [method for method, _ in server.requests] == ["GET"] * 3


def test_removal_that_expects_a_lost_state_is_not_sent(server, api):
    server.answers = [
        (200, ["1"], stored(24)),
        (200, ["2"], page(24)),
        (200, ["2"], stored(24)),
    ]
    current = api.read("k", "a", "test")
    api.list_kind("k", "test")
    assert not api.remove("k", "a", current.revision, "test")
    assert [method for method, _ in server.requests] == ["GET"] * 3


@pytest.mark.parametrize("write", WRITES)
def test_write_overtaken_by_a_restore_has_unknown_outcome(server, api, write):
    """Guards against reporting success for a write over an unexpected state."""
    server.answers = [(200, ["1"], stored(24)), (200, ["2"], stored(25))]
    current = api.read("k", "a", "test")
    with pytest.raises(LacewingdockError) as caught:
        WRITES[write](api, current.revision)
    assert caught.value.ran == "unknown"
    assert server.requests[1][0] == "PUT"


def test_conflict_overtaken_by_a_restore_returns_current_object(server, api):
    server.answers = [(200, ["1"], stored(24)), (409, ["2"], stored(22))]
    current = api.read("k", "a", "test")
    written, found = api.write("k", "a", {}, current.revision, "test")
    assert (written, format_revision(found.revision)) == (False, "2.22")
