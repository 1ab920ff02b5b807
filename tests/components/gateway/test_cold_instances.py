"""Tests of requests where all instances are cold."""

import time

import pytest

from lacewingdock.components.pacing import Pacer
from lacewingdock.world.host import Bounds
from lacewingdock.world.route import Repeat, ServiceLimits
from tests.components.gateway.fakes import (
    GatewayHarness,
    Upstream,
    answer,
    route,
)

# A cold instance accepts three requests a second: a turn every 0.37 s.
COLD = ServiceLimits("svc", cold_start_s=3.0, cold_per_s=3.0)


EVENTS = b"Content-Type: text/event-stream\r\n"
STREAM = {
    "repeat": Repeat.RESUMABLE,
    "streaming": True,
    "models": ("small", "large"),
}


def cold_harness(upstream, *, cold_s, has_share=True, goal_s=2.0, **changes):
    """Return a harness whose only instance is cold."""
    found = GatewayHarness([route(goal_s=goal_s, **changes)], [upstream])
    found.gateway.chooser.pacer = Pacer(
        "me",
        lambda: (),
        lambda: has_share,
        lambda _: COLD,
        lambda: Bounds(cold_overage=1.5, cold_extra=5.0),
        0.0,
    )
    instance = found.directory.instances["i-1"]
    instance.cold_until = time.monotonic() + cold_s
    return found


def test_request_waits_for_its_turn():
    upstream = Upstream()
    harness = cold_harness(upstream, cold_s=9.0)
    try:
        start = time.monotonic()
        assert harness.call()[0] == 200
        assert time.monotonic() - start < 0.3
        assert harness.call()[0] == 200
        assert 0.3 <= time.monotonic() - start < 1.2
    finally:
        harness.close()
        upstream.close()


@pytest.mark.parametrize(
    ("goal_s", "has_share", "least_s", "most_s"),
    [
        # The next turn comes after the time that the goal allows for waiting.
        (0.2, True, 0.25, 1.0),
        # This router has no share of the turns until the instance is warm.
        (2.0, False, 2.5, 4.6),
    ],
)
def test_request_without_a_turn_is_refused_at_once(
    goal_s, has_share, least_s, most_s
):
    """Guards against callers that time out where no request can be served.

    Requests without a turn in time were held until the instance was warm.
    """
    upstream = Upstream()
    harness = cold_harness(
        upstream, cold_s=3.0, goal_s=goal_s, has_share=has_share
    )
    try:
        if has_share:
            assert harness.call()[0] == 200
        start = time.monotonic()
        status, headers, _ = harness.call()
        assert time.monotonic() - start < 0.2
        assert status == 503
        assert least_s <= float(headers["retry-after"]) <= most_s
    finally:
        harness.close()
        upstream.close()


@pytest.mark.parametrize(("priority", "status"), [(0, 200), (9, 503)])
def test_high_priority_requests_wait_longer(priority, status):
    """Guards against requests of low priority that take the few turns."""
    upstream = Upstream()
    harness = cold_harness(upstream, cold_s=9.0, priority=priority)
    try:
        assert harness.call()[0] == 200
        assert harness.call()[0] == status
    finally:
        harness.close()
        upstream.close()


def test_instance_that_leaves_meanwhile_gets_nothing():
    upstream, other = Upstream(), Upstream()
    harness = cold_harness(upstream, cold_s=9.0)
    try:
        assert harness.call()[0] == 200
        harness.pool.submit(_cordon_soon, harness)
        assert harness.call()[0] == 503
        assert len(upstream.requests) == 1
    finally:
        harness.close()
        upstream.close()
        other.close()


def _cordon_soon(harness):
    time.sleep(0.1)
    harness.directory.cordon(frozenset({"d1"}))


def test_instance_that_refused_a_connection_may_be_cold():
    """Guards against overloading an instance that was cut off and came back.

    Such an instance may be cold and would crash, but it keeps its id, and its
    entry reports the cold start two seconds late.
    """
    upstream = Upstream()
    upstream.close()
    harness = cold_harness(upstream, cold_s=0.0)
    harness.directory.cold_start_s = lambda _: 3.0
    try:
        assert harness.call()[0] == 503
        assert harness.directory.instances["i-1"].is_cold(time.monotonic())
    finally:
        harness.close()


def test_request_that_may_have_run_waits_for_as_long_as_it_can():
    """Guards against requests that fail although a turn comes in time.

    A smaller model is unsure, and all instances turn cold before the larger one
    is asked. The request waited only for a part of its goal; but a request that
    was sent once can't be refused as not run.
    """
    unsure = answer(extra=b"Confidence: 5\r\n" + EVENTS)

    def turn_cold(*args):
        harness.directory.instances["i-1"].set_cold_for(9.0)
        unsure(*args)

    upstream = Upstream(turn_cold, answer(b"id: 1\ndata: x\n\n", EVENTS))
    harness = cold_harness(upstream, cold_s=0.0, goal_s=0.1, **STREAM)
    try:
        status, _, _ = harness.call(extra="Model: *\r\n")
        assert status == 200
        assert len(upstream.requests) == 2
    finally:
        harness.close()
        upstream.close()


@pytest.mark.parametrize(("cold_s", "model"), [(0.0, "small"), (9.0, "large")])
def test_cold_instances_are_asked_for_the_largest_model_at_once(cold_s, model):
    """Guards against half of the turns at cold instances giving no answer.

    Asking a smaller model first takes a turn of its own.
    """
    upstream = Upstream(answer(b"id: 1\ndata: x\n\n", EVENTS))
    harness = cold_harness(upstream, cold_s=cold_s, **STREAM)
    try:
        assert harness.call(extra="Model: *\r\n")[0] == 200
        assert f"model: {model}" in upstream.requests[0]
    finally:
        harness.close()
        upstream.close()
