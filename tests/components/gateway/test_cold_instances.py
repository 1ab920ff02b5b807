"""Tests of requests where all instances are cold."""

import time

import pytest

from lacewingdock.components.pacing import Pacer
from lacewingdock.world.host import Bounds
from lacewingdock.world.route import Repeat, ServiceLimits
from tests.components.gateway.fakes import Stage, Upstream, answer, route

# Three requests a second: a turn each 0.37 s.
COLD = ServiceLimits("svc", cold_start_s=3.0, cold_per_s=3.0)


EVENTS = b"Content-Type: text/event-stream\r\n"
STREAM = {
    "repeat": Repeat.RESUMABLE,
    "streaming": True,
    "models": ("small", "large"),
}


def stage_of(upstream, *, cold_s, has_share=True, goal_s=2.0, **changes):
    """Return a gateway whose one instance is cold."""
    found = Stage([route(goal_s=goal_s, **changes)], [upstream])
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
    stage = stage_of(upstream, cold_s=9.0)
    try:
        start = time.monotonic()
        assert stage.call()[0] == 200
        assert time.monotonic() - start < 0.3
        assert stage.call()[0] == 200
        assert 0.3 <= time.monotonic() - start < 1.2
    finally:
        stage.close()
        upstream.close()


@pytest.mark.parametrize(
    ("goal_s", "has_share", "least_s", "most_s"),
    [
        # The next turn comes after what its goal leaves.
        (0.2, True, 0.25, 1.0),
        # None comes here at all: when the instance is warm.
        (2.0, False, 2.5, 4.6),
    ],
)
def test_request_without_a_turn_is_refused_at_once(
    goal_s, has_share, least_s, most_s
):
    """Symptom: callers wait out their time where nothing can be served.

    Cause: they were held until the instance was warm.
    """
    upstream = Upstream()
    stage = stage_of(upstream, cold_s=3.0, goal_s=goal_s, has_share=has_share)
    try:
        if has_share:
            assert stage.call()[0] == 200
        start = time.monotonic()
        status, headers, _ = stage.call()
        assert time.monotonic() - start < 0.2
        assert status == 503
        assert least_s <= float(headers["retry-after"]) <= most_s
    finally:
        stage.close()
        upstream.close()


@pytest.mark.parametrize(("priority", "status"), [(0, 200), (9, 503)])
def test_urgent_requests_wait_longer(priority, status):
    """Symptom: what is least urgent takes the few turns there are."""
    upstream = Upstream()
    stage = stage_of(upstream, cold_s=9.0, priority=priority)
    try:
        assert stage.call()[0] == 200
        assert stage.call()[0] == status
    finally:
        stage.close()
        upstream.close()


def test_instance_that_leaves_meanwhile_gets_nothing():
    upstream, other = Upstream(), Upstream()
    stage = stage_of(upstream, cold_s=9.0)
    try:
        assert stage.call()[0] == 200
        stage.pool.submit(_leave, stage)
        assert stage.call()[0] == 503
        assert len(upstream.requests) == 1
    finally:
        stage.close()
        upstream.close()
        other.close()


def _leave(stage):
    time.sleep(0.1)
    stage.directory.cordon(frozenset({"d1"}))


def test_instance_that_took_no_connection_may_be_cold():
    """Symptom: instances that were cut off come back cold, and crash.

    Cause: they keep their ids, and their entries say it two seconds later.
    """
    upstream = Upstream()
    upstream.close()
    stage = stage_of(upstream, cold_s=0.0)
    stage.directory.cold_start_s = lambda _: 3.0
    try:
        assert stage.call()[0] == 503
        assert stage.directory.instances["i-1"].is_cold(time.monotonic())
    finally:
        stage.close()


def test_request_that_may_have_run_waits_for_as_long_as_it_can():
    """Symptom: requests fail though turns would have come in time.

    Sequence: a smaller model is unsure, and all instances turn cold before
    the larger one is asked. Cause: it waited for a part of its goal only, and
    what was sent once can't be refused truly.
    """
    unsure = answer(extra=b"Confidence: 5\r\n" + EVENTS)

    def turn_cold(*args):
        stage.directory.instances["i-1"].set_cold_for(9.0)
        unsure(*args)

    upstream = Upstream(turn_cold, answer(b"id: 1\ndata: x\n\n", EVENTS))
    stage = stage_of(upstream, cold_s=0.0, goal_s=0.1, **STREAM)
    try:
        status, _, _ = stage.call(extra="Model: *\r\n")
        assert status == 200
        assert len(upstream.requests) == 2
    finally:
        stage.close()
        upstream.close()


@pytest.mark.parametrize(("cold_s", "model"), [(0.0, "small"), (9.0, "large")])
def test_cold_instances_are_asked_for_the_largest_model_at_once(cold_s, model):
    """Symptom: half of the turns at cold instances give no answer.

    Cause: a smaller model was asked first, which takes a turn of its own.
    """
    upstream = Upstream(answer(b"id: 1\ndata: x\n\n", EVENTS))
    stage = stage_of(upstream, cold_s=cold_s, **STREAM)
    try:
        assert stage.call(extra="Model: *\r\n")[0] == 200
        assert f"model: {model}" in upstream.requests[0]
    finally:
        stage.close()
        upstream.close()
