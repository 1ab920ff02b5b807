"""Tests of requests at a router that can't keep up."""

import pytest

from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import Upstream, route


@pytest.mark.parametrize("repeat", [Repeat.IDEMPOTENT, Repeat.ONCE])
def test_refused_request_is_not_run_and_told_when_to_return(
    build_harness, repeat
):
    """Guards against requests that wait for what no router can serve."""
    upstream = Upstream()
    harness = build_harness([route(repeat, priority=7)], [upstream])
    harness.gateway.refuses = lambda priority: priority >= 7
    status, headers, _ = harness.call()
    assert status == 503
    assert float(headers["retry-after"]) >= 1.0
    assert upstream.requests == []
    harness.gateway.refuses = lambda priority: priority >= 8
    assert harness.call()[0] == 200
