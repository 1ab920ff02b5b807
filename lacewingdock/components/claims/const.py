"""Constants of the claims."""

from typing import Final

NAME: Final = "claims"
SEGMENTS: Final = "claim-segments"

LOOK_S: Final = 1.0
# The sidecars that look after a partition each second, besides its home.
CANDIDATES: Final = 3
# Looks a second that all other sidecars of a service make together, in case
# the candidates went with the home; so the calls don't grow with the service.
FAR_LOOKS_PER_S: Final = 5.0
# How old the list of sidecars may be while every partition has its home.
LIST_S: Final = 10.0
# A home whose link port takes no handshake for more than this many looks is
# presumed dead. Being wrong costs a takeover, never a second run: the
# takeover's conditional write makes the old home's next commit fail.
FAILED_PROBES: Final = 3
PROBE_TIMEOUT_S: Final = 0.5
# How many looks a probe counts for: nobody listens on a dead process's port,
# while a frozen one's kernel still accepts.
PROBE_SILENT: Final = 1
PROBE_REFUSED: Final = 2
PROBE_REPLACED: Final = 4
# Looks that a partition is left to each preferred taker.
PATIENCE: Final = 1
# A takeover from a process that lives needs more than FAILED_PROBES looks, so
# a home that was never paused for this long can't have lost a partition
# without the platform's telling it. One that was paused doesn't say "not run"
# until the platform has named it home again.
TICK_S: Final = 0.25
PAUSE_S: Final = 1.5

# Writes of one partition are at least this far apart, so that claims that
# come close together share one. Eight partitions at 25 writes/s are 200 in
# all, under the platform's several hundred; the first one never waits.
COMMIT_GAP_S: Final = 0.04
# How often what a failed write left behind is written again.
RETRY_S: Final = 0.5
CONFLICT_TRIES: Final = 3
ADMIT_TIMEOUT_S: Final = 3.0
# A leaving home waits this long for the outcomes of its runs.
LEAVE_S: Final = 5.0

# Records in the head, and in one write: 2 x 64 records of at most 5.7 KB
# (a 4 KB answer in base64 and 0.2 KB besides) stay under the platform's 1 MB.
MAX_OPEN_RECORDS: Final = 64
MAX_BATCH: Final = 64
MAX_RECORDED_BODY_BYTES: Final = 4096
SEGMENT_BYTES: Final = 512 * 1024
# Old keys cost a home 16 bytes each: 4.2 MB for a full partition, and 34 MB
# for a home that holds all eight.
MAX_KEYS: Final = 262_144
# How long an ended run answers repeats itself; after that its record does.
KEEP_RUN_S: Final = 60.0

STATE_CLAIMED: Final = "claimed"
STATE_DONE: Final = "done"
STATE_NOT_RUN: Final = "not_run"
