"""Support for gossip between routers, many times a second.

A router counts its own requests only. Among many routers each sees a small part
of an instance's load, and its choice of an instance is close to random: two
long prompts meet at one instance, and all requests there wait for both, while
the next instance is idle. So routers send each other the requests that they
have running, and the sessions that must stay on their version. They also share
the rate limits that instances name, before each router runs into them itself.

Messages are datagrams that may be lost. They establish no consensus, and
information that is not repeated expires.
"""

import math
from typing import Any, Final

import msgspec

from lacewingdock.helpers.datagrams import bad_message, decode_message

# Name of the port in errors and in the log.
NAME: Final = "gossip"
# Seconds for which a router's message counts: a few messages may be lost, and
# the load of a router that is gone must not be counted. A router repeats a
# message that is not empty every third of this time.
STALE_S: Final = 1.0
REPEAT_S: Final = STALE_S / 3
# Most instances and most sessions in a message, by the size of a datagram.
MAX_ROWS: Final = 96
MAX_SESSIONS: Final = 64
# Most bad versions in a message: one per service, and there are far fewer
# services.
MAX_BAD_VERSIONS: Final = 64
# Most replaced instances in a message: after a power loss of a whole fleet they
# are spread over several messages.
MAX_REPLACED: Final = 128
# Most instances that left, as announced in a message.
MAX_LEFT: Final = 128
# Most limits in a message, the most recent ones.
MAX_LIMITS: Final = 64
# Most prompt parts in a message with crashes of instances, and most instances
# of each.
MAX_CRASH_ROWS: Final = 16
MAX_CRASHES: Final = 8
# Highest valid limit, in requests per second, and highest age of a limit in a
# message, in milliseconds.
MAX_PER_S: Final = 1e6
MAX_AGE_MS: Final = 60_000
# Most requests at an instance, and their most unread tokens, in tens of tokens:
# twenty times the connections that an instance accepts, with the longest
# prompts. With these bounds the sum over all routers stays comparable with a
# load.
MAX_RUNNING: Final = 10_000
MAX_UNREAD: Final = 10**8


class LoadRow(msgspec.Struct, array_like=True, frozen=True):
    """A router's load at an instance.

    Attributes:
        mark: Digest of the instance's start.
        running: Requests of the router that run at the instance.
        unread: Prompt tokens of those whose answers have not begun, in tens
            of tokens of the largest model.
        quiet_ms: Milliseconds since the router last received anything from
            the instance; below 0 if not reported.
    """

    mark: int
    running: int
    unread: int
    quiet_ms: int = -1


class PinnedSession(msgspec.Struct, array_like=True, frozen=True):
    """A session that is pinned to an old version for a while.

    Attributes:
        service: The service.
        session: Name of the session.
        version: The version to which it is pinned.
        age_s: Seconds since its last request.
    """

    service: str
    session: str
    version: str
    age_s: int


class LimitRow(msgspec.Struct, array_like=True, frozen=True):
    """A rate limit that an instance named to a router.

    Attributes:
        mark: Digest of the instance's start.
        per_s: Requests per second that it accepts from all routers together.
        age_ms: Milliseconds since the router received it.
    """

    mark: int
    per_s: float
    age_ms: int


class CrashRow(msgspec.Struct, array_like=True, frozen=True):
    """Crashes that a router saw beside requests with a prompt part.

    Attributes:
        trait: Name of the part.
        crashed: Instances that crashed while they had such a request.
        recurrent: Whether a request was lost that was sent after another loss.
        cleared: Instances whose crash does not count against the part, since a
            request with it was answered.
    """

    trait: str
    crashed: list[str] = []
    recurrent: bool = False
    cleared: list[str] = []


class Message(msgspec.Struct, array_like=True, frozen=True):
    """A router's gossip message.

    Attributes:
        router: Name of the router.
        start: Identifies the start of the router; a later one is larger.
        number: Sequence number of the message since that start.
        rows: Its load at the instances.
        sessions: Sessions that are pinned to an old version.
        bad: Versions that it found bad, as (service, version).
        replaced: Digests of instances' starts at whose addresses other
            instances answered.
        limits: Limits that instances named to it.
        crashes: Crashes beside requests with prompt parts.
        overloaded: Whether it can't keep up with its connections.
        left: Digests of instances' starts that left, as it observed, although
            entries are listed that say otherwise.
    """

    router: str
    start: int
    number: int
    rows: list[LoadRow] = []
    sessions: list[PinnedSession] = []
    bad: list[tuple[str, str]] = []
    replaced: list[int] = []
    limits: list[LimitRow] = []
    crashes: list[CrashRow] = []
    overloaded: bool = False
    left: list[int] = []

    @property
    def content(self) -> tuple[Any, ...]:
        """The payload, without sender, numbers, ages of loads and of limits."""
        rows = [(row.mark, row.running, row.unread) for row in self.rows]
        limits = [(limit.mark, limit.per_s) for limit in self.limits]
        return (
            rows,
            self.sessions,
            self.bad,
            self.replaced,
            limits,
            self.crashes,
            self.overloaded,
            self.left,
        )


_DECODER: Final = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decode a datagram.

    Raises:
        LacewingdockError: BAD_REQUEST, for a malformed message or a value
            out of its bounds.
    """
    found = decode_message(_DECODER, NAME, data)
    if len(found.rows) > MAX_ROWS or len(found.sessions) > MAX_SESSIONS:
        raise bad_message(NAME, "too many instances or sessions")
    if len(found.bad) > MAX_BAD_VERSIONS:
        raise bad_message(NAME, "too many bad versions")
    if len(found.replaced) > MAX_REPLACED:
        raise bad_message(NAME, "too many replaced instances")
    if len(found.left) > MAX_LEFT:
        raise bad_message(NAME, "too many instances that left")
    if not all(_is_load(row) for row in found.rows):
        raise bad_message(NAME, "load of an instance out of bounds")
    if len(found.limits) > MAX_LIMITS:
        raise bad_message(NAME, "too many limits")
    if not all(_is_limit(row) for row in found.limits):
        raise bad_message(NAME, "limit of an instance out of bounds")
    if len(found.crashes) > MAX_CRASH_ROWS:
        raise bad_message(NAME, "too many parts with crashes")
    if not all(_is_crash(row) for row in found.crashes):
        raise bad_message(NAME, "too many crashes of a part")
    if any(one.age_s < 0 for one in found.sessions):
        raise bad_message(NAME, "negative age of a session")
    return found


def _is_load(row: LoadRow) -> bool:
    return 0 <= row.running <= MAX_RUNNING and 0 <= row.unread <= MAX_UNREAD


def _is_limit(row: LimitRow) -> bool:
    is_rate = math.isfinite(row.per_s) and 0.0 <= row.per_s <= MAX_PER_S
    return is_rate and 0 <= row.age_ms <= MAX_AGE_MS


def _is_crash(row: CrashRow) -> bool:
    return max(len(row.crashed), len(row.cleared)) <= MAX_CRASHES
