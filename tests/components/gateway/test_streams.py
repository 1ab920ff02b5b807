"""Tests of streams that are resumed at another instance or broken off."""

import pytest

from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import (
    END,
    Upstream,
    answer,
    event,
    read_answer,
    refuse,
    request,
    route,
    send,
    stream_head,
)

WHOLE = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in (1, 2, 3))


def stream(*numbers, then="keep", end=END, extra=b""):
    """Return a step that streams events."""
    parts = [event(number) for number in numbers]
    return send(lambda i: stream_head(i, extra), *parts, end, then=then)


def streaming(repeat=Repeat.RESUMABLE, **changes):
    """Return a route of streams."""
    return route(repeat, streaming=True, gap_s=0.1, **changes)


def make_remote(harness, upstream, name="i-2"):
    """Move an instance to a remote domain, so that the first is preferred."""
    harness.directory.apply(upstream.entry(name, failure_domain="d2"))


# How the first instance's stream ends after its first event.
CUTS = {
    "closed": stream(1, then="close", end=b""),
    "reset": stream(1, then="reset", end=b""),
    "silent": stream(1, then="silent", end=b""),
    "in the middle of an event": stream(
        1, then="close", end=b"6\r\nid: 2\n\r\n"
    ),
    "ended in the middle of an event": stream(1, end=b"6\r\nid: 2\n\r\n" + END),
    "wrong bytes": stream(1, then="close", end=b"zz\r\n"),
}


@pytest.mark.parametrize("cut", CUTS)
def test_stream_goes_on_at_another_instance(build_harness, cut):
    """Guards against streams that stop in the middle or repeat an event.

    The instance crashes, falls silent or sends invalid bytes after some events.
    The rest must be requested from another instance, starting after the last
    complete event.
    """
    first, second = Upstream(CUTS[cut]), Upstream(stream(2, 3))
    harness = build_harness([streaming()], [first, second])
    make_remote(harness, second)
    status, headers, body = harness.call(deadline_ms=3000)
    assert (status, body) == (200, WHOLE)
    assert headers["response-seal"] == "s"
    assert "last-event-id: 1" in second.requests[0]


@pytest.mark.parametrize("cut", CUTS)
def test_stream_that_may_run_once_is_reset(build_harness, cut):
    first, second = Upstream(CUTS[cut]), Upstream(stream(2, 3))
    harness = build_harness(
        [streaming(Repeat.ONCE, timeout_s=0.6)], [first, second]
    )
    make_remote(harness, second)
    with pytest.raises((EOFError, ConnectionError)):
        harness.call()
    assert second.requests == []


def test_stream_that_fails_elsewhere_is_reset(build_harness):
    first = Upstream(CUTS["closed"])
    second = Upstream(answer(b"why", status=b"500 Oops"))
    harness = build_harness([streaming(max_attempts=2)], [first, second])
    make_remote(harness, second)
    with pytest.raises((EOFError, ConnectionError)):
        harness.call()


@pytest.mark.parametrize(
    ("confidence", "asked"), [(b"30", 2), (b"90", 1), (b"odd", 1)]
)
def test_larger_model_answers_where_the_smaller_is_unsure(
    build_harness, confidence, asked
):
    head = b"Confidence: " + confidence + b"\r\n"
    first = Upstream(stream(1, then="silent", end=b"", extra=head))
    if asked == 1:
        first = Upstream(stream(1, 2, 3, extra=head))
    second = Upstream(stream(1, 2, 3))
    harness = build_harness(
        [streaming(models=("s", "m", "l"))], [first, second]
    )
    make_remote(harness, second)
    status, _, body = harness.call(extra="Model: *\r\n", deadline_ms=3000)
    assert (status, body) == (200, WHOLE)
    requests = first.requests + second.requests
    assert [
        one
        for head in requests
        for one in head.split("\r\n")
        if one.startswith("model")
    ] == ["model: s", "model: l"][:asked]


def test_larger_model_counts_as_an_attempt(build_harness):
    """Guards against a request that runs on four instances instead of three.

    Two attempts fail, and the third one's answer is unsure. Asking a larger
    model counts towards the route's maximum of attempts.
    """
    head = b"Confidence: 10\r\n"
    failing = [Upstream(answer(status=b"500 Oops")) for _ in range(2)]
    unsure = Upstream(stream(1, 2, 3, extra=head))
    spare = Upstream(stream(1, 2, 3))
    upstreams = [*failing, unsure, spare]
    harness = build_harness([streaming(models=("s", "l"))], upstreams)
    for number, domain in enumerate(("d1", "d2", "d3", "d4")):
        entry = upstreams[number].entry(
            f"i-{number + 1}", failure_domain=domain
        )
        harness.directory.apply(entry)
        harness.directory.instances[entry.id].running = number * 3
    assert harness.call(extra="Model: *\r\n", deadline_ms=3000)[2] == WHOLE
    assert [len(one.requests) for one in upstreams] == [1, 1, 1, 0]


def test_disconnected_caller_ends_the_run(build_harness):
    """Guards against instances that go on running for disconnected callers.

    The caller's socket must be watched while the router waits for the instance.
    """
    upstream = Upstream(send(then="silent"))
    harness = build_harness([streaming(timeout_s=5.0, goal_s=5.0)], [upstream])
    sock = harness.connect()
    sock.sendall(request(deadline_ms=5000))
    _wait(lambda: upstream.requests)
    sock.close()
    _wait(lambda: not harness.directory.instances["i-1"].running)
    assert len(upstream.requests) == 1


def test_pipelined_request_is_no_disconnect(build_harness):
    upstream = Upstream(
        send(lambda i: stream_head(i), event(1), then="keep"), answer()
    )
    upstream.steps[0] = _late_stream
    harness = build_harness([streaming(timeout_s=5.0)], [upstream])
    sock = harness.connect()
    sock.sendall(request("c-1") + request("c-2"))
    assert read_answer(sock)[2] == b"id: 1\ndata: e1\n\n"


def test_unsure_answer_is_accepted_without_a_retry_left(build_harness):
    head = b"Confidence: 10\r\n"
    upstream = Upstream(stream(1, 2, 3, extra=head))
    harness = build_harness([streaming(models=("s", "l"))], [upstream])
    harness.gateway.budget("svc").saved = 3.0
    harness.gateway.budget("svc").share = 0.0
    harness.gateway.pressure("svc").mean = 5.0
    assert harness.call(extra="Model: *\r\n")[2] == WHOLE


def test_refusals_use_the_retry_budget(build_harness):
    upstreams = [Upstream(refuse(), refuse()), Upstream(refuse())]
    harness = build_harness([route(max_attempts=9)], upstreams)
    make_remote(harness, upstreams[1])
    budget = harness.gateway.budget("svc")
    budget.share, budget.saved = 0.0, 2.0
    status, headers, _ = harness.call()
    assert status == 503 and "retry-after" in headers
    assert sum(len(u.requests) for u in upstreams) == 3


def _late_stream(sock, call_id, _):
    import time

    sock.sendall(stream_head(call_id))
    time.sleep(0.2)
    sock.sendall(event(1) + END)
    return True


def _wait(condition):
    import time

    end = time.monotonic() + 3
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)
