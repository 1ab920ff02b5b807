"""Tests of requests to instances that name a rate limit."""

import time

import pytest

from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import (
    END,
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

LIMIT_ONE = b"Server-Limit: 1\r\n"


@pytest.mark.parametrize(
    ("step", "changes"),
    [
        (answer(extra=LIMIT_ONE), {}),
        (answer(extra=LIMIT_ONE), {"repeat": Repeat.ONCE}),
        (answer(extra=LIMIT_ONE, status=b"500 Error"), {}),
        # A refusal for lack of capacity must set the limit as well.
        (
            answer(
                extra=LIMIT_ONE + b"Not-Executed: 1\r\n", status=b"503 Busy"
            ),
            {},
        ),
        (streamed(LIMIT_ONE), STREAM),
        # The unsure answer is discarded, but its headers count.
        (streamed(LIMIT_ONE + b"Confidence: 3\r\n"), STREAM),
    ],
)
def test_router_keeps_to_the_limit_of_an_instance(
    build_one_route, step, changes
):
    """Guards against exceeding the rate limit that an instance names.

    An instance got 30 requests in 4 s where it named a limit of one a second:
    the header was passed on to the callers without being read.
    """
    other = RepeatingUpstream(step=streamed() if changes == STREAM else None)
    limited = RepeatingUpstream(step=step)
    harness = build_one_route(limited, other, **changes)
    # The instance under test has the lowest load.
    harness.directory.instances["i-2"].running = 50
    extra = "Model: *\r\n" if changes == STREAM else ""
    assert harness.call(extra=extra)[0] == 200 or changes == {
        "repeat": Repeat.ONCE
    }
    first = len(limited.times)
    assert first
    time.sleep(0.5)
    for number in range(30):
        harness.call(call_id=f"c-{number}", extra=extra)
    # At most one and a half times the limit over 4 s, and five more.
    assert len(limited.times) - first <= 1.5 * 4 * 1 + 5
    assert len(other.times) >= 30 - (1.5 * 4 * 1 + 5)


def test_requests_are_served_up_to_the_limit_and_the_rest_refused(
    build_one_route,
):
    """Guards against callers that time out at rate-limited instances.

    All instances of a service name a limit. A request that can't be served
    within its goal is refused at once as not run, with a Retry-After.
    """
    limited = RepeatingUpstream(b"Server-Limit: 2\r\n")
    harness = build_one_route(limited, goal_s=0.4)
    start = time.monotonic()
    found = [harness.call(call_id=f"c-{n}") for n in range(12)]
    refused = [headers for status, headers, _ in found if status == 503]
    served = sum(status == 200 for status, _, _ in found)
    assert served + len(refused) == 12
    assert served == len(limited.times) >= 2
    assert refused
    # At 2 a second the next turn is at most 0.6 s away, and the random factor
    # on Retry-After spreads callers that are refused together.
    for headers in refused:
        assert 0.25 <= float(headers["retry-after"]) <= 0.6 * 1.5
    assert time.monotonic() - start < 12 * 0.4


@pytest.mark.parametrize(("priority", "least"), [(0, 3), (9, 1)])
def test_high_priority_requests_get_the_turns(build_one_route, priority, least):
    """Guards against requests of low priority that take the few turns."""
    limited = RepeatingUpstream(b"Server-Limit: 3\r\n")
    harness = build_one_route(limited, goal_s=1.0, priority=priority)
    served = sum(harness.call(call_id=f"c-{n}")[0] == 200 for n in range(4))
    assert served >= least
    assert (served == 4) is (priority == 0)


def test_limit_ends_with_its_header(build_one_route):
    """Guards against a rate limit that outlasts its header."""
    limited = RepeatingUpstream(LIMIT_ONE)
    harness = build_one_route(limited, timeout_s=5.0, goal_s=4.0)
    assert harness.call(deadline_ms=5000)[0] == 200
    limited.step = answer()
    assert harness.call(deadline_ms=5000)[0] == 200
    start = time.monotonic()
    for number in range(20):
        assert harness.call(call_id=f"c-{number}")[0] == 200
    assert time.monotonic() - start < 1.0


def test_invalid_limit_is_ignored(build_one_route):
    limited = RepeatingUpstream(b"Server-Limit: 1e308\r\n")
    harness = build_one_route(limited)
    for number in range(10):
        assert harness.call(call_id=f"c-{number}")[0] == 200
    limited.step = answer(extra=LIMIT_ONE)
    assert harness.call()[0] == 200
    limited.step = answer(extra=b"Server-Limit: 9, 9\r\n")
    assert [harness.call()[0] for _ in range(9)].count(503) >= 5


@pytest.mark.parametrize(("per_s", "model"), [(3.0, "large"), (None, "small")])
def test_a_turn_at_a_limited_instance_is_not_spent_on_a_guess(
    build_one_route, per_s, model
):
    """Guards against spending turns on answers that are discarded.

    Of 34 requests that a rate-limited instance got, 18 were discarded as
    unsure and sent to the largest model elsewhere. A request to a small model
    is quick, but counts as much towards the limit as any other.
    """
    instance = RepeatingUpstream(step=streamed())
    harness = build_one_route(
        instance, RepeatingUpstream(step=streamed()), **STREAM
    )
    # The instance under test has the lowest load.
    harness.directory.instances["i-2"].running = 50
    limit = harness.directory.instances["i-1"].limit
    limit.own_per_s, limit.named_at = per_s, time.monotonic()
    limit.update_until()
    assert harness.call(extra="Model: *\r\n")[0] == 200
    [head] = instance.requests
    assert f"model: {model}" in head.lower()


def test_stream_goes_on_with_its_own_model_at_a_limited_instance(
    build_one_route,
):
    """Guards against a stream whose parts come from two models."""
    broken = RepeatingUpstream(
        step=send(
            lambda call_id: stream_head(call_id, b"Confidence: 90\r\n"),
            event(1),
        )
    )
    limited = RepeatingUpstream(
        step=send(
            lambda call_id: stream_head(call_id, b"Confidence: 90\r\n"),
            event(2),
            END,
            then="keep",
        )
    )
    harness = build_one_route(broken, limited, **STREAM)
    harness.directory.instances["i-2"].running = 50
    limit = harness.directory.instances["i-2"].limit
    limit.own_per_s, limit.named_at = 3.0, time.monotonic()
    limit.update_until()
    status, _, body = harness.call(extra="Model: *\r\n")
    assert (status, body) == (200, b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
    for upstream in (broken, limited):
        assert "model: small" in upstream.requests[0].lower()
