"""Constants of sending to cold instances."""

from typing import Final

# Routers with a share of one instance, in times those that one view of the
# fleet gives: some know routers that others do not know yet, or no more.
VIEWS: Final = 1.5
# Routers, in times those that one knows of, where each has a share: some that
# have just been added are not known yet.
NEWCOMERS: Final = 1.1
# Part of what a cold instance bears that is sent to it over many seconds.
PACE_PART: Final = 0.9
# Span over which requests are counted.
SECOND_S: Final = 1.0
# Longest way of a request to the instance: a new connection, and its body.
WAY_S: Final = 0.45
# What a cold instance's slowness costs in choosing, in requests that run.
COLD_WEIGHT: Final = 2.0
# Part of a request's goal for which it waits for its turn at cold instances
# where no other is there; less by rank.
WAIT_PART: Final = 0.5
