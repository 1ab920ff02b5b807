"""Constants of sending to cold instances."""

from typing import Final

# Routers with a share of one instance, in times those that one view of the
# fleet gives: some know routers that others do not know yet, or no more.
VIEWS: Final = 1.5
# Part of what a cold instance bears that is sent to it. The rest is for those
# that take it for warm still.
PACE_PART: Final = 0.6
# Requests of one router in a second beyond those that its pace gives.
SENDS_BESIDE: Final = 2.0
# The slowest pace: an instance that gets nothing shows nothing.
MIN_PACE_PER_S: Final = 0.2
# What a cold instance's slowness costs in choosing, in requests that run.
COLD_WEIGHT: Final = 2.0
# Part of a request's goal for which it waits for its turn at cold instances
# where no other is there; less by rank.
WAIT_PART: Final = 0.5
