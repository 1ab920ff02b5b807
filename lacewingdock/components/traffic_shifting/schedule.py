"""Support for scheduling the new version's share of the requests.

The new version may turn bad at any moment, so its total exposure from the order
to the deadline is bounded. This exposure is spent on a canary over all of the
version's instances, then on the full load of two of them, then on the move of
all requests.
"""

from dataclasses import dataclass
from typing import Final

from lacewingdock.components.traffic_shifting.const import (
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

# Mean share of the requests that the new version gets during the move. The move
# lasts for its exposure in seconds divided by this share.
_MOVING: Final = 1.0 - RAMP_PART * (1.0 - RAMP_SHARE)


@dataclass(slots=True, frozen=True)
class Schedule:
    """The new version's share of the requests over an order's time.

    Attributes:
        full_load_at_s: Seconds after the order from which a few instances get
            the load that each instance has after the move; equal to `move_at_s`
            where the exposure does not suffice for this.
        full_load_share: Share of the requests that these instances get.
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
        duration_s: Seconds from the order to its deadline.
        exposure_share: Share of the requests that a bad version may get.
        instances: Number of instances of the new version.
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
