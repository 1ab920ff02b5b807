"""Constants of the quarantine."""

from typing import Final

NAME: Final = "quarantine"

# A suspicion is forgotten after this long; a conviction after a day.
SUSPECT_S: Final = 600.0
QUARANTINE_S: Final = 86_400.0

# Memory of one daemon: about 300 bytes a record, so 1.2 MB at most.
MAX_RECORDS: Final = 4096
MAX_CRASHES: Final = 8
MAX_PROVEN: Final = 4096

# Suspects run on at most this part of a target's upstreams: each of them
# takes an upstream for itself, and the rest must go on serving.
ISOLATION_PART: Final = 0.5
# A request goes to its own upstream unless that one is so much more loaded
# than the others, as a part of capacity.
SPILL: Final = 0.25

WRITE_S: Final = 1.0
SWEEP_S: Final = 5.0
