"""Tests of poison requests, which crash the instances that run them."""

import socket

import pytest

from lacewingdock.components.poison_requests import fingerprint_of
from lacewingdock.components.poison_requests.report import CrashReport
from lacewingdock.components.upstreams.pool import ConnectionPool
from lacewingdock.world.call import Call
from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import (
    END,
    LINGER_NONE,
    Upstream,
    answer,
    event,
    ok,
    route,
    send,
    stream_head,
)


def crash(upstream):
    """Return a step that closes the instance and the request's connection."""

    def step(*_):
        upstream.close()
        return False

    return step


def crashing(count):
    """Return instances that each crash at their first request."""
    found = [Upstream() for _ in range(count)]
    for upstream in found:
        upstream.steps = [crash(upstream)]
    return found


@pytest.mark.parametrize("repeat", [Repeat.IDEMPOTENT, Repeat.ONCE])
def test_poison_request_is_refused(build_harness, repeat):
    """Guards against one request that takes down all instances.

    The request is lost at an instance, and is repeated by the router where the
    route allows it, and by its caller. Without a record of the losses each
    repeat takes down another instance.
    """
    upstreams = crashing(6)
    harness = build_harness([route(repeat, max_attempts=2)], upstreams)
    statuses = []
    for number in range(8):
        status, headers, _ = harness.call(call_id=f"c-{number}", body=b"bad")
        statuses.append(status)
    assert sum(not one.steps for one in upstreams) == 3
    assert statuses[-1] == 429
    assert float(headers["retry-after"]) > 10
    assert set(statuses) == {502, 429}
    # Requests refused as not run reached no instance.
    refused = [f"c-{n}" for n, one in enumerate(statuses) if one == 429]
    heads = [head for one in upstreams for head in one.requests]
    assert not [i for i in refused for head in heads if f"{i}\r" in head]


def replaced(upstream):
    """Return a step that resets, after which another instance answers."""

    def step(sock, *_):
        upstream.named = b"next"
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        return False

    return step


def test_new_incarnation_at_the_address_is_no_sign_of_life(build_harness):
    """Guards against a crash that is taken for a mere connection loss.

    One request crashed engine after engine: when the health check came after a
    crash, a new incarnation accepted connections at the address, and counted
    as the engine that had lost the request.
    """
    upstreams = [Upstream() for _ in range(6)]
    for upstream in upstreams:
        upstream.steps = [replaced(upstream)]
    harness = build_harness([route(Repeat.ONCE)], upstreams)
    for number in range(8):
        harness.call(call_id=f"c-{number}", body=b"bad")
    assert sum(not one.steps for one in upstreams) == 3
    assert harness.directory.replaced_seen == 3


def send_in_part(upstream, *parts, ends):
    """Return a step that sends parts and resets; `ends` also closes."""

    def step(sock, call_id, _):
        for part in parts:
            sock.sendall(part(call_id) if callable(part) else part)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        if ends:
            upstream.close()
        return False

    return step


@pytest.mark.parametrize(
    ("ends", "held"), [(True, True), (False, False)], ids=["ends", "lives"]
)
def test_broken_streams_count_where_the_instance_ended(
    build_harness, ends, held
):
    """Guards against a crash after the first event that is not recorded.

    A reset by an instance that stays alive is no evidence against a request.
    """
    whole = send(stream_head, event(1), END, then="keep")
    upstreams = [Upstream() for _ in range(3)]
    for upstream in upstreams:
        first = (stream_head, event(1))
        broken = send_in_part(upstream, *first, ends=ends)
        upstream.steps = [broken, *[whole] * 4]
    harness = build_harness([route(Repeat.ONCE, streaming=True)], upstreams)
    for number in range(len(upstreams)):
        for other in harness.directory.instances.values():
            other.superseded = other.entry.id != f"i-{number + 1}"
        with pytest.raises(EOFError):
            harness.call(call_id=f"c-{number}", body=b"bad")
    for other in harness.directory.instances.values():
        other.superseded = False
    assert (harness.call(call_id="c-9", body=b"bad")[0] == 429) is held


@pytest.mark.parametrize(
    "between",
    [
        answer(b"failed", status=b"500 Error"),
        send(
            lambda i: stream_head(i, b"Confidence: 1\r\n"),
            then="keep",
        ),
    ],
    ids=["a failure", "an unsure head"],
)
def test_incomplete_run_clears_no_evidence(build_harness, between):
    """Guards against evidence that is cleared between two crashes.

    A poison request crashed engine after engine. An engine that fails some of
    its requests answered it with 500, or the head of a small model's answer
    arrived before the crash, and either one cleared all evidence.
    """
    upstreams = crashing(5)
    models = ("small", "large")
    changes = {"streaming": True, "models": models, "max_attempts": 3}
    harness = build_harness([route(Repeat.RESUMABLE, **changes)], upstreams)
    suspects, extra = harness.suspects, "Model: *\r\n"
    for number, upstream in enumerate(upstreams[:3]):
        if number == 2:
            upstream.steps.insert(0, between)
        for other in harness.directory.instances.values():
            other.superseded = other.entry.id != f"i-{number + 1}"
        while upstream.steps:
            harness.call(call_id=f"c-{number}", body=b"bad", extra=extra)
    assert suspects.held() == 1


def report_crashes(harness, body):
    """Receive a report of three crashes of a request from another router."""
    names = [f"gone-{number}" for number in range(3)]
    request = Call("x", b"POST", b"/r/x?q=1", "h.example", "/r/x", body=body)
    losses = {fingerprint_of(request, "w-1"): names}
    harness.suspects.receive("r-2", CrashReport(losses))


class InterceptedPool(ConnectionPool):
    """A connection pool that calls `meanwhile` as a connection is opened."""

    __slots__ = ("meanwhile",)

    def acquire(self, entry, call_id, timeout_s):
        self.meanwhile()
        return super().acquire(entry, call_id, timeout_s)


def test_waiting_request_is_not_sent_after_evidence(build_harness):
    """Guards against sending admitted copies of a poison request.

    A copy is admitted and waits for a connection; meanwhile other routers
    report its crashes. The evidence must be checked again before it is sent.
    """
    upstream = Upstream()
    harness = build_harness([route()], [upstream])
    harness.gateway.pool = InterceptedPool()
    harness.gateway.pool.meanwhile = lambda: report_crashes(harness, b"bad")
    assert harness.call(body=b"bad")[0] == 429
    assert upstream.requests == []
    assert harness.call(body=b"good")[0] == 200


def test_request_is_not_retried_after_evidence(build_harness):
    """Guards against a retry after evidence; the first answer is passed on."""
    upstreams = [Upstream(), Upstream()]
    harness = build_harness([route()], upstreams)

    def fail_with_evidence(sock, call_id, _):
        report_crashes(harness, b"bad")
        sock.sendall(ok(call_id, b"failed", b"", b"500 Error"))

    for upstream in upstreams:
        upstream.steps = [fail_with_evidence]
    assert harness.call(body=b"bad")[0] == 500
    assert sum(len(one.requests) for one in upstreams) == 1


def test_answer_of_a_new_incarnation_is_no_sign_of_life(build_harness):
    """Guards against a new incarnation's answers keeping a dead one alive."""
    other = b"Not-Executed: 1\r\nInstance-Id: next\r\n"
    upstream = Upstream(answer(b"", other, b"421 Misdirected"))
    harness = build_harness([route(Repeat.ONCE)], [upstream])
    instance = harness.directory.instances["i-1"]
    assert harness.call(body=b"any")[0] == 503
    assert instance.last_received_at == 0.0
    assert instance.answered_at < 0.0


def test_other_requests_are_served(build_harness):
    upstreams = [*crashing(3), Upstream()]
    harness = build_harness([route(max_attempts=2)], upstreams)
    for number in range(4):
        harness.call(call_id=f"c-{number}", body=b"bad")
    for number in range(6):
        call_id, body = f"d-{number}", b"good %d" % number
        status, _, _ = harness.call(call_id=call_id, body=body)
        assert status == 200


@pytest.mark.parametrize(
    "response",
    [
        send(b"garbage\r\n\r\n", then="close"),
        send(lambda i: unsealed_answer(i), then="keep"),
        send(then="silent"),
        send(lambda i: stream_head(i), then="keep"),
    ],
    ids=["no http", "no seal", "silent", "stream without an event"],
)
def test_invalid_answers_are_no_crashes(build_harness, response):
    upstreams = [
        Upstream(response),
        Upstream(response),
        Upstream(response),
        Upstream(),
    ]
    harness = build_harness([route(max_attempts=3, timeout_s=0.6)], upstreams)
    for number in range(3):
        harness.call(call_id=f"c-{number}")
    assert harness.suspects.suspects == {}


def unsealed_answer(call_id):
    """Return an answer without the upstream's response seal."""
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: " + call_id
    return head + b"\r\nContent-Length: 2\r\n\r\nok"


def test_complete_answer_clears_the_evidence(build_harness):
    upstreams = crashing(3)
    upstreams[1].steps = [answer()]
    harness = build_harness([route(Repeat.ONCE)], upstreams)
    statuses = [
        harness.call(call_id=f"c-{number}", body=b"common")[0]
        for number in range(6)
    ]
    assert 429 not in statuses
