"""Constants of moving a service from one version to another."""

from typing import Final

# Objects in which each router reports what it saw of a roll-out.
KIND_REPORTS: Final = "lacewingdock-shifts"

# A version may turn bad at any moment of a roll-out: after a while, or under
# load only. So all that it ever gets, from the order to its deadline, stays
# under the allowed exposure: this part of it for the canary, and this one for
# the end of the order's time, in which every request moves. Going over to all
# of them at 0.6 of the time instead gave a version that turned bad at 0.58
# 47 in 100 of the requests, where 15 are allowed.
CANARY_PART: Final = 0.15
MOVE_PART: Final = 0.8
# Of the time in which requests move, the part with half of the sessions: a
# fault that shows under load only is noticed with less exposed.
RAMP_PART: Final = 0.3
RAMP_SHARE: Final = 0.5
# Before all requests move, this many instances of the new version get as much
# each as they will have afterwards. A version that failed from half of a full
# load on was completed with two bad answers of 58 otherwise: streams last
# seconds, so load builds up later than the move. Two, since one that fails
# alone is a bad instance and no bad version.
FULL_LOAD_INSTANCES: Final = 2
# For how long: streams of some seconds that begin at a steady rate reach their
# full number in the time that one takes.
FULL_LOAD_S: Final = 4.0
# What it may take of the exposure that is there for the move, and the least
# time that is of use. Where it does not suffice, as with few instances,
# nothing is loaded ahead.
FULL_LOAD_PART: Final = 0.4
FULL_LOAD_MIN_S: Final = 3.0
# What must be left for the move: half of the requests, then all, then the
# reports of all routers that nothing is left on the old version.
FULL_LOAD_MOVE_S: Final = 1.2
# Sessions stay on their version for the first half of an order's time; a bit
# later, since routers reckon it a moment apart.
SESSIONS_MOVE_PART: Final = 0.55
# This long before its deadline an order is completed although requests run
# on the old version: streams among them go on at the new one.
FORCE_BEFORE_S: Final = 1.0
# Answers of the new version that must be known before it gets more. A service
# of 20 requests a second gives its canary 9 in an order of 24 s, fewer where
# sessions stay; with 8 asked for, such an order ended 2 s late, or not at all.
# What a bad version gets is bounded by the order's time, not by this.
MIN_ANSWERS: Final = 4

# An answer that takes this many times the old version's median, and this
# much longer, counts as bad.
SLOW_FACTOR: Final = 3.0
SLOW_EXTRA_S: Final = 0.15
# Old answers by route that the median goes by, and the least for one.
MEDIAN_WINDOW: Final = 41
MEDIAN_MIN_SAMPLES: Final = 5
# Failures of one instance within this time have one cause: a crash ends all
# that runs there.
SAME_CAUSE_S: Final = 0.5

# Rounds of the task that reports and decides. A fault found by one router is
# known to all after a round and a watch, well within the bound of seconds.
ROUND_S: Final = 0.25
# A report is written again this often, to show that its router lives, and less
# often in a large fleet; one that is so many times older is of a router that is
# gone. The completion of a roll-out waits for those that live.
REPORT_S: Final = 2.0
REPORTS_LOST: Final = 2.5
# At the deadline one that is this old, and not of a router that moved all of
# its requests, is of a router that is gone or cut off: one that lives reports
# at once that it moved.
REPORT_LATE_S: Final = 5.0
# New bad answers are reported sooner.
REPORT_BAD_S: Final = 0.5
# Until a bad answer comes or requests move, all routers together write this
# many reports a second: at 68 routers 420 writes in an order of 24 s, not 816.
# From then on the sums are wanted as young as above.
QUIET_REPORTS_PER_S: Final = 12.0
# Reports of all routers together take at most this part of the platform's
# writes a second.
WRITES_PART: Final = 0.2

# A wealth at which a version counts as bad, and one at which it is suspect: it
# gets no more than it has, and is rolled back if it is still suspect at the
# deadline. A good version that is rolled back is a duty missed; a bad one that
# gets all requests is a broken promise.
BAD_WEALTH: Final = 200.0
SUSPECT_WEALTH: Final = 5.0
# The fewest bad answers that convict: a crash takes two instances at a time.
MIN_BAD: Final = 4
# The old version's share of bad answers goes by about ten times this many
# requests, since troubles of the moment hit both versions.
CONTROL_HALF_LIFE: Final = 6.0
# The largest share of bad answers that the old version excuses: beyond, the
# new one could fail almost always and still look no worse.
MAX_TOLERATED_SHARE: Final = 0.3
# Longest time for which an order counts as gone unseen: a watch that went deaf
# and a list. A router that was cut off for longer does not know its age; the
# others' reports tell it.
MAX_UNSEEN_S: Final = 3.5
