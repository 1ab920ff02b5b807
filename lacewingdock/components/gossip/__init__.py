"""Support for what routers tell each other, many times a second.

A router counts its own requests only. With many of them each sees a small part
of what an instance has to do, and what it chooses is close to a draw: two long
prompts meet at one instance, and all that runs there waits for both, while the
next instance is idle. So routers tell each other what they have running, and
which sessions must stay on the version that they are on. They also tell of the
limits that instances name, before each has to meet them itself.

Messages are datagrams that may be lost. Nothing is agreed by them, and what is
not repeated is forgotten.
"""

import math
from typing import Any, Final

import msgspec

from lacewingdock.helpers.datagrams import bad_message, decode_message

# What its port is for, in errors and in the log.
NAME: Final = "gossip"
# What a router told counts for this long: a few messages may be lost, and one
# that is gone must not be reckoned with. While it has something to tell, a
# router repeats it every third of it.
STALE_S: Final = 1.0
REPEAT_S: Final = STALE_S / 3
# Instances and sessions told of at most: a datagram's size.
MAX_ROWS: Final = 96
MAX_SESSIONS: Final = 64
# Versions found bad at most: one a service, of far fewer services.
MAX_BAD_VERSIONS: Final = 64
# Instances told of at most that were replaced: all of a fleet that lost power
# are told of in several messages.
MAX_REPLACED: Final = 128
# Limits told of at most, those that were heard of last.
MAX_LIMITS: Final = 64
# A limit beyond this, in requests a second, is none, and nothing older than
# this, in milliseconds, is told.
MAX_PER_S: Final = 1e6
MAX_AGE_MS: Final = 60_000
# Requests at an instance at most, and what they have to read, in tens of
# tokens: twenty times the connections that an instance takes, with the longest
# prompts. A sum over all routers stays a number that a load is compared with.
MAX_RUNNING: Final = 10_000
MAX_UNREAD: Final = 10**8


class LoadRow(msgspec.Struct, array_like=True, frozen=True):
    """What a router has at an instance.

    Attributes:
        mark: Digest of the instance's start.
        running: Requests there.
        unread: What those whose answers have not begun have to read, in tens
            of tokens of the largest model.
        quiet_ms: Milliseconds since anything came from the instance; below 0
            where it is not told.
    """

    mark: int
    running: int
    unread: int
    quiet_ms: int = -1


class PinnedSession(msgspec.Struct, array_like=True, frozen=True):
    """A session that stays on an old version for a while.

    Attributes:
        service: The service.
        session: Its name.
        version: The version that it is on.
        age_s: Seconds since a request of it was last seen.
    """

    service: str
    session: str
    version: str
    age_s: int


class LimitRow(msgspec.Struct, array_like=True, frozen=True):
    """A limit that an instance named to a router.

    Attributes:
        mark: Digest of the instance's start.
        per_s: Requests a second that it takes from all routers.
        age_ms: Milliseconds since it was heard.
    """

    mark: int
    per_s: float
    age_ms: int


class Message(msgspec.Struct, array_like=True, frozen=True):
    """What a router tells the others.

    Attributes:
        router: Its name.
        start: Tells its starts apart, the later one larger.
        number: Counts its messages since its start.
        rows: What it has at the instances.
        sessions: Sessions that stay on an old version.
        bad: Versions that it found bad, as (service, version).
        replaced: Digests of instances' starts at whose addresses others
            answered.
        limits: Limits that instances named to it.
    """

    router: str
    start: int
    number: int
    rows: list[LoadRow] = []
    sessions: list[PinnedSession] = []
    bad: list[tuple[str, str]] = []
    replaced: list[int] = []
    limits: list[LimitRow] = []

    @property
    def content(self) -> tuple[list[Any], ...]:
        """What it says, apart from who says it and when."""
        rows = [(row.mark, row.running, row.unread) for row in self.rows]
        limits = [(limit.mark, limit.per_s) for limit in self.limits]
        return rows, self.sessions, self.bad, self.replaced, limits


_DECODER: Final = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return a message as a datagram."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decode a datagram.

    Raises:
        LacewingdockError: BAD_REQUEST.
    """
    found = decode_message(_DECODER, NAME, data)
    if len(found.rows) > MAX_ROWS or len(found.sessions) > MAX_SESSIONS:
        raise bad_message(NAME, "too long")
    if len(found.bad) > MAX_BAD_VERSIONS:
        raise bad_message(NAME, "too many bad versions")
    if len(found.replaced) > MAX_REPLACED:
        raise bad_message(NAME, "too many replaced instances")
    if not all(_is_load(row) for row in found.rows):
        raise bad_message(NAME, "a load that no instance has")
    if len(found.limits) > MAX_LIMITS:
        raise bad_message(NAME, "too many limits")
    if not all(_is_limit(row) for row in found.limits):
        raise bad_message(NAME, "a limit that no instance has")
    if any(one.age_s < 0 for one in found.sessions):
        raise bad_message(NAME, "a session that is yet to be seen")
    return found


def _is_load(row: LoadRow) -> bool:
    return 0 <= row.running <= MAX_RUNNING and 0 <= row.unread <= MAX_UNREAD


def _is_limit(row: LimitRow) -> bool:
    is_rate = math.isfinite(row.per_s) and 0.0 <= row.per_s <= MAX_PER_S
    return is_rate and 0 <= row.age_ms <= MAX_AGE_MS
