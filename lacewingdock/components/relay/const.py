"""Constants of relaying the store's changes between routers."""

from typing import Final

# Name of the port in errors and in the log.
NAME: Final = "relay"
# Watchers that each router follows: while one of them is dead, frozen or cut
# off, the other one still answers, and the followers make no calls of their
# own.
WATCHERS_PER_GROUP: Final = 2
# Routers that share the same watchers. A watcher answers each of them 1.25
# times a second with some 150 bytes: 12 KB a second, two thirds of the
# bandwidth allowed for control traffic.
ROUTERS_PER_GROUP: Final = 64
# Seconds between a router's queries; they go to its watchers in turn.
QUERY_INTERVAL_S: Final = 0.4
# Seconds after which a query counts as unanswered. A round trip takes
# milliseconds, and a busy router needs tens of milliseconds to answer.
ANSWER_TIMEOUT_S: Final = 0.3
# Consecutive unanswered queries after which another router is queried instead,
# and seconds for which the silent one is not queried: a restart takes a second
# or two.
MAX_MISSED_ANSWERS: Final = 2
SILENT_WATCHER_PAUSE_S: Final = 5.0
# Seconds for which a queried router watches the store, and for which it
# announces changes to the router that queried it. This spans several queries,
# as some of them may be lost.
LISTENER_TTL_S: Final = 2.5
# Seconds without an answer after which a router watches the store itself even
# though its copy is fresh enough: otherwise it would see changes late, if
# still within their bounds.
WATCHER_TIMEOUT_S: Final = 1.2
# Seconds between checks of a copy that the watchers keep fresh: each mirror
# wakes up once a second.
RECHECK_S: Final = 1.0
# Seconds for which a watcher's report counts that the store does not answer
# it. Each further answer of a watcher renews it.
STORE_AWAY_TTL_S: Final = 2 * QUERY_INTERVAL_S + 0.2
# Lower end of the jitter on the age limit, as a part of the limit. Each router
# calls the store at an age drawn between this part and the full limit, so that
# routers that lost their watchers do not all call at once.
MIN_LIMIT_PART: Final = 0.9
# Seconds for which an answered call of its own shows a router that it reaches
# the store, whatever a watcher reports of itself. This covers a watch and the
# call that follows it.
STORE_ANSWERED_TTL_S: Final = 2.5
# Routers follow watchers only where this reduces the calls to at most this part
# of the calls made when each router watches the store itself.
MAX_CALLS_PART: Final = 0.5
# Longest message that is read, in bytes.
MAX_BYTES: Final = 2048
# Most kinds in a message.
MAX_KINDS: Final = 16
# Longest age or doubt in a message, in milliseconds: an hour. Older
# information is worthless.
MAX_AGE_MS: Final = 3_600_000
