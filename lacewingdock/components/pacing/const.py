"""Constants of rate limiting to cold and limited instances."""

from typing import Final

# Factor from the routers with a share of an instance in one view of the fleet
# to those in all views: membership changes reach routers at different times.
VIEW_FACTOR: Final = 1.5
# Factor from the routers that one router lists to those that may exist, where
# each has a share: some were just added and are not listed yet.
NEWCOMER_FACTOR: Final = 1.1
# Share of a cold instance's rate that is sent to it on average.
COLD_SHARE: Final = 0.9
# Share of a limit's rate for probes by routers without a share, which show them
# when the limit has ended, and the share of the requests allowed per window
# that is reserved for these probes.
PROBE_SHARE: Final = 0.1
PROBE_RESERVE: Final = 0.1
# Lowest rate in requests a second that all routers together send, even to an
# instance that names a lower limit or 0: only answers show the limit's end.
MIN_PER_S: Final = 0.05
# Longest time in seconds from sending a request to its arrival at the instance,
# with a new connection and the body.
MAX_TRANSIT_S: Final = 0.45
# Window in seconds over which requests to a cold instance are counted.
COLD_SPAN_S: Final = 1.0
# Window in seconds over which requests to an instance with a limit are counted,
# and the requests allowed in it: `LIMIT_OVERAGE` times the rate times the
# window, plus `LIMIT_EXTRA`.
LIMIT_SPAN_S: Final = 4.0
LIMIT_OVERAGE: Final = 1.5
LIMIT_EXTRA: Final = 5.0
# Seconds between two requests of a router to an instance after its rest, until
# an answer shows that it serves again.
RETURN_GAP_S: Final = 0.1
# Seconds between checks of the list of routers, from which the ring is built.
RING_REFRESH_S: Final = 0.25
# Instances whose last request is remembered; more than a fleet has.
MAX_REMEMBERED: Final = 16_384
# Penalty of a cold instance in load balancing, in running requests: it is
# slower than a warm one.
COLD_PENALTY: Final = 2.0
# Largest share of a request's latency goal that it may wait if no instance
# admits it at once; less by priority.
MAX_WAIT_SHARE: Final = 0.5
