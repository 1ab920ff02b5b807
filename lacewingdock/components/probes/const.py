"""Constants of probing instances for their load."""

from typing import Final

# Name of the ports in errors and in the log.
NAME: Final = "probes"
# Instances that are probed before each choice. Two fresh answers gain nearly
# all of the difference between a random choice and the best one; the third
# instance makes up for a silent one.
PROBED_INSTANCES: Final = 3
# Seconds to wait for the answers: two round trips between failure domains. A
# request waits hundreds of milliseconds for its first event anyway.
ANSWER_TIMEOUT_S: Final = 0.006
# Exponential backoff for an instance whose sidecar did not answer, in seconds:
# the first pause, which doubles each time, and the longest one. Where no
# sidecars run, they must not delay each request.
SILENT_BACKOFF_S: Final = 0.3
MAX_SILENT_BACKOFF_S: Final = 10.0
# Seconds between a sidecar's reads of its engine's report. Requests that began
# since are among the announced ones.
READ_INTERVAL_S: Final = 0.05
# Highest age of a report that counts, and timeout of a read, in seconds.
MAX_REPORT_AGE_S: Final = 0.5
# Seconds after which an announced request that did not arrive stops counting. A
# request takes milliseconds to arrive, with a new connection tens of them.
EXPECTED_TTL_S: Final = 0.5
# Most announced requests that are tracked: ten times the places and the queue
# of the largest engine.
MAX_EXPECTED_REQUESTS: Final = 1024
# Shortest time between two reads of the routers' entries, where an unknown
# sender queries, and the longest one, in seconds: routers join and leave
# rarely.
MIN_REFRESH_INTERVAL_S: Final = 2.0
MAX_ROUTERS_AGE_S: Final = 600.0
# Seconds between log lines with a sidecar's counters.
LOG_INTERVAL_S: Final = 60.0
# Longest message that is read, in bytes.
MAX_BYTES: Final = 512
# Most unread tokens in a message, in thousands of tokens.
MAX_UNREAD: Final = 10_000.0
# Weight of a request beyond an engine's places, in running requests: it waits
# until one of them ends.
QUEUED_REQUEST_WEIGHT: Final = 4.0
