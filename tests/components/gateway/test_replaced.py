"""Tests of requests that reach another instance at a stale address."""

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
    """Return a step in which another instance refuses the request."""
    extra = f"Not-Executed: 1\r\nInstance-Id: {name}\r\n".encode()
    status = b"421 Misdirected Request"
    return lambda sock, call_id, _: sock.sendall(
        ok(call_id, b"", extra, status)
    )


@pytest.mark.parametrize("repeat", list(Repeat))
def test_dead_incarnations_use_up_no_attempts(repeat):
    """Guards against refusing a request while an instance has free slots.

    After a power loss five of six entries belong to dead incarnations, and
    other instances answer at their addresses. None of these answers may count
    as one of the request's two or three attempts.
    """
    dead = [Upstream(*[other_answers()] * 3) for _ in range(5)]
    alive = Upstream()
    harness = GatewayHarness([route(repeat)], [*dead, alive])
    # The live instance is busy, so that the dead entries are chosen first.
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
        # The instance's own refusal, such as for a missing model.
        other_answers("i-1"),
        # The answer names no instance.
        answer(b"", b"Not-Executed: 1\r\n", b"421 Misdirected Request"),
    ],
)
def test_instance_that_refuses_a_request_itself_stays(step):
    upstream = Upstream(step)
    harness = GatewayHarness([route()], [upstream])
    try:
        harness.call()
        assert harness.directory.replaced_seen == 0
        assert harness.call()[0] == 200
    finally:
        harness.close()
        upstream.close()


def test_no_instance_left_is_a_refusal_as_not_run():
    """The caller gets an immediate refusal as not run, with Retry-After."""
    upstream = Upstream(other_answers())
    harness = GatewayHarness([route(Repeat.ONCE)], [upstream])
    try:
        status, headers, _ = harness.call()
        assert status == 503
        assert float(headers["retry-after"]) > 0
    finally:
        harness.close()
        upstream.close()
