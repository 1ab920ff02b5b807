"""Tests of requests to instances that asked for a backoff by Retry-After."""

import time

import pytest

from lacewingdock.world.call import ResponseHead
from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import (
    END,
    Upstream,
    answer,
    event,
    send,
    stream_head,
)
from tests.components.gateway.scripted import (
    STREAM,
    RepeatingUpstream,
    streamed,
)

BUSY = b"503 Busy"
REST = b"Retry-After: 3\r\n"
SHORT = b"Retry-After: 0.3\r\n"
NOT_RUN = b"Not-Executed: 1\r\n"


@pytest.mark.parametrize(
    ("step", "changes"),
    [
        (answer(extra=REST + NOT_RUN, status=BUSY), {}),
        (answer(extra=REST + NOT_RUN, status=BUSY), {"repeat": Repeat.ONCE}),
        # The answer does not state that the request was not run.
        (answer(extra=REST, status=BUSY), {}),
        (answer(extra=REST + NOT_RUN, status=BUSY), STREAM),
    ],
)
def test_router_leaves_an_instance_its_rest(build_one_route, step, changes):
    """Guards against requests to an instance during its Retry-After.

    An instance got eight requests in the 3 s of its Retry-After, where two are
    allowed. It refuses at once, so it has no requests running and seems idle;
    the header had not been read.
    """
    other = RepeatingUpstream(step=streamed() if changes == STREAM else None)
    resting = RepeatingUpstream(step=step)
    harness = build_one_route(resting, other, **changes)
    # The instance under test has the lowest load.
    harness.directory.instances["i-2"].running = 50
    extra = "Model: *\r\n" if changes == STREAM else ""
    harness.call(extra=extra)
    assert len(resting.times) == 1
    found = [harness.call(call_id=f"c-{n}", extra=extra)[0] for n in range(10)]
    assert found == [200] * 10
    assert len(resting.times) == 1


def test_requests_are_sent_after_the_backoff(build_one_route):
    """Guards against an instance that gets no requests after its backoff."""
    resting = RepeatingUpstream(step=answer(extra=SHORT + NOT_RUN, status=BUSY))
    harness = build_one_route(resting, goal_s=1.0, max_attempts=1, priority=0)
    assert harness.call()[0] == 503
    resting.step = answer()
    # The request waits for the end of the backoff, which is near.
    assert harness.call()[0] == 200
    assert resting.times[-1] - resting.times[0] >= 0.3
    start = time.monotonic()
    for number in range(10):
        assert harness.call(call_id=f"c-{number}")[0] == 200
    assert time.monotonic() - start < 0.5


def test_where_all_rest_a_request_is_refused_at_once(build_one_route):
    """Guards against callers that wait or retry while all instances back off.

    A request that can't be served within its goal is refused at once as not
    run. Its Retry-After covers the earliest end of a backoff, and differs from
    caller to caller.
    """
    upstreams = [
        RepeatingUpstream(step=answer(extra=REST + NOT_RUN, status=BUSY)),
        RepeatingUpstream(
            step=answer(extra=b"Retry-After: 5\r\n", status=BUSY)
        ),
    ]
    harness = build_one_route(*upstreams, goal_s=0.4, max_attempts=2)
    start = time.monotonic()
    found = [harness.call(call_id=f"c-{number}") for number in range(8)]
    assert time.monotonic() - start < 1.0
    assert [len(one.times) for one in upstreams] == [1, 1]
    retry_after_s = [
        float(headers["retry-after"]) for _, headers, _ in found[1:]
    ]
    assert [status for status, _, _ in found[1:]] == [503] * 7
    assert all(2.0 <= one <= 3.0 * 1.25 * 1.5 for one in retry_after_s)
    assert len(set(retry_after_s)) > 1


def test_last_refusal_tells_when_the_first_instance_is_back(build_one_route):
    """Guards against a Retry-After that ends while all instances back off."""
    resting = RepeatingUpstream(step=answer(extra=REST + NOT_RUN, status=BUSY))
    harness = build_one_route(resting, max_attempts=1)
    status, headers, _ = harness.call()
    assert status == 503
    assert 2.0 <= float(headers["retry-after"]) <= 3.0 * 1.25 * 1.5


def test_request_that_may_have_run_waits_for_the_end_of_a_backoff(
    build_one_route,
):
    """Guards against a 502 where there was time for another attempt."""
    broken, resting = Upstream(), RepeatingUpstream()
    harness = build_one_route(broken, resting, timeout_s=3.0)

    def leave(*_):
        """Close the connection, and report the first instance as leaving."""
        signals = harness.directory.instances["i-1"].signals
        signals.leaving_since = time.monotonic()
        return False

    broken.steps.append(leave)
    busy = ResponseHead(503, [], not_run=True, rest_s=0.5)
    harness.gateway.record_head(harness.directory.instances["i-2"], busy, 0.0)
    assert harness.call(deadline_ms=3000)[0] == 200
    assert len(resting.times) == 1


def test_resumed_stream_respects_the_backoff(build_one_route):
    """Guards against resuming a stream at an instance in its backoff."""
    broken = Upstream(send(stream_head, event(1)))
    resting = RepeatingUpstream(step=streamed())
    other = RepeatingUpstream(
        step=send(stream_head, event(2), END, then="keep")
    )
    harness = build_one_route(broken, resting, other, **STREAM)
    harness.directory.instances["i-2"].running = 40
    harness.directory.instances["i-3"].running = 50
    busy = ResponseHead(503, [], not_run=True, rest_s=9.0)
    harness.gateway.record_head(harness.directory.instances["i-2"], busy, 0.0)
    status, _, body = harness.call(extra="Model: *\r\n")
    assert (status, body) == (200, b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
    assert resting.times == []


@pytest.mark.parametrize(
    "value", [b"", b"-3", b"1e308", b"soon", b"0", b"9" * 40]
)
def test_invalid_retry_after_is_ignored(build_one_route, value):
    """Guards against an endless backoff, or a crash, by an invalid value."""
    odd = RepeatingUpstream(
        step=answer(extra=b"Retry-After: " + value + b"\r\n", status=BUSY)
    )
    harness = build_one_route(odd)
    harness.call()
    odd.step = answer()
    assert harness.call()[0] == 200
