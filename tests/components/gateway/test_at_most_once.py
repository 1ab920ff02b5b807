"""Tests that a request is sent at most once, and of the answer to its caller.

Guards against a booking that is made twice. A reused connection to the
upstream dies before the first byte of the answer, after the upstream has run
the request. A client library that takes this for proof that nothing was run
sends the request again on a new connection by itself, as libcurl does.
"""

import pycurl
import pytest

from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import (
    Upstream,
    answer,
    ok,
    refuse,
    route,
    send,
)

HALF = b"HTTP/1.1 200 OK\r\nAttempt-Id: c-1\r\nRes"


def half_body(call_id):
    """Return an answer whose body is cut short."""
    return ok(call_id, b"whole body")[:-4]


# Steps of an upstream after which it is unknown whether the request ran.
RESPONSES = {
    "close before the answer": send(then="close"),
    "reset before the answer": send(then="reset"),
    "silent": send(then="silent"),
    "close in the head": send(HALF, then="close"),
    "reset in the head": send(HALF, then="reset"),
    "close in the body": send(half_body, then="close"),
    "reset in the body": send(half_body, then="reset"),
    "no http": send(b"garbage\r\n\r\n", then="close"),
    "no seal": send(
        lambda i: ok(i).replace(b"Response-Seal: s\r\n", b""), then="keep"
    ),
    "another encoding": send(
        lambda i: ok(i, extra=b"Content-Encoding: gzip\r\n"), then="keep"
    ),
}


@pytest.mark.parametrize("kept", [False, True], ids=["fresh", "kept"])
@pytest.mark.parametrize("response", RESPONSES)
def test_request_that_may_run_once_is_written_once(
    build_harness, response, kept
):
    first = [answer()] if kept else []
    upstreams = [Upstream(*first, RESPONSES[response]), Upstream()]
    harness = build_harness([route(Repeat.ONCE, timeout_s=0.5)], upstreams)
    harness.directory.remove("i-2", doubtful=False)
    if kept:
        assert harness.call(call_id="c-0")[0] == 200
    harness.directory.apply(upstreams[1].entry("i-2", failure_domain="d2"))
    status, headers, _ = harness.call(call_id="c-1")
    assert status in (502, 504)
    assert headers["attempt-id"] == "c-1"
    written = [
        head
        for upstream in upstreams
        for head in upstream.requests
        if "Attempt-Id: c-1" in head
    ]
    assert len(written) == 1
    assert upstreams[0].connections == 1


@pytest.mark.parametrize("response", RESPONSES)
def test_request_that_may_repeat_is_answered_by_another(
    build_harness, response
):
    upstreams = [Upstream(RESPONSES[response]), Upstream()]
    harness = build_harness([route()], upstreams)
    harness.directory.apply(upstreams[1].entry("i-2", failure_domain="d2"))
    status, _, body = harness.call()
    assert (status, body) == (200, b"done")
    assert [len(u.requests) for u in upstreams] == [1, 1]


@pytest.mark.parametrize(
    ("attempts", "status", "sent"), [(1, 503, 1), (3, 200, 2)]
)
def test_only_a_refusal_of_the_upstream_proves_not_run(
    build_harness, attempts, status, sent
):
    upstreams = [Upstream(refuse()), Upstream()]
    harness = build_harness(
        [route(Repeat.ONCE, max_attempts=attempts)], upstreams
    )
    harness.directory.apply(upstreams[1].entry("i-2", failure_domain="d2"))
    found, headers, _ = harness.call()
    assert found == status
    assert sum(len(u.requests) for u in upstreams) == sent
    if status == 503:
        assert 0 < float(headers["retry-after"]) < 1


def test_unreached_upstream_is_no_attempt(build_harness):
    gone, live = Upstream(), Upstream()
    harness = build_harness([route(Repeat.ONCE, max_attempts=1)], [gone, live])
    harness.directory.apply(live.entry("i-2", failure_domain="d2"))
    gone.close()
    assert harness.call()[0] == 200


def test_no_refusal_once_an_attempt_may_have_run(build_harness):
    """Guards against a refusal as "not run" of a request that ran.

    The instance runs the request, closes the connection and is removed, and
    there is no other instance. The lack of an instance must not be answered as
    if nothing had been sent.
    """
    build_one_route = []

    def run_and_leave(*_):
        build_one_route[0].directory.remove("i-1", doubtful=False)
        return False

    upstream = Upstream(run_and_leave)
    build_one_route.append(build_harness([route()], [upstream]))
    status, _, body = build_one_route[0].call()
    assert (status, b'"ran":"unknown"' in body) == (502, True)


def test_upstreams_own_failure_is_passed_on_unchanged(build_harness):
    upstream = Upstream(answer(b"why", status=b"500 Oops"))
    harness = build_harness([route(Repeat.ONCE)], [upstream])
    status, headers, body = harness.call()
    assert (status, headers["response-seal"], body) == (500, "s", b"why")


def test_late_second_answer_is_discarded_by_its_id(build_harness):
    """Guards against an answer to another caller's request.

    An upstream sends a late second answer to an earlier request, where the
    answer to the next one is due. Answers must be matched by their ids.
    """
    late = send(lambda i: ok(i), then="keep")
    second = send(
        lambda _: ok(b"c-0", b"again"), lambda i: ok(i, b"mine"), then="keep"
    )
    harness = build_harness([route(Repeat.ONCE)], [Upstream(late, second)])
    sock = harness.connect()
    assert harness.call(sock, call_id="c-0")[2] == b"done"
    assert harness.call(sock, call_id="c-1")[2] == b"mine"


def test_connection_with_extra_bytes_is_not_reused(build_harness):
    extra = send(lambda i: ok(i) + ok(i, b"again"), then="keep")
    upstream = Upstream(extra, answer(b"mine"))
    harness = build_harness([route(Repeat.ONCE)], [upstream])
    assert harness.call(call_id="c-0")[2] == b"done"
    assert harness.call(call_id="c-1")[2] == b"mine"
    assert upstream.connections == 2


def test_callers_cannot_set_the_routers_headers(build_harness):
    upstream = Upstream()
    harness = build_harness([route()], [upstream])
    extra = (
        "Tenant: other\r\nHold: h\r\nPin-Ms: 9\r\nKv-From: a\r\n"
        "Kv-Backup: b\r\nExpect-Instance: x\r\nKeep-Alive: 5\r\n"
        "X-Mine: yes\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
    )
    assert harness.call(extra=extra)[0] == 200
    lines = upstream.requests[0].split("\r\n")
    assert lines[0] == "POST /r/x?q=1 HTTP/1.1"
    found = {line.split(": ")[0].lower() for line in lines[1:]}
    assert {"x-mine", "host", "attempt-id"} <= found
    assert not found & {
        "hold",
        "pin-ms",
        "kv-from",
        "kv-backup",
        "credential",
        "keep-alive",
        "x-hop",
        "connection",
    }
    assert "Tenant: other" not in lines
    assert [one for one in lines if one.lower().startswith("tenant")] == [
        "tenant: w-1"
    ]
    assert "expect-instance: i-1" in lines
    left = next(one for one in lines if one.startswith("deadline-ms"))
    assert 1000 < int(left.split(": ")[1]) <= 1500
    assert upstream.bodies == [b"hello"]


def test_why_libcurl_is_not_used_here():
    """The library sends a request again when a reused connection closes."""
    once = Upstream(answer(), send(then="close"), answer())
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"http://127.0.0.1:{once.port}/")
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.POSTFIELDS, "booking")
    curl.setopt(pycurl.HTTPHEADER, ["Attempt-Id: c-1"])
    curl.setopt(pycurl.WRITEFUNCTION, lambda _: None)
    for _ in range(2):
        curl.perform()
    assert len(once.requests) == 3
