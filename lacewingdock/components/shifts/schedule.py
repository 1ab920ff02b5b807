"""Support for when a roll-out gives how much to the new version.

Whatever the new version gets, from the order to its deadline, is bounded: it
may turn bad at any moment. That bound is spent on a canary over all of its
instances, then on the whole load of two of them, then on the move of all.
"""

from dataclasses import dataclass
from typing import Final

from lacewingdock.components.shifts.const import (
    CANARY_PART,
    FULL_LOAD_INSTANCES,
    FULL_LOAD_MIN_S,
    FULL_LOAD_MOVE_S,
    FULL_LOAD_PART,
    FULL_LOAD_S,
    MOVE_PART,
    RAMP_PART,
    RAMP_SHARE,
    SESSIONS_MOVE_PART,
)

# Part of the requests that the new version gets in the mean of the move: the
# exposure lasts this much longer.
_MOVING: Final = 1.0 - RAMP_PART * (1.0 - RAMP_SHARE)


@dataclass(slots=True, frozen=True)
class Schedule:
    """What the new version gets, and when.

    Attributes:
        load_at_s: Seconds after the order from which a few instances get
            all that an instance gets after the move; the same as `move_at_s`
            where the bound does not suffice for it.
        loaded_share: Share of the requests that goes to them then.
        move_at_s: Seconds after the order from which all requests move.
    """

    full_load_at_s: float
    full_load_share: float
    move_at_s: float


def schedule(
    duration_s: float, exposure_share: float, instances: int
) -> Schedule:
    """Return the schedule of an order.

    Args:
        duration_s: Seconds in which it shall be done.
        exposure_share: Share of the requests that a bad version may get.
        instances: Instances of the new version.
    """
    bound_s = exposure_share * duration_s
    to_move_s = MOVE_PART * bound_s
    move_at_s = duration_s - to_move_s / _MOVING
    share = FULL_LOAD_INSTANCES / max(instances, FULL_LOAD_INSTANCES)
    full_load_s = min(FULL_LOAD_S, FULL_LOAD_PART * to_move_s / share)
    full_load_until_s = move_at_s + full_load_s * share / _MOVING
    full_load_at_s = max(
        full_load_until_s - full_load_s, SESSIONS_MOVE_PART * duration_s
    )
    too_short = full_load_until_s - full_load_at_s < FULL_LOAD_MIN_S
    if too_short or duration_s - full_load_until_s < FULL_LOAD_MOVE_S:
        return Schedule(move_at_s, CANARY_PART * exposure_share, move_at_s)
    return Schedule(full_load_at_s, share, full_load_until_s)
