"""Constants of sending to instances that take few requests."""

from typing import Final

# Routers with a share of one instance, in times those that one view of the
# fleet gives: some know routers that others do not know yet, or no more.
VIEWS: Final = 1.5
# Routers, in times those that one knows of, where each has a share: some that
# have just been added are not known yet.
NEWCOMERS: Final = 1.1
# Part of what a cold instance bears that is sent to it over many seconds.
COLD_PART: Final = 0.9
# Part of a limit that routers without a share send, to learn from the instance
# when its limit is over, and the part of what may come in a span that is kept
# free for them.
REST_PART: Final = 0.1
REST_ROOM: Final = 0.1
# An instance that names a lower limit, or none at all, still gets this many
# requests a second of all routers: only answers tell that the limit is over.
LEAST_PER_S: Final = 0.05
# Longest way of a request to the instance: a new connection, and its body.
WAY_S: Final = 0.45
# Span over which requests to a cold instance are counted, in seconds.
COLD_SPAN_S: Final = 1.0
# The same for an instance that names a limit, and what may come in it: so many
# times the limit, and some requests besides.
LIMIT_SPAN_S: Final = 4.0
LIMIT_OVERAGE: Final = 1.5
LIMIT_EXTRA: Final = 5.0
# Seconds between two requests of a router to an instance that has rested, until
# an answer shows that it serves again.
RETURN_GAP_S: Final = 0.1
# How often it is looked which routers there are.
RING_S: Final = 0.25
# Instances whose last turns are remembered; more than a fleet has.
MAX_REMEMBERED: Final = 16_384
# What a cold instance's slowness costs in choosing, in requests that run.
COLD_PENALTY: Final = 2.0
# Part of a request's goal for which it waits for its turn where no instance
# takes it at once; less by rank.
MAX_WAIT_SHARE: Final = 0.5
