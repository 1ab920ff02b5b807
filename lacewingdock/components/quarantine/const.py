"""Constants of the quarantine."""

from typing import Final

NAME: Final = "quarantine"

# A suspicion is forgotten after this long; a conviction after a day.
SUSPECT_TTL_S: Final = 600.0
QUARANTINE_TTL_S: Final = 86_400.0

# Memory of one daemon: about 300 bytes a record, so 1.2 MB at most.
MAX_RECORDS: Final = 4096
MAX_CRASHES: Final = 8
MAX_SUCCEEDED: Final = 4096

# Suspects run on at most this part of a target's upstreams: each of them
# takes an upstream for itself, and the rest must go on serving.
MAX_ISOLATION_SHARE: Final = 0.5
# A request goes to its own upstream unless that one is so much more loaded
# than the others, as a part of capacity.
MAX_EXCESS_LOAD: Final = 0.25

# Upstreams that one request may endanger: those that it crashed and those of
# which that is not known yet.
MAX_BLAST_RADIUS: Final = 2
# A loss that nobody clears up is forgotten after this long; a sidecar that is
# paused for longer is taken off the list of instances.
LOSS_TTL_S: Final = 60.0
MAX_LOST_ATTEMPTS: Final = 4096
# How often a sidecar that was silent is asked what became of lost attempts.
QUERY_INTERVAL_S: Final = 0.25
# How long a request waits here for a silent sidecar, and when its caller may
# come back if that is not enough.
MAX_WAIT_S: Final = 3.0
RETRY_AFTER_S: Final = 2.0
# After a crash a suspect waits for so long before it runs alone, so that each
# entry has heard where the others have copies of it.
EVIDENCE_DELAY_S: Final = 0.25

WRITE_INTERVAL_S: Final = 1.0
SWEEP_INTERVAL_S: Final = 5.0
