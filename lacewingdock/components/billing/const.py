"""Constants of billing."""

from typing import Final

NAME: Final = "billing"

# Target rate of ledger writes per second, summed over all entries. The
# platform accepts several hundred writes per second of all kinds.
LEDGER_WRITES_PER_S: Final = 40.0
# Bounds in seconds of the interval between the ledger writes of one entry.
MIN_WRITE_INTERVAL_S: Final = 1.0
MAX_WRITE_INTERVAL_S: Final = 30.0
# Delay in seconds after a failed ledger write. It keeps the entries from
# writing all at once when the platform recovers.
RETRY_S: Final = 1.0

# Interval in seconds at which a sidecar checks for bills to send again.
SWEEP_S: Final = 1.0
# Seconds without an acknowledgement after which a bill is sent again, to the
# entry that is preferred by then. Longer than any write interval.
RESEND_TIMEOUT_S: Final = 90.0
# Maximum number of bills in one message.
MAX_BILLS_PER_MESSAGE: Final = 500

# Number of bills held by a sidecar at which it refuses new work: 83 minutes
# at 4 requests/s, about 8 MB.
MAX_HELD: Final = 20_000
# Number of bills pending at an entry above which it declines further bills: 15
# minutes at 22 requests/s, about 8 MB.
MAX_PENDING: Final = 20_000
# Seconds for which a stopping daemon waits until its last bills are written.
UNLOAD_TIMEOUT_S: Final = 3.0

# Bytes per token, to estimate the input tokens of a cancelled run, for which
# the engine reports no count. English text and JSON have about this many.
BYTES_PER_TOKEN: Final = 4
# Millionths per price unit; costs are integers in millionths.
MICROS: Final = 1_000_000
# Number of tokens to which the configured price of a version applies.
TOKENS_PER_PRICE: Final = 1000

OUTCOME_WHOLE: Final = "whole"
OUTCOME_CANCELLED: Final = "cancelled"
OUTCOME_FAILED: Final = "failed"
OUTCOME_REFUSED: Final = "refused"
OUTCOME_UNKNOWN: Final = "unknown"
# Outcomes that are charged to the workspace, in order of preference. The
# operator bears the cost of all other outcomes.
CHARGED: Final = (OUTCOME_WHOLE, OUTCOME_CANCELLED)
