"""Tests of requests that crash the instances that they reach."""

import socket

import pytest

from lacewingdock.components.suspects import fingerprint_of
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
    """Return a step that ends the instance with the request's connection."""

    def step(*_):
        upstream.close()
        return False

    return step


def crashing(count):
    """Return instances of which each crashes at its first request."""
    found = [Upstream() for _ in range(count)]
    for upstream in found:
        upstream.steps = [crash(upstream)]
    return found


@pytest.mark.parametrize("repeat", [Repeat.IDEMPOTENT, Repeat.ONCE])
def test_request_that_crashes_what_runs_it_is_held_back(staged, repeat):
    """Symptom: one request, sent again and again, takes down all instances.

    Sequence: it is lost at an instance; it is repeated by the router where it
    may be, and by its caller; each repeat takes down another instance. Cause:
    nothing was remembered of it.
    """
    upstreams = crashing(6)
    stage = staged([route(repeat, max_attempts=2)], upstreams)
    statuses = []
    for number in range(8):
        status, headers, _ = stage.call(call_id=f"c-{number}", body=b"bad")
        statuses.append(status)
    assert sum(not one.steps for one in upstreams) == 3
    assert statuses[-1] == 429
    assert float(headers["retry-after"]) > 10
    assert set(statuses) == {502, 429}
    # What was refused as not run reached no instance.
    refused = [f"c-{n}" for n, one in enumerate(statuses) if one == 429]
    heads = [head for one in upstreams for head in one.requests]
    assert not [i for i in refused for head in heads if f"{i}\r" in head]


def replaced(upstream):
    """Return a step after which another instance answers at the address."""

    def step(sock, *_):
        upstream.named = b"next"
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        return False

    return step


def test_next_start_at_the_address_is_no_sign_of_life(staged):
    """Guards against a crash that counts as a broken connection for good.

    Symptom: one request ends engine after engine. Sequence: its engine ends;
    when that is looked into, the address takes connections again. Cause:
    whoever took a connection counted as the engine that lost the request.
    """
    upstreams = [Upstream() for _ in range(6)]
    for upstream in upstreams:
        upstream.steps = [replaced(upstream)]
    stage = staged([route(Repeat.ONCE)], upstreams)
    for number in range(8):
        stage.call(call_id=f"c-{number}", body=b"bad")
    assert sum(not one.steps for one in upstreams) == 3
    assert stage.directory.replaced_seen == 3


def in_part(upstream, *parts, ends):
    """Return a step that answers in part and resets; `ends` the instance."""

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
def test_streams_that_broke_in_part_count_where_the_instance_ended(
    staged, ends, held
):
    """Guards against a crash after the first event that leaves no trace.

    Instances that live on after a reset speak against nobody.
    """
    whole = send(stream_head, event(1), END, then="keep")
    upstreams = [Upstream() for _ in range(3)]
    for upstream in upstreams:
        first = (stream_head, event(1))
        broken = in_part(upstream, *first, ends=ends)
        upstream.steps = [broken, *[whole] * 4]
    stage = staged([route(Repeat.ONCE, streaming=True)], upstreams)
    for number in range(len(upstreams)):
        for other in stage.directory.instances.values():
            other.superseded = other.entry.id != f"i-{number + 1}"
        with pytest.raises(EOFError):
            stage.call(call_id=f"c-{number}", body=b"bad")
    for other in stage.directory.instances.values():
        other.superseded = False
    assert (stage.call(call_id="c-9", body=b"bad")[0] == 429) is held


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
def test_what_shows_no_whole_run_clears_nothing(staged, between):
    """Guards against a crashing request that is forgotten between two crashes.

    Symptom: it ends engine after engine. Sequence: an engine that fails some
    of its requests answers it with 500, or the head of a small model's answer
    comes ahead of the crash. Cause: either took back all that was known.
    """
    upstreams = crashing(5)
    models = ("small", "large")
    changes = {"streaming": True, "models": models, "max_attempts": 3}
    stage = staged([route(Repeat.RESUMABLE, **changes)], upstreams)
    suspects, extra = stage.suspects, "Model: *\r\n"
    for number, upstream in enumerate(upstreams[:3]):
        if number == 2:
            upstream.steps.insert(0, between)
        for other in stage.directory.instances.values():
            other.superseded = other.entry.id != f"i-{number + 1}"
        while upstream.steps:
            stage.call(call_id=f"c-{number}", body=b"bad", extra=extra)
    assert suspects.held() == 1


def told(stage, body):
    """Have another router tell of three crashes of a request."""
    names = [f"gone-{number}" for number in range(3)]
    request = Call("x", b"POST", b"/r/x?q=1", "h.example", "/r/x", body=body)
    stage.suspects.hear("r-2", {fingerprint_of(request, "w-1"): names})


class LatePool(ConnectionPool):
    """Something comes to be known while a connection is opened."""

    __slots__ = ("meanwhile",)

    def acquire(self, entry, timeout_s):
        self.meanwhile()
        return super().acquire(entry, timeout_s)


def test_request_that_waits_as_the_evidence_comes_is_not_sent(staged):
    """Guards against copies under way that go on to fresh engines.

    Sequence: a copy is admitted and waits for a connection; other routers tell
    of its crashes. Cause: it was asked once, when it came.
    """
    upstream = Upstream()
    stage = staged([route()], [upstream])
    stage.gateway.pool = LatePool()
    stage.gateway.pool.meanwhile = lambda: told(stage, b"bad")
    assert stage.call(body=b"bad")[0] == 429
    assert upstream.requests == []
    assert stage.call(body=b"good")[0] == 200


def test_request_is_not_repeated_once_the_evidence_is_there(staged):
    """Guards against a repeat, as above; what the first said is passed on."""
    upstreams = [Upstream(), Upstream()]
    stage = staged([route()], upstreams)

    def fails(sock, call_id, _):
        told(stage, b"bad")
        sock.sendall(ok(call_id, b"failed", b"", b"500 Error"))

    for upstream in upstreams:
        upstream.steps = [fails]
    assert stage.call(body=b"bad")[0] == 500
    assert sum(len(one.requests) for one in upstreams) == 1


def test_answer_of_the_next_start_is_no_sign_of_life(staged):
    """Guards against the next start's answers keeping its dead one alive."""
    other = b"Not-Executed: 1\r\nInstance-Id: next\r\n"
    upstream = Upstream(answer(b"", other, b"421 Misdirected"))
    stage = staged([route(Repeat.ONCE)], [upstream])
    instance = stage.directory.instances["i-1"]
    assert stage.call(body=b"any")[0] == 503
    assert instance.last_received_at == 0.0
    assert instance.answered_at < 0.0


def test_others_go_on(staged):
    upstreams = [*crashing(3), Upstream()]
    stage = staged([route(max_attempts=2)], upstreams)
    for number in range(4):
        stage.call(call_id=f"c-{number}", body=b"bad")
    for number in range(6):
        call_id, body = f"d-{number}", b"good %d" % number
        status, _, _ = stage.call(call_id=call_id, body=body)
        assert status == 200


@pytest.mark.parametrize(
    "fate",
    [
        send(b"garbage\r\n\r\n", then="close"),
        send(lambda i: answer_without_seal(i), then="keep"),
        send(then="silent"),
        send(lambda i: stream_head(i), then="keep"),
    ],
    ids=["no http", "no seal", "silent", "stream without an event"],
)
def test_bad_answers_are_no_crashes(staged, fate):
    upstreams = [Upstream(fate), Upstream(fate), Upstream(fate), Upstream()]
    stage = staged([route(max_attempts=3, timeout_s=0.6)], upstreams)
    for number in range(3):
        stage.call(call_id=f"c-{number}")
    assert stage.suspects.suspects == {}


def answer_without_seal(call_id):
    """Return an answer that is not the upstream's own."""
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: " + call_id
    return head + b"\r\nContent-Length: 2\r\n\r\nok"


def test_an_answer_between_clears(staged):
    upstreams = crashing(3)
    upstreams[1].steps = [answer()]
    stage = staged([route(Repeat.ONCE)], upstreams)
    statuses = [
        stage.call(call_id=f"c-{number}", body=b"common")[0]
        for number in range(6)
    ]
    assert 429 not in statuses
