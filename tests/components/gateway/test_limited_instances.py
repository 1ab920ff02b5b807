"""Tests of requests to instances that name a limit."""

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
from tests.components.gateway.scripted import STREAM, Counting, streamed

LIMIT_ONE = b"Server-Limit: 1\r\n"


@pytest.mark.parametrize(
    ("step", "changes"),
    [
        (answer(extra=LIMIT_ONE), {}),
        (answer(extra=LIMIT_ONE), {"repeat": Repeat.ONCE}),
        (answer(extra=LIMIT_ONE, status=b"500 Error"), {}),
        # Refused as full: it asks for less all the more.
        (
            answer(
                extra=LIMIT_ONE + b"Not-Executed: 1\r\n", status=b"503 Busy"
            ),
            {},
        ),
        (streamed(LIMIT_ONE), STREAM),
        # The small model is unsure: the answer is dropped, its word counts.
        (streamed(LIMIT_ONE + b"Confidence: 3\r\n"), STREAM),
    ],
)
def test_router_keeps_to_the_limit_of_an_instance(stages, step, changes):
    """Guards against: a router that sends on to an instance in need.

    Symptom: 30 requests in 4 s where it names one a second. Cause: the word
    was passed on to the callers, and not read.
    """
    other = Counting(step=streamed() if changes == STREAM else None)
    limited = Counting(step=step)
    stage = stages(limited, other, **changes)
    # It is what looks idle.
    stage.directory.instances["i-2"].running = 50
    extra = "Model: *\r\n" if changes == STREAM else ""
    assert stage.call(extra=extra)[0] == 200 or changes == {
        "repeat": Repeat.ONCE
    }
    first = len(limited.times)
    assert first
    time.sleep(0.5)
    for number in range(30):
        stage.call(call_id=f"c-{number}", extra=extra)
    # One and a half times what it names, and five more.
    assert len(limited.times) - first <= 1.5 * 4 * 1 + 5
    assert len(other.times) >= 30 - (1.5 * 4 * 1 + 5)


def test_requests_are_served_up_to_the_limit_and_the_rest_refused(stages):
    """Guards against: callers wait out their time at an instance in need.

    Sequence: all instances of a service name a limit. Who can't be served
    within the goal is told at once that it has not run, and when to come back.
    """
    limited = Counting(b"Server-Limit: 2\r\n")
    stage = stages(limited, goal_s=0.4)
    start = time.monotonic()
    found = [stage.call(call_id=f"c-{n}") for n in range(12)]
    refused = [headers for status, headers, _ in found if status == 503]
    served = sum(status == 200 for status, _, _ in found)
    assert served + len(refused) == 12
    assert served == len(limited.times) >= 2
    assert refused
    # At 2 a second the next turn is at most 0.6 s away, and callers that are
    # refused together come back one after the other.
    for headers in refused:
        assert 0.25 <= float(headers["retry-after"]) <= 0.6 * 1.5
    assert time.monotonic() - start < 12 * 0.4


@pytest.mark.parametrize(("priority", "least"), [(0, 3), (9, 1)])
def test_urgent_requests_get_the_few_turns(stages, priority, least):
    """Guards against: what is least urgent takes the few turns there are."""
    limited = Counting(b"Server-Limit: 3\r\n")
    stage = stages(limited, goal_s=1.0, priority=priority)
    served = sum(stage.call(call_id=f"c-{n}")[0] == 200 for n in range(4))
    assert served >= least
    assert (served == 4) is (priority == 0)


def test_limit_that_is_no_longer_named_is_over(stages):
    """Guards against: an instance that is shunned for good."""
    limited = Counting(LIMIT_ONE)
    stage = stages(limited, timeout_s=5.0, goal_s=4.0)
    assert stage.call(deadline_ms=5000)[0] == 200
    limited.step = answer()
    assert stage.call(deadline_ms=5000)[0] == 200
    start = time.monotonic()
    for number in range(20):
        assert stage.call(call_id=f"c-{number}")[0] == 200
    assert time.monotonic() - start < 1.0


def test_odd_limit_neither_holds_back_nor_opens(stages):
    limited = Counting(b"Server-Limit: 1e308\r\n")
    stage = stages(limited)
    for number in range(10):
        assert stage.call(call_id=f"c-{number}")[0] == 200
    limited.step = answer(extra=LIMIT_ONE)
    assert stage.call()[0] == 200
    limited.step = answer(extra=b"Server-Limit: 9, 9\r\n")
    assert [stage.call()[0] for _ in range(9)].count(503) >= 5


@pytest.mark.parametrize(("per_s", "model"), [(3.0, "large"), (None, "small")])
def test_a_turn_at_a_limited_instance_is_not_spent_on_a_guess(
    stages, per_s, model
):
    """Guards against: half of the few turns go to answers that are dropped.

    Symptom: of 34 requests that an instance in need got, 18 were turned down
    as unsure, and asked anew of the largest model elsewhere. Cause: what costs
    little time costs as much of a limit as any other.
    """
    instance = Counting(step=streamed())
    stage = stages(instance, Counting(step=streamed()), **STREAM)
    # It is what looks idle.
    stage.directory.instances["i-2"].running = 50
    limit = stage.directory.instances["i-1"].limit
    limit.own_per_s, limit.named_at = per_s, time.monotonic()
    limit.update_until()
    assert stage.call(extra="Model: *\r\n")[0] == 200
    [head] = instance.requests
    assert f"model: {model}" in head.lower()


def test_stream_goes_on_with_its_own_model_at_a_limited_instance(stages):
    """Guards against: an answer whose pieces are of two models."""
    broken = Counting(
        step=send(
            lambda call_id: stream_head(call_id, b"Confidence: 90\r\n"),
            event(1),
        )
    )
    limited = Counting(
        step=send(
            lambda call_id: stream_head(call_id, b"Confidence: 90\r\n"),
            event(2),
            END,
            then="keep",
        )
    )
    stage = stages(broken, limited, **STREAM)
    stage.directory.instances["i-2"].running = 50
    limit = stage.directory.instances["i-2"].limit
    limit.own_per_s, limit.named_at = 3.0, time.monotonic()
    limit.update_until()
    status, _, body = stage.call(extra="Model: *\r\n")
    assert (status, body) == (200, b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
    for upstream in (broken, limited):
        assert "model: small" in upstream.requests[0].lower()
