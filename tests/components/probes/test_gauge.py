"""Tests of the current load of an engine."""

import pytest

from lacewingdock.components.probes import RequestNotice
from lacewingdock.components.probes.const import (
    EXPECTED_TTL_S,
    MAX_EXPECTED_REQUESTS,
    MAX_REPORT_AGE_S,
)
from lacewingdock.components.probes.gauge import EngineGauge
from lacewingdock.world.engine_load import EngineLoad
from tests.virtual_time import VirtualTime


@pytest.fixture
def time():
    return VirtualTime()


def gauge(time, running=3, waiting=1, events=None):
    found = EngineGauge(time)
    found.update(EngineLoad(running, waiting, events or {}), time.now())
    return found


def figures(found):
    load = found.load(7)
    assert load.number == 7
    return None if load.lost else (load.running, load.unread)


def test_announced_request_counts_until_it_arrives(time):
    """Guards against 68 routers choosing the same idle engine.

    Each of them queries the engine and receives that nothing runs there, as
    the first router's request has not arrived yet and was not counted.
    """
    found = gauge(time)
    assert figures(found) == (4, 0.0)
    found.expect(RequestNotice("a", 2.5))
    found.expect(RequestNotice("b", 1.0))
    assert figures(found) == (6, 3.5)
    # One request arrived and is read; the answer to the other one began.
    found.update(EngineLoad(5, 1, {"a": 0, "b": 3}), time.now())
    assert figures(found) == (6, 2.5)
    found.update(EngineLoad(4, 1, {"b": 9}), time.now())
    assert figures(found) == (5, 0.0)


def test_announced_request_that_does_not_arrive_expires(time):
    found = gauge(time)
    found.expect(RequestNotice("a", 2.5))
    time.time += EXPECTED_TTL_S + 0.01
    found.update(EngineLoad(3, 1), time.now())
    assert figures(found) == (4, 0.0)


@pytest.mark.parametrize("late_s", [MAX_REPORT_AGE_S + 0.01, 60.0])
def test_engine_with_a_stale_report_is_lost(time, late_s):
    """Guards against requests to an engine that does not answer.

    The engine answers no calls, and its sidecar keeps sending the last report.
    """
    found = gauge(time)
    time.time += late_s
    assert figures(found) is None


def test_restarted_engine_has_no_announced_requests(time):
    found = gauge(time)
    found.expect(RequestNotice("a", 2.5))
    found.update(None, time.now())
    assert figures(found) is None
    found.update(EngineLoad(0, 0), time.now())
    assert figures(found) == (0, 0.0)


def test_announced_requests_are_bounded(time):
    found = gauge(time, 0, 0)
    for number in range(MAX_EXPECTED_REQUESTS + 50):
        found.expect(RequestNotice(f"r-{number}", 0.0))
    assert figures(found) == (MAX_EXPECTED_REQUESTS, 0.0)
