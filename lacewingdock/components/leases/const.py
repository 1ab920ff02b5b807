"""Constants for the leases component."""

from typing import Final

NAME: Final = "leases"

# Interval and timeout in seconds of a candidate's probes of the holder, and
# the consecutive failures after which it takes over. A dead holder is thus
# replaced within seconds.
PROBE_INTERVAL_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 0.7
FAILED_PROBES: Final = 2
# Additional failed probes that a candidate waits for per rank, so that
# better-ranked candidates take over first.
PROBES_PER_RANK: Final = 2
# Number of entries that are candidates for a lease. The others don't read it,
# since the load on the platform would grow with the fleet.
MAX_CANDIDATES: Final = 3
# Seconds between reads of the lease. A stale read is safe, because every
# decision based on it is a conditional update.
READ_INTERVAL_S: Final = 3.0
# Seconds between renewals by the holder, and seconds without a renewal after
# which candidates treat the holder as down. A probe only shows that the holder
# runs; a renewal shows that it reaches the platform, which its work requires.
RENEW_INTERVAL_S: Final = 30.0
RENEWAL_STALE_S: Final = 100.0
# Seconds between calls of the work function by the holder.
WORK_INTERVAL_S: Final = 1.0

# The lease whose holder runs roll-outs and sends orders to engines. An engine
# compares a single fencing number, so all orders use the same lease.
LEASE_ROLLOUTS: Final = "rollouts"
