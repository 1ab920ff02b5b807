"""Tests of knowing how much slower than at rest streams go on.

Pattern: too many long prompts for the engines that are left. Each step of an
engine reads a chunk of them, and all streams there pause for it: from 25 ms
between two events to 250 ms and more within two seconds, while the first events
are still in time. Pauses as measured on engines of the thesis repository.
"""

import pytest

from lacewingdock.components.gateway.confidence_threshold import (
    CONFIDENCE_ENOUGH,
    Pressure,
)
from lacewingdock.components.gateway.slowdown import HALF_LIFE_S, Slowdown

REST_S = 0.025


def flow(found, clock, pause_s, seconds, streams=5):
    """Let streams go on with a pause between their events."""
    for _ in range(int(seconds / pause_s)):
        clock(pause_s)
        for _ in range(streams):
            found.paused(pause_s)
    found.ended(pause_s)


def at_rest(clock):
    """Return what is known after a calm while."""
    found = Slowdown()
    for _ in range(20):
        flow(found, clock, REST_S, 0.5)
    return found


def test_nothing_is_told_before_some_streams_ended(clock):
    found = Slowdown()
    flow(found, clock, 0.5, 5.0)
    assert found.now() == 1.0


@pytest.mark.parametrize("factor", [1.0, 3.0, 10.0])
def test_slowdown_is_told_within_a_second_or_two(clock, factor):
    found = at_rest(clock)
    flow(found, clock, REST_S * factor, 2.0)
    assert found.now() == pytest.approx(factor, rel=0.25)


def test_a_crowd_of_ten_seconds_is_not_taken_for_rest(clock):
    found = at_rest(clock)
    for _ in range(20):
        flow(found, clock, REST_S * 10, 0.5)
    assert found.now() > 7.0


def test_it_fades_while_nothing_comes(clock):
    found = at_rest(clock)
    flow(found, clock, REST_S * 10, 2.0)
    clock(12 * HALF_LIFE_S)
    assert found.now() < 1.5


def test_smaller_answers_do_before_first_events_are_late(clock):
    """Symptom: a crowd ends seconds after its load, with late answers.

    Cause: the larger model was asked while answers that had begun were still
    in time; those that waited for it did not show yet.
    """
    pressure = Pressure()
    pressure.slowdown = at_rest(clock)
    assert pressure.required_confidence() == CONFIDENCE_ENOUGH
    flow(pressure.slowdown, clock, REST_S * 10, 1.5)
    pressure.add(0.1)
    assert pressure.required_confidence() < CONFIDENCE_ENOUGH / 3
    flow(pressure.slowdown, clock, REST_S, 3.0)
    assert pressure.required_confidence() == CONFIDENCE_ENOUGH


@pytest.mark.parametrize(
    ("part", "low", "high"), [(0.1, 1.0, 1.0), (0.27, 0.4, 0.6), (0.5, 0, 0)]
)
def test_router_that_has_just_started_goes_by_the_goal_of_pauses(
    clock, part, low, high
):
    """Symptom: after the loss of all routers streams pause for seconds.

    Pattern: all callers come again at once, to routers that know no pause at
    rest. Cause: slow streams were all that they had seen.
    """
    pressure = Pressure()
    flow(pressure.slowdown, clock, part, 40 * part)
    assert (
        low
        <= pressure.required_confidence(gap_s=1.0) / CONFIDENCE_ENOUGH
        <= high
    )
    assert pressure.required_confidence() == CONFIDENCE_ENOUGH
