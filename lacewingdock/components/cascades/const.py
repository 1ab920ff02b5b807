"""Constants of the cascades."""

from typing import Final

BINS: Final = 10
# Ratings after which an observation counts half: short enough to follow a
# drift of quality within some thousand requests, long enough to tell bins
# apart.
HALF_LIFE_RATINGS: Final = 200.0
# Answers after which the share of a score bin counts half.
HALF_LIFE_SCORES: Final = 300.0
# Ratings that the first belief about verdicts counts as.
VERDICT_PRIOR_WEIGHT: Final = 6.0
# Ratings that what all classes together tell of a bin counts as.
CLASS_PRIOR_WEIGHT: Final = 8.0
# Answers that a flat spread of scores counts as for a new class.
BASE_PRIOR_ANSWERS: Final = 2.0
BASE_ROUNDS: Final = 3
PRIOR_LAST_GOOD: Final = 0.95
PRIOR_LAST_WEIGHT: Final = 4.0
PRIOR_COST: Final = 1.0
# A cheap answer in a bin this rare does not make the whole class held back.
RARE_BIN: Final = 0.01
# Requests between two looks at what a good answer must be worth.
RETUNE_REQUESTS: Final = 50
WORTH_MAX: Final = 1e4
WORTH_STEPS: Final = 24
# Confidence with which a window's quality holds the target, and its length.
WINDOW_REQUESTS: Final = 500
CONFIDENCE: Final = 0.95
MAX_CLASSES: Final = 256
# Part of requests that take every step to learn.
EXPLORE: Final = 0.02
# Standard error of the expected quality over a window.
ESTIMATE_ERROR: Final = 0.018
# How fast, and how far, the ratings of given answers correct the estimates.
SHORTFALL_RATE: Final = 0.002
SHORTFALL_MAX: Final = 0.03
LAST_FADE: Final = 0.995
NAME: Final = "cascades"
# Part of answers handed in for a rating.
SAMPLE: Final = 0.05
SAMPLE_ROUND_S: Final = 2.0
MAX_OPEN_SAMPLES: Final = 2048
MAX_POLICIES: Final = 64
CLASS_NAME_CHARS: Final = 32
