"""Constants of the leases."""

from typing import Final

NAME: Final = "leases"

# A candidate probes the holder this often and takes over after this many
# failures in a row, so that a dead holder is replaced within seconds.
PROBE_INTERVAL_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 0.7
FAILED_PROBES: Final = 2
# A candidate of rank r leaves the better ones this many more probes each.
PROBES_PER_RANK: Final = 2
# Entries that look after a lease; the others leave it alone, since reads by
# all of them would grow with the fleet.
MAX_CANDIDATES: Final = 3
# The lease is read this often; what is decided on it is a conditional update.
READ_INTERVAL_S: Final = 3.0
# Probes show that the holder runs; a renewal shows that it reaches the
# platform, without which it can do no step.
RENEW_INTERVAL_S: Final = 30.0
RENEWAL_STALE_S: Final = 100.0
# How often a holder does its work.
WORK_INTERVAL_S: Final = 1.0

# The lease whose holder runs roll-outs and orders engines. An engine compares
# one number, so all orders to engines come under one lease.
LEASE_ROLLOUTS: Final = "rollouts"
