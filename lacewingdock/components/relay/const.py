"""Constants of passing the store's news on between routers."""

from typing import Final

# What the port is for, in errors and in the log.
NAME: Final = "relay"
# Watchers that each router listens to: one that dies, freezes or is cut off
# costs calls of nobody else while the other one answers.
WATCHERS_PER_GROUP: Final = 2
# Routers that share the same watchers. A watcher answers each of them 1.25
# times a second with some 150 bytes: 12 KB a second, two thirds of what control
# may take.
ROUTERS_PER_GROUP: Final = 64
# How often a router asks, each time another of its watchers.
QUERY_INTERVAL_S: Final = 0.4
# An answer that takes longer is none: a round trip takes milliseconds, a turn
# of a busy router tens of them.
ANSWER_TIMEOUT_S: Final = 0.3
# Questions in a row without an answer after which another router is asked, and
# for how long the silent one is left alone: a restart takes a second or two.
MAX_MISSED_ANSWERS: Final = 2
SILENT_WATCHER_PAUSE_S: Final = 5.0
# A router that was asked watches for itself this long, and tells news to who
# asked this lately: several questions, some of which may be lost.
LISTENER_TTL_S: Final = 2.5
# Without an answer for so long a router watches for itself although its copy is
# young enough: it would see changes late, if within their bounds.
WATCHER_TIMEOUT_S: Final = 1.2
# How long a copy that others keep fresh is left alone before it is looked at
# again: a wake-up of each mirror a second.
RECHECK_S: Final = 1.0
# For how long the word counts that the store does not answer a watcher. It is
# renewed by each answer of one.
STORE_AWAY_TTL_S: Final = 2 * QUERY_INTERVAL_S + 0.2
# Routers ask the store at an age that is drawn between this part of the limit
# and all of it, so that not all ask at once where their watchers are gone.
MIN_LIMIT_PART: Final = 0.9
# For how long an answered call of its own tells a router that the store is
# there for it, whatever a watcher says of itself: a watch and what follows it.
STORE_ANSWERED_TTL_S: Final = 2.5
# Following pays where it makes the calls at most this part of what they are
# if each router watches.
MAX_CALLS_PART: Final = 0.5
# Longest message read.
MAX_BYTES: Final = 2048
# Kinds that a message tells of, at most.
MAX_KINDS: Final = 16
# Milliseconds that an age or a doubt may be: an hour. What is older says
# nothing.
MAX_AGE_MS: Final = 3_600_000
