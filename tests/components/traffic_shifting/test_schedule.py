"""Tests of the schedule of the new version's share."""

import pytest

from lacewingdock.components.traffic_shifting.const import (
    CANARY_PART,
    FULL_LOAD_MIN_S,
    RAMP_PART,
    RAMP_SHARE,
    SESSIONS_MOVE_PART,
)
from lacewingdock.components.traffic_shifting.schedule import schedule

DURATIONS_S = (2.0, 6.0, 12.0, 16.0, 20.0, 24.0, 60.0, 600.0)
EXPOSURES = (0.01, 0.05, 0.0975, 0.15, 0.5)
INSTANCES = (0, 1, 2, 4, 6, 9, 37, 500)


@pytest.mark.parametrize("duration_s", DURATIONS_S)
@pytest.mark.parametrize("exposure", EXPOSURES)
@pytest.mark.parametrize("instances", INSTANCES)
def test_exposure_of_the_schedule_is_bounded(duration_s, exposure, instances):
    """The exposure up to any moment stays within the allowed exposure."""
    plan = schedule(duration_s, exposure, instances)
    canary = plan.full_load_at_s * exposure * CANARY_PART
    loaded = (plan.move_at_s - plan.full_load_at_s) * plan.full_load_share
    moved = duration_s - plan.move_at_s
    moved *= RAMP_PART * RAMP_SHARE + 1.0 - RAMP_PART
    assert canary + loaded + moved <= exposure * duration_s
    assert plan.full_load_at_s <= plan.move_at_s <= duration_s


@pytest.mark.parametrize(
    ("duration_s", "exposure", "instances", "loads"),
    [
        (20.0, 0.15, 9, True),
        (24.0, 0.0975, 37, True),
        # The exposure does not suffice for the full load of two of four.
        (20.0, 0.15, 4, False),
        (20.0, 0.15, 0, False),
        (4.0, 0.15, 9, False),
    ],
)
def test_full_load_only_where_the_exposure_suffices(
    duration_s, exposure, instances, loads
):
    plan = schedule(duration_s, exposure, instances)
    full_load_s = plan.move_at_s - plan.full_load_at_s
    assert full_load_s >= FULL_LOAD_MIN_S if loads else full_load_s == 0
    assert not loads or plan.full_load_at_s >= SESSIONS_MOVE_PART * duration_s
