"""Constants of billing."""

from typing import Final

NAME: Final = "billing"

# Ledger writes a second that all entries together aim for; the platform
# takes several hundred of all kinds.
LEDGER_WRITES_PER_S: Final = 40.0
MIN_WRITE_INTERVAL_S: Final = 1.0
MAX_WRITE_INTERVAL_S: Final = 30.0
# After a failed write; a platform that comes back is not met by all at once.
RETRY_S: Final = 1.0

SWEEP_S: Final = 1.0
# An offer that got no answer for this long is made again, to whoever is best
# then. Longer than any write interval.
RESEND_TIMEOUT_S: Final = 90.0
# Bills of one message.
MAX_BILLS_PER_MESSAGE: Final = 500

# Bills that a sidecar holds before it takes no new work: 83 minutes at 4
# requests/s, about 8 MB.
MAX_HELD: Final = 20_000
# Bills that an entry holds before it takes no more offers: 15 minutes at 22
# requests/s, about 8 MB.
MAX_PENDING: Final = 20_000
# How long a stopping daemon waits for its last bills.
UNLOAD_TIMEOUT_S: Final = 3.0

# What a cancelled run has read is not said by the engine; English text and
# JSON have about this many bytes a token.
BYTES_PER_TOKEN: Final = 4
MICROS: Final = 1_000_000
TOKENS_PER_PRICE: Final = 1000

OUTCOME_WHOLE: Final = "whole"
OUTCOME_CANCELLED: Final = "cancelled"
OUTCOME_FAILED: Final = "failed"
OUTCOME_REFUSED: Final = "refused"
OUTCOME_UNKNOWN: Final = "unknown"
# What is charged, the better one first; other outcomes cost the operator and
# not the workspace.
CHARGED: Final = (OUTCOME_WHOLE, OUTCOME_CANCELLED)
