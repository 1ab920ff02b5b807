"""Tests of measuring how far load slows down streams.

Load pattern: too many long prompts for the remaining engines. Each step of an
engine reads a chunk of them, and all of its streams pause meanwhile: the pause
between two events grows from 25 ms to 250 ms and more within two seconds, while
first events are still on time. The pauses are those of real engines.
"""

import pytest

from lacewingdock.components.gateway.confidence_threshold import (
    CONFIDENCE_ENOUGH,
    Pressure,
)
from lacewingdock.components.gateway.slowdown import HALF_LIFE_S, Slowdown

REST_S = 0.025


def record_streams(found, clock, pause_s, seconds, streams=5):
    """Record streams with a constant pause between their events."""
    for _ in range(int(seconds / pause_s)):
        clock(pause_s)
        for _ in range(streams):
            found.paused(pause_s)
    found.ended(pause_s)


def slowdown_without_load(clock):
    """Return the slowdown after ten seconds without load."""
    found = Slowdown()
    for _ in range(20):
        record_streams(found, clock, REST_S, 0.5)
    return found


def test_no_slowdown_before_some_streams_ended(clock):
    found = Slowdown()
    record_streams(found, clock, 0.5, 5.0)
    assert found.now() == 1.0


@pytest.mark.parametrize("factor", [1.0, 3.0, 10.0])
def test_slowdown_shows_within_two_seconds(clock, factor):
    found = slowdown_without_load(clock)
    record_streams(found, clock, REST_S * factor, 2.0)
    assert found.now() == pytest.approx(factor, rel=0.25)


def test_ten_seconds_of_load_do_not_change_the_baseline(clock):
    found = slowdown_without_load(clock)
    for _ in range(20):
        record_streams(found, clock, REST_S * 10, 0.5)
    assert found.now() > 7.0


def test_slowdown_decays_without_events(clock):
    found = slowdown_without_load(clock)
    record_streams(found, clock, REST_S * 10, 2.0)
    clock(12 * HALF_LIFE_S)
    assert found.now() < 1.5


def test_confidence_falls_before_first_events_are_late(clock):
    """Guards against late answers for seconds after a load spike.

    The larger model was still asked during the spike, since the answers that
    had begun were on time; requests that waited for their first event did not
    count yet.
    """
    pressure = Pressure()
    pressure.slowdown = slowdown_without_load(clock)
    assert pressure.required_confidence() == CONFIDENCE_ENOUGH
    record_streams(pressure.slowdown, clock, REST_S * 10, 1.5)
    pressure.add(0.1)
    assert pressure.required_confidence() < CONFIDENCE_ENOUGH / 3
    record_streams(pressure.slowdown, clock, REST_S, 3.0)
    assert pressure.required_confidence() == CONFIDENCE_ENOUGH


@pytest.mark.parametrize(
    ("part", "low", "high"), [(0.1, 1.0, 1.0), (0.27, 0.4, 0.6), (0.5, 0, 0)]
)
def test_started_router_uses_the_goal_for_pauses(clock, part, low, high):
    """Guards against pauses of seconds after the loss of all routers.

    All callers retry at once, at routers without an estimate of the pause
    without load. Slow streams are all that these routers have measured, so
    the estimate alone shows no slowdown.
    """
    pressure = Pressure()
    record_streams(pressure.slowdown, clock, part, 40 * part)
    assert (
        low
        <= pressure.required_confidence(gap_s=1.0) / CONFIDENCE_ENOUGH
        <= high
    )
    assert pressure.required_confidence() == CONFIDENCE_ENOUGH
