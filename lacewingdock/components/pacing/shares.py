"""Division of an instance's allowed requests among routers."""

import functools
import math
from dataclasses import dataclass

from lacewingdock.components.pacing.const import (
    COLD_SHARE,
    MAX_TRANSIT_S,
    MIN_PER_S,
    NEWCOMER_FACTOR,
    PROBE_RESERVE,
    PROBE_SHARE,
    VIEW_FACTOR,
)


@dataclass(slots=True, frozen=True)
class Allowance:
    """Requests that an instance accepts from all routers together.

    Attributes:
        per_s: Average rate in requests a second.
        max_arrivals: Requests that may arrive in any window of `span_s`.
        span_s: Length of the window, in seconds.
        ends_by_answer: Whether only the instance's answers show the end of the
            bound, so that each router must probe it at intervals.
    """

    per_s: float
    max_arrivals: float
    span_s: float
    ends_by_answer: bool = False


@dataclass(slots=True, frozen=True)
class Shares:
    """Division of an allowance among routers.

    Attributes:
        routers: Number of routers with a share.
        gap_s: Seconds between two requests of a router with a share.
        probe_gap_s: Seconds between two requests of a router without a share;
            infinity if such routers send none.
    """

    routers: int
    gap_s: float
    probe_gap_s: float


@functools.lru_cache
def compute_shares(allowance: Allowance, routers: int) -> Shares:
    """Return how routers divide an allowance.

    Two requests that a router sends a gap apart may arrive closer together, by
    up to `MAX_TRANSIT_S`. So the requests of one router that arrive in a window
    are the gaps that fit into the window plus that time.

    Args:
        allowance: Requests that the instance accepts.
        routers: Number of routers in the fleet.
    """
    per_s = max(allowance.per_s, MIN_PER_S)
    routers = max(routers, 1)
    max_arrivals, sharing = allowance.max_arrivals, routers
    if routers * NEWCOMER_FACTOR > max_arrivals:
        if allowance.ends_by_answer:
            max_arrivals -= 1.0 + PROBE_RESERVE * max_arrivals
        sharing = max(math.floor(_max_sharing(max_arrivals)), 1)
    senders = min(
        routers * NEWCOMER_FACTOR, sharing * VIEW_FACTOR + math.sqrt(sharing)
    )
    each = max(math.floor(max_arrivals / senders), 1)
    pace = per_s * _pace_part(allowance, has_probers=sharing < routers)
    gap_s = max((allowance.span_s + MAX_TRANSIT_S) / each, sharing / pace)
    probe_gap_s = math.inf
    if allowance.ends_by_answer:
        probe_gap_s = max((routers - sharing) / (PROBE_SHARE * per_s), gap_s)
    return Shares(sharing, gap_s, probe_gap_s)


def _pace_part(allowance: Allowance, *, has_probers: bool) -> float:
    """Return the share of the rate that routers with a share send.

    An instance accepts the full rate of a limit that it names; a cold instance
    may crash at its full rate.
    """
    if not allowance.ends_by_answer:
        return COLD_SHARE
    return 1.0 - PROBE_SHARE if has_probers else 1.0


def _max_sharing(max_arrivals: float) -> float:
    """Return how many routers may have a share if each sends one request.

    For n routers with a share in one view of the fleet, up to n *
    `VIEW_FACTOR` + sqrt(n) have one in any view; the root covers the random
    variation between views.
    """
    root = (math.sqrt(1.0 + 4.0 * VIEW_FACTOR * max_arrivals) - 1.0) / (
        2.0 * VIEW_FACTOR
    )
    return root * root
