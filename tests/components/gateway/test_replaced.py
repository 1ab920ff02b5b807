"""Tests of requests that meet another instance at an address."""

import pytest

from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import (
    GatewayHarness,
    Upstream,
    answer,
    ok,
    route,
)


def other_answers(name="i-new"):
    """Return a step in which another instance turns the request away."""
    extra = f"Not-Executed: 1\r\nInstance-Id: {name}\r\n".encode()
    status = b"421 Misdirected Request"
    return lambda sock, call_id, _: sock.sendall(
        ok(call_id, b"", extra, status)
    )


@pytest.mark.parametrize("repeat", list(Repeat))
def test_dead_starts_use_up_no_attempts(repeat):
    """Symptom: a request is refused though an instance has free places.

    Sequence: power was lost; five of six entries are those of dead starts, at
    whose addresses others answer. Cause: each answer counted as an attempt,
    of which a request has two or three.
    """
    dead = [Upstream(*[other_answers()] * 3) for _ in range(5)]
    alive = Upstream()
    harness = GatewayHarness([route(repeat)], [*dead, alive])
    # Busy, so that the dead ones come first.
    harness.directory.instances["i-6"].running = 3
    try:
        for number in range(3):
            status, _, _ = harness.call(call_id=f"c-{number}")
            assert status == 200
        assert sum(len(one.requests) for one in dead) == len(dead)
        assert len(alive.requests) == 3
        assert harness.directory.replaced_seen == len(dead)
    finally:
        harness.close()
        for one in [*dead, alive]:
            one.close()


@pytest.mark.parametrize(
    "step",
    [
        # Of itself: it lacks the model, for one.
        other_answers("i-1"),
        # Nobody says who answers.
        answer(b"", b"Not-Executed: 1\r\n", b"421 Misdirected Request"),
    ],
)
def test_instance_that_turns_a_request_away_itself_stays(step):
    upstream = Upstream(step)
    harness = GatewayHarness([route()], [upstream])
    try:
        harness.call()
        assert harness.directory.replaced_seen == 0
        assert harness.call()[0] == 200
    finally:
        harness.close()
        upstream.close()


def test_nothing_left_is_a_true_refusal():
    """The caller learns at once that it was not run, and when to come back."""
    upstream = Upstream(other_answers())
    harness = GatewayHarness([route(Repeat.ONCE)], [upstream])
    try:
        status, headers, _ = harness.call()
        assert status == 503
        assert float(headers["retry-after"]) > 0
    finally:
        harness.close()
        upstream.close()
