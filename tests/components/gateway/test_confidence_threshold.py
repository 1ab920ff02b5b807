"""Tests of the confidence that a smaller model's answer must reach."""

import pytest

from lacewingdock.components.gateway.confidence_threshold import (
    ANY_FROM,
    CONFIDENCE_ENOUGH,
    HALF_LIFE_S,
    RELAXED_BELOW,
    Pressure,
)


@pytest.mark.parametrize(
    ("part", "low", "high"),
    [
        (0.0, 1.0, 1.0),
        (RELAXED_BELOW, 1.0, 1.0),
        ((RELAXED_BELOW + ANY_FROM) / 2, 0.45, 0.55),
        (ANY_FROM + 0.01, 0.0, 0.0),
        (9.0, 0.0, 0.0),
    ],
)
def test_required_confidence_falls_with_lateness(clock, part, low, high):
    pressure = Pressure()
    for _ in range(60):
        pressure.add(part)
    assert low <= pressure.required_confidence() / CONFIDENCE_ENOUGH <= high


def test_one_late_answer_has_a_bounded_effect(clock):
    pressure = Pressure()
    for _ in range(60):
        pressure.add(0.1)
    pressure.add(9.0)
    assert pressure.required_confidence() > CONFIDENCE_ENOUGH / 2


def test_larger_models_are_tried_again_after_a_burst(clock):
    pressure = Pressure()
    for _ in range(60):
        pressure.add(1.0)
    assert pressure.required_confidence() == 0.0
    clock(2 * HALF_LIFE_S)
    assert pressure.required_confidence() == CONFIDENCE_ENOUGH
