"""Tests of the client of a store that comes back from an older copy."""

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
    """A clock that a test sets."""

    time = 10.0

    def now(self):
        return self.time


class Handler(BaseHTTPRequestHandler):
    """Answers what the server was told to, in turn."""

    protocol_version = "HTTP/1.1"
    wbufsize = -1

    def do_GET(self):
        """Answer."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.asked.append((self.command, self.path))
        status, eras, value = self.server.answers.pop(0)
        body = msgspec.json.encode(value)
        self.send_response(status)
        for era in eras:
            self.send_header("Store-Era", era)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        """Answer."""
        self.do_GET()

    def do_PUT(self):
        """Answer."""
        self.do_GET()

    def do_DELETE(self):
        """Answer."""
        self.do_GET()

    def log_message(self, *_):
        """Say nothing."""


@pytest.fixture
def server():
    found = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    found.answers, found.asked = [], []
    threading.Thread(target=found.serve_forever, daemon=True).start()
    yield found
    found.shutdown()
    found.server_close()


@pytest.fixture
def api(server):
    return ObjectApi(f"http://127.0.0.1:{server.server_address[1]}")


def page(revision, *names):
    """Return a list's answer."""
    items = [{"metadata": {"name": one, "revision": revision}} for one in names]
    return {"items": items, "current_rev": revision}


def stored(revision):
    """Return an object as an answer has it."""
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


def test_later_era_is_beyond_all_of_an_earlier_one():
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
def test_era_that_an_answer_names(values, era):
    assert read_era(values) == era


def test_answer_without_a_readable_era_counts_as_of_the_known_one():
    """Symptom: a router is deaf since an answer bore an odd header, or none."""
    eras = StoreEras(Clock())
    assert eras.observe([], 0) == 0
    assert eras.unreadable == 0
    assert eras.observe(["2"], 0) == 2
    for values in ([], ["x"], ["2", "3"], ["-1"]):
        assert eras.observe(values, 20) == 2
    assert (eras.unreadable, eras.restores) == (4, 0)


def test_late_answer_of_an_earlier_era_says_nothing():
    """Symptom: what was lost comes back into force with a late answer."""
    clock = Clock()
    eras, told = StoreEras(clock), []
    eras.on_restore.append(lambda: told.append(eras.era))
    eras.observe(["4"], 0)
    clock.time = 20.0
    assert eras.observe(["5"], 19.0) == 5
    with pytest.raises(EarlierEraError):
        eras.observe(["4"], 19.9)
    # A read that may be behind says nothing, whenever it began.
    with pytest.raises(EarlierEraError):
        eras.observe(["4"], 21.0, stale=True)
    assert (eras.era, eras.stale_answers, told) == (5, 2, [5])


def test_era_that_the_store_never_had_lasts_until_its_next_answer():
    """Symptom: one wrong header makes a router deaf for good.

    Cause: only a higher era was believed, and the wrong one was never reached.
    """
    clock = Clock()
    eras = StoreEras(clock)
    eras.observe(["4"], 0)
    eras.observe(["900000"], 9)
    clock.time = 11.0
    assert eras.observe(["4"], 10.5) == 4


def test_watch_from_an_earlier_era_is_not_asked_for(server, api):
    """Symptom: a change after the store's return is never heard of.

    Cause: the count that the watch goes on from was given out again, and the
    change came before it.
    """
    server.answers = [(200, ["1"], page(24, "a")), (200, ["2"], page(21, "a"))]
    revision = api.list_kind("servers", "test").revision
    api.list_kind("config", "test")
    with pytest.raises(HistoryGoneError):
        api.watch_kind("servers", revision, 0.0, "test")
    assert len(server.asked) == 2


@pytest.mark.parametrize("status", [200, 410])
def test_watch_that_is_answered_in_another_era_is_a_gap(server, api, status):
    events = {"events": [], "current_rev": 30}
    server.answers = [(200, ["1"], page(24)), (status, ["2"], events)]
    revision = api.list_kind("servers", "test").revision
    with pytest.raises(HistoryGoneError):
        api.watch_kind("servers", revision, 0.0, "test")
    assert server.asked[1][1] == "/objects/servers?watch=24&wait_ms=0"


def test_list_whose_pages_are_of_two_eras_is_none(server, api):
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
    """Symptom: a write goes over a state that its writer never saw.

    Cause: the count that it expected was given out again for that state.
    """
    server.answers = [
        (200, ["1"], stored(24)),
        (200, ["2"], page(24)),
        (200, ["2"], stored(24)),
    ]
    known = api.read("k", "a", "test")
    api.list_kind("k", "test")
    written, found = WRITES[write](api, known.revision)
    assert (written, format_revision(found.revision)) == (False, "2.24")
    assert [method for method, _ in server.asked] == ["GET"] * 3


def test_removal_that_expects_a_lost_state_is_not_sent(server, api):
    server.answers = [
        (200, ["1"], stored(24)),
        (200, ["2"], page(24)),
        (200, ["2"], stored(24)),
    ]
    known = api.read("k", "a", "test")
    api.list_kind("k", "test")
    assert not api.remove("k", "a", known.revision, "test")
    assert [method for method, _ in server.asked] == ["GET"] * 3


@pytest.mark.parametrize("write", WRITES)
def test_write_that_the_return_overtakes_is_not_settled(server, api, write):
    """Symptom: a write that met another state than expected counts as good."""
    server.answers = [(200, ["1"], stored(24)), (200, ["2"], stored(25))]
    known = api.read("k", "a", "test")
    with pytest.raises(LacewingdockError) as caught:
        WRITES[write](api, known.revision)
    assert caught.value.ran == "unknown"
    assert server.asked[1][0] == "PUT"


def test_refusal_that_the_return_overtakes_shows_what_is_there(server, api):
    server.answers = [(200, ["1"], stored(24)), (409, ["2"], stored(22))]
    known = api.read("k", "a", "test")
    written, found = api.write("k", "a", {}, known.revision, "test")
    assert (written, format_revision(found.revision)) == (False, "2.22")
