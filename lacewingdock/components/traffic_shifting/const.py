"""Constants for rolling a service from one version to another."""

from typing import Final

# Kind of the stored objects in which each router reports on a roll-out.
KIND_REPORTS: Final = "lacewingdock-shifts"

# Parts of the allowed exposure for the canary and for the move of all requests
# at the end of the order's time. A version may turn bad at any moment, after a
# while or under load only, so everything that it gets from the order to the
# deadline stays within the allowed exposure. Moving all requests at 0.6 of the
# time instead gave a version that turned bad at 0.58 of it 47 in 100 requests,
# where 15 are allowed.
CANARY_PART: Final = 0.15
MOVE_PART: Final = 0.8
# The move begins with a ramp: for this part of its time, this share of the
# sessions moves, so that a fault that shows under load only is detected with
# less exposure.
RAMP_PART: Final = 0.3
RAMP_SHARE: Final = 0.5
# Number of the new version's instances that get their full load each before all
# requests move. Streams last seconds, so load builds up later than the move:
# without this stage, a version that failed from half of the full load on was
# completed with two bad answers of 58. A single instance that fails would be a
# bad instance, not a bad version.
FULL_LOAD_INSTANCES: Final = 2
# Seconds of full load. Streams that begin at a steady rate reach their full
# number in the time that one of them takes, which is some seconds.
FULL_LOAD_S: Final = 4.0
# Part of the move's exposure that the full load may use, and the least seconds
# of full load that are of use. Where the exposure does not suffice, as with few
# instances, there is no full-load stage.
FULL_LOAD_PART: Final = 0.4
FULL_LOAD_MIN_S: Final = 3.0
# Least seconds that must be left for the move: the ramp, all requests, then the
# reports of all routers that nothing runs on the old version.
FULL_LOAD_MOVE_S: Final = 1.2
# Part of the order's time before which no session moves. Sessions stay on their
# version for the first half; the margin is there because the routers' counts of
# the elapsed time differ slightly.
SESSIONS_MOVE_PART: Final = 0.55
# Seconds before its deadline at which an order is completed even if requests
# still run on the old version; streams among them resume on the new version.
FORCE_BEFORE_S: Final = 1.0
# Least number of the new version's answers, over all routers, before its share
# grows. A service of 20 requests a second gives its canary 9 in an order of 24
# s, fewer where sessions stay; with a minimum of 8, such an order ended 2 s
# late or not at all. The exposure to a bad version is bounded by the order's
# time, not by this minimum.
MIN_ANSWERS: Final = 4

# An answer that takes longer than this many times the old version's median plus
# this many seconds counts as bad.
SLOW_FACTOR: Final = 3.0
SLOW_EXTRA_S: Final = 0.15
# Number of the old version's latest answers by route from which the median is
# computed, and the least number for a median.
MEDIAN_WINDOW: Final = 41
MEDIAN_MIN_SAMPLES: Final = 5
# Failures of one instance within this many seconds count as one: a crash fails
# every request that runs there.
SAME_CAUSE_S: Final = 0.5

# Interval in seconds of the task that evaluates and reports roll-outs. All
# routers receive a fault found by one of them after a round and a watch, well
# within the bound of seconds.
ROUND_S: Final = 0.25
# Interval in seconds at which an unchanged report is written again as a
# heartbeat, longer in a large fleet, and the number of intervals after which a
# report's router counts as gone. A roll-out is completed only when all live
# routers have moved their requests.
REPORT_S: Final = 2.0
REPORTS_LOST: Final = 2.5
# Age in seconds from which, at the deadline, a report of a router that has not
# moved all of its requests is ignored: that router is gone or cut off, since a
# live router reports the move at once.
REPORT_LATE_S: Final = 5.0
# Interval in seconds between reports when there are new bad answers.
REPORT_BAD_S: Final = 0.5
# Reports that all routers together write per second until there is a bad answer
# or requests move: 420 writes instead of 816 by 68 routers in an order of 24 s.
# From then on the sums must be fresh, and the intervals above apply.
QUIET_REPORTS_PER_S: Final = 12.0
# Part of the platform's writes per second that the reports of all routers
# together may use.
WRITES_PART: Final = 0.2

# Wealth of the sequential test at which a version counts as bad, and at which
# it is suspect. The share of a suspect version does not grow, and the version
# is rolled back if it is still suspect at the deadline: rolling back a good
# version misses a roll-out, while completing a bad one breaks the exposure
# bound.
BAD_WEALTH: Final = 200.0
SUSPECT_WEALTH: Final = 5.0
# Least number of bad answers for a rollback: a crash can take two instances
# down at a time.
MIN_BAD: Final = 4
# The old version's share of bad answers is an average over about ten times this
# many requests, since temporary faults hit both versions.
CONTROL_HALF_LIFE: Final = 6.0
# Largest share of bad answers tolerated because of the old version's failures.
# Beyond it, a new version that fails almost always would look no worse.
MAX_TOLERATED_SHARE: Final = 0.3
# Longest time in seconds for which an order may have been placed unseen: a
# stalled watch and a list. A router that was cut off for longer does not know
# the order's age and takes it from the other routers' reports.
MAX_UNSEEN_S: Final = 3.5
