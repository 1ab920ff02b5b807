"""Constants of the statistical tests of a new version."""

from typing import Final

# Probability that a healthy version is ever judged bad, by ratings and by
# errors.
FALSE_ALARM_RATINGS: Final = 0.008
FALSE_ALARM_ERRORS: Final = 0.002
# Tolerated drop of the mean rating against the old version.
RATING_TOLERANCE: Final = 0.013
# Stakes of the bets on lower ratings. The mean of several bets needs no
# assumption on how far the ratings fell.
RATING_BETS: Final = (3.0, 6.0)
# Tolerated share of errors.
ERROR_TOLERANCE: Final = 0.02
# Error shares of a bad version that are tested against.
ERROR_SHARES: Final = (0.1, 0.3, 0.9)
# Fewest ratings of the old version for a comparison, and the half-life of a
# rating, in ratings.
CONTROL_MIN: Final = 30
CONTROL_HALF_LIFE: Final = 500.0
# Fewest ratings and requests after which a version is judged good.
GOOD_MIN_RATINGS: Final = 40
GOOD_MIN_REQUESTS: Final = 400

NAME: Final = "exposure"
# Shortest interval between two writes of an entry in seconds, and the limit on
# the writes of all entries. The platform takes several hundred a second from
# all daemons, and the lease holder reads them all: 8 of its 18 KB/s for
# control.
PUBLISH_S: Final = 2.0
FLEET_WRITES_PER_S: Final = 20.0
# Shortest half-life of a rating at one entry, in ratings.
ENTRY_HALF_LIFE_MIN: Final = 20.0
# Smallest change of a level that is written.
LEVEL_STEP: Final = 0.002
# Ratings that a step requires per answer: the share that is sampled.
RATINGS_PER_REQUEST: Final = 0.05
# Objects of ended roll-outs removed per round.
MAX_REMOVED: Final = 20
