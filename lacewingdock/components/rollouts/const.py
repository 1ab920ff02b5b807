"""Constants of the roll-outs."""

from typing import Final

NAME: Final = "rollouts"

STATE_DONE: Final = "done"
STATE_LOADING: Final = "loading"
STATE_RAISING: Final = "raising"
STATE_RETURNED: Final = "returned"
STATE_RETURNING: Final = "returning"
STATE_UNLOADING: Final = "unloading"
STATES_ACTIVE: Final = (
    STATE_LOADING,
    STATE_RAISING,
    STATE_RETURNING,
    STATE_UNLOADING,
)

# Shares of new sessions that the version gets, step by step. The first is
# small enough that a bad version meets few callers before a verdict.
DEFAULT_STEPS: Final = (0.01, 0.05, 0.25, 1.0)
DEFAULT_DWELL_S: Final = 60.0
# Engines that load at once: the weight store serves few at a time, and what
# it refuses must be asked for again.
DEFAULT_PARALLEL: Final = 4

# Engines asked in one round, besides those that are loading.
MAX_ASKED: Final = 64
# An engine that fails this many orders is left out; the platform's list lags
# and names dead ones.
MAX_FAILURES: Final = 3
# Part of the engines that may be left out before the roll-out is held.
MAX_LEFT_OUT: Final = 0.2

# Who wrote, where no operator did.
BY_CONTROLLER: Final = "controller"
