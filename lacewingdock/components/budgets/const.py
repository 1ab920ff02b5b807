"""Constants of the budgets."""

from typing import Final

NAME: Final = "budgets"
COLLECTION: Final = "budgets"

# The smallest allowance is this part of the budget, so a workspace costs the
# platform at most this many takes a day, whatever its traffic.
MAX_TAKES: Final = 20_000
# An allowance lasts about this long at the pace of the last one.
HORIZON_S: Final = 120.0
# An unused allowance goes back after this long without a request.
IDLE_S: Final = 300.0
SWEEP_S: Final = 15.0
# Pause before the platform is asked again: after it refused for good (others
# may give allowances back) and after it didn't answer.
EXHAUSTED_S: Final = 15.0
OUTAGE_S: Final = 2.0
# Tries of one take when others take at the same moment, and the pauses in
# between: at most a second in all, in which a request waits.
CONFLICT_TRIES: Final = 10
CONFLICT_FIRST_S: Final = 0.004
CONFLICT_LIMIT_S: Final = 0.25

# Generated tokens reserved for a request that names no limit itself.
RESERVED_TOKENS: Final = 1024
# Entries take the next day's first allowances spread over this long before
# midnight. All at once would meet at one object and turn requests away.
PREFETCH_S: Final = 600.0
DAY_S: Final = 86_400
