"""Support for when a roll-out gives how much to the new version.

Whatever the new version gets, from the order to its deadline, is bounded: it
may turn bad at any moment. That bound is spent on a canary over all of its
instances, then on the whole load of two of them, then on the move of all.
"""

from dataclasses import dataclass
from typing import Final

from lacewingdock.components.shifts.const import (
    CANARY_PART,
    LOADED_INSTANCES,
    LOADED_LEAST_S,
    LOADED_MOVE_S,
    LOADED_PART,
    LOADED_S,
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

    load_at_s: float
    loaded_share: float
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
    share = LOADED_INSTANCES / max(instances, LOADED_INSTANCES)
    loaded_s = min(LOADED_S, LOADED_PART * to_move_s / share)
    loaded_at_s = move_at_s + loaded_s * share / _MOVING
    load_at_s = max(loaded_at_s - loaded_s, SESSIONS_MOVE_PART * duration_s)
    too_short = loaded_at_s - load_at_s < LOADED_LEAST_S
    if too_short or duration_s - loaded_at_s < LOADED_MOVE_S:
        return Schedule(move_at_s, CANARY_PART * exposure_share, move_at_s)
    return Schedule(load_at_s, share, loaded_at_s)
