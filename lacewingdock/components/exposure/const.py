"""Constants of the tests on a version's exposure."""

from typing import Final

# Chance that a healthy version is ever called bad, by ratings or by errors.
FALSE_ALARM_RATINGS: Final = 0.008
FALSE_ALARM_ERRORS: Final = 0.002
# A rating this much lower than the old version's is no reason to go back.
RATING_TOLERANCE: Final = 0.013
# Bets on how far the ratings fell; the mean of several needs no guess.
RATING_BETS: Final = (3.0, 6.0)
# An error share no worse than this is no reason to go back.
ERROR_TOLERANCE: Final = 0.02
# Error shares that a bad version might have.
ERROR_SHARES: Final = (0.1, 0.3, 0.9)
# Ratings of the old version needed before the two are compared, and how
# many of them the comparison goes by.
CONTROL_MIN: Final = 30
CONTROL_HALF_LIFE: Final = 500.0
# Requests answered well after which a version is called good.
GOOD_MIN_RATINGS: Final = 40
GOOD_MIN_REQUESTS: Final = 400

NAME: Final = "exposure"
# Each entry writes at most this often, and all of them together no more
# writes a second than this: the platform takes several hundred from all, and
# the holder reads them all: 8 of the 18 KB/s that it has for all control.
PUBLISH_S: Final = 2.0
FLEET_WRITES_PER_S: Final = 20.0
# Ratings that an entry's part of the comparison goes by at least.
ENTRY_HALF_LIFE_MIN: Final = 20.0
# Levels that moved less are not written again.
LEVEL_STEP: Final = 0.002
# Ratings that a step waits for with each answer; as many as are sampled.
RATINGS_PER_REQUEST: Final = 0.05
# Objects of ended roll-outs that are removed in a round.
MAX_REMOVED: Final = 20
