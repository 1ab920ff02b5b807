"""Constants of the budgets."""

from typing import Final

NAME: Final = "budgets"
COLLECTION: Final = "budgets"

# Maximum grants per workspace and day. The smallest grant is the budget divided
# by this number, which bounds the writes to the platform at any traffic.
MAX_GRANTS: Final = 20_000
# Seconds that a grant should last at the rate at which the last one was used.
GRANT_DURATION_S: Final = 120.0
# Seconds without a request after which an unused allowance is returned.
IDLE_RETURN_S: Final = 300.0
# Seconds between two checks for allowances to renew, return or drop.
SWEEP_INTERVAL_S: Final = 15.0
# Seconds before the next grant is requested: after the budget was exhausted
# (other entries may return allowances), and after the platform failed.
EXHAUSTED_RETRY_S: Final = 15.0
OUTAGE_RETRY_S: Final = 2.0
# Attempts of one account update under write conflicts, and the first and
# longest backoff in seconds: a second in all at most, for which a request
# waits.
MAX_CONFLICT_ATTEMPTS: Final = 10
CONFLICT_BACKOFF_S: Final = 0.004
MAX_CONFLICT_BACKOFF_S: Final = 0.25

# Output tokens reserved for a request without a token limit of its own.
RESERVED_TOKENS: Final = 1024
# Seconds before midnight over which the entries spread their first grants of
# the next day. All at once would conflict on one object and refuse requests.
PREFETCH_WINDOW_S: Final = 600.0
# Seconds of a day.
DAY_S: Final = 86_400
