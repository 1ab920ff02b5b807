"""Constants of the quarantine."""

from typing import Final

NAME: Final = "quarantine"

# Seconds after its newest crash for which the evidence of a suspect is kept,
# and that of a quarantined request: one day.
SUSPECT_TTL_S: Final = 600.0
QUARANTINE_TTL_S: Final = 86_400.0

# Limits on entries, which bound the memory of a daemon: at about 300 bytes per
# record, MAX_RECORDS records take at most 1.2 MB. MAX_CRASHES is the number of
# crashes per record, MAX_SUCCEEDED that of fingerprints answered completely.
MAX_RECORDS: Final = 4096
MAX_CRASHES: Final = 8
MAX_SUCCEEDED: Final = 4096

# Largest share of a target's upstreams on which suspects run. A suspect
# occupies an upstream alone, and the others must keep serving.
MAX_ISOLATION_SHARE: Final = 0.5
# A request goes to the upstream that its fingerprint ranks first, unless that
# upstream's load exceeds the mean load by more than this share of capacity.
MAX_EXCESS_LOAD: Final = 0.25

# Instances that one request may put at risk: those that it crashed and those
# where the outcome of an attempt is unknown.
MAX_BLAST_RADIUS: Final = 2
# Seconds after which an unresolved loss expires; a sidecar that is paused for
# longer is removed from the list of instances. MAX_LOST_ATTEMPTS is the number
# of lost attempts that an entry keeps.
LOSS_TTL_S: Final = 60.0
MAX_LOST_ATTEMPTS: Final = 4096
# Seconds between two queries to a sidecar about its lost attempts.
QUERY_INTERVAL_S: Final = 0.25
# Longest time in seconds that a request waits for a silent sidecar, and the
# Retry-After that its caller gets when the wait was in vain.
MAX_WAIT_S: Final = 3.0
RETRY_AFTER_S: Final = 2.0
# Seconds after a crash before a suspect runs alone, so that each entry has
# received the evidence of where other entries have copies of the request.
EVIDENCE_DELAY_S: Final = 0.25

# Seconds between two writes of quarantines, and two sweeps of old evidence.
WRITE_INTERVAL_S: Final = 1.0
SWEEP_INTERVAL_S: Final = 5.0
