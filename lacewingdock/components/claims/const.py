"""Constants of the claims."""

from typing import Final

NAME: Final = "claims"
LOOK_S: Final = 1.0
# A home whose link port takes no handshake for this many looks is presumed
# dead. Being wrong costs a takeover, never a second run: the takeover's
# conditional write makes the old home's next commit fail.
FAILED_PROBES: Final = 3
PROBE_TIMEOUT_S: Final = 0.5
# Writes of one partition are at least this far apart, so that claims that
# come close together share one.
COMMIT_GAP_S: Final = 0.005
ADMIT_TIMEOUT_S: Final = 6.0
MAX_OPEN_RECORDS: Final = 64
MAX_RECORDED_BODY_BYTES: Final = 4096
WINDOW_S: Final = 24 * 3600

STATE_CLAIMED: Final = "claimed"
STATE_DONE: Final = "done"
STATE_NOT_RUN: Final = "not_run"
