"""Constants of asking instances for their load."""

from typing import Final

# What the ports are for, in errors and in the log.
NAME: Final = "probes"
# Instances asked before each choice. Two fresh answers take nearly all of the
# difference between a draw and the best; the third is for one that is silent.
PROBED_INSTANCES: Final = 3
# How long the answers are waited for: twice the way between failure domains and
# back. A request waits hundreds of milliseconds for its first event.
ANSWER_TIMEOUT_S: Final = 0.006
# An instance whose sidecar did not answer is not asked for this long, twice as
# long after each further time, up to the second figure: where no sidecars run
# they must not cost each request a wait.
SILENT_BACKOFF_S: Final = 0.3
MAX_SILENT_BACKOFF_S: Final = 10.0
# How often a sidecar reads its engine's report: what began since is among the
# promises.
READ_INTERVAL_S: Final = 0.05
# A report that is older says nothing; a read that takes longer has failed.
MAX_REPORT_AGE_S: Final = 0.5
# A request that was promised and does not come is forgotten: it takes
# milliseconds, a new connection tens of them.
EXPECTED_TTL_S: Final = 0.5
# Promises kept at most: places and queue of the largest engine, ten times.
MAX_EXPECTED_REQUESTS: Final = 1024
# How often the routers' entries are read again at most, where an unknown sender
# asks, and at least: routers come and go rarely.
MIN_REFRESH_INTERVAL_S: Final = 2.0
MAX_ROUTERS_AGE_S: Final = 600.0
# How often a sidecar says in its log what it did.
LOG_INTERVAL_S: Final = 60.0
# Longest message read.
MAX_BYTES: Final = 512
# The longest request that is promised, in thousands of tokens.
MAX_UNREAD: Final = 10_000.0
# What a request beyond an engine's places costs in requests that run: it waits
# until one of them ends.
QUEUED_REQUEST_WEIGHT: Final = 4.0
