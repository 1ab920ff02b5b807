"""Constants of moving a service from one version to another."""

from typing import Final

# Objects in which each router reports what it saw of a roll-out.
KIND_REPORTS: Final = "lacewingdock-shifts"

# Part of the allowed exposure that the new version gets at first. Half of it
# leaves the other half for a fault that shows under more load only, while
# that is noticed.
CANARY_PART: Final = 0.5
# Parts of the order's time: up to the first the new version has the canary's
# share, up to the second half of the sessions, then all. Sessions may not
# move before half of the time; what runs on the old version needs the rest
# to end, since it is stopped once the order is completed.
RAMP_AT: Final = 0.52
ALL_AT: Final = 0.60
RAMP_SHARE: Final = 0.5
# From here an order is completed although requests run on the old version:
# streams among them go on at the new one.
FORCE_AT: Final = 0.94
# Answers of the new version that must be known before it gets more.
MIN_ANSWERS: Final = 8

# An answer that takes this many times the old version's median, and this
# much longer, counts as bad.
SLOW_FACTOR: Final = 3.0
SLOW_EXTRA_S: Final = 0.15
# Old answers by route that the median goes by, and the least for one.
MEDIAN_OF: Final = 41
MEDIAN_MIN: Final = 5
# Failures of one instance within this time have one cause: a crash ends all
# that runs there.
SAME_CAUSE_S: Final = 0.5

# Rounds of the task that reports and decides. A fault found by one router is
# known to all after a round and a watch, well within the bound of seconds.
ROUND_S: Final = 0.25
# A report is written again this often, to show that its router lives; one that
# is older than `REPORT_LOST_S` is of a router that is gone. New bad answers
# are reported sooner.
REPORT_S: Final = 2.0
REPORT_BAD_S: Final = 0.5
REPORT_LOST_S: Final = 5.0
# Reports of all routers together take at most this part of the platform's
# writes a second.
WRITES_PART: Final = 0.2
