"""Constants of the protection against overload."""

from typing import Final

# Seconds between two looks at the open connections. Bytes that are unread at
# two looks in a row have waited for at least this long.
SAMPLE_INTERVAL_S: Final = 0.1
# Samples over which the share of late connections is averaged.
SAMPLES: Final = 3
# Fewest busy connections that are judged; one that stands still is no overload.
MIN_BUSY: Final = 8
# Share of busy connections that are late from which on new connections are
# closed, and from which on all of them are.
SHED_FROM: Final = 0.1
SHED_ALL: Final = 0.3
# Longest time in seconds from the accept of a connection to its thread. Callers
# wait a second until they are read.
MAX_QUEUED_S: Final = 0.2
# Seconds for which another router's message counts.
FULL_S: Final = 1.5
# Share of the other routers that can't keep up from which on no connection is
# closed: its caller would meet another such router.
FULL_SHARE: Final = 0.5
# Number of priorities of requests, from 0.
PRIORITIES: Final = 10
