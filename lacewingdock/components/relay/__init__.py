"""Support for relaying changes of the platform's store between routers.

If each router watched the store, each change would cost as many calls as there
are routers, and so would each watch that ends without a change. Instead, two
routers of a group watch the store for the whole group. The others, the
followers, query these watchers several times a second for the age of their
copies, and fetch the changes from them. There is no election: a router that is
queried watches.

A copy is confirmed only up to the beginning of the last call that the store
answered. The confirmation is sent as an age, and the follower counts it from
the moment at which it sent the query. So no clocks are compared, and no delay
on the network makes a copy look fresher than it is. A router whose copy grows
too old calls the store itself.
"""

import zlib

import msgspec

from lacewingdock.components.relay.const import MAX_AGE_MS, MAX_KINDS, NAME
from lacewingdock.helpers.datagrams import bad_message, decode_message


class FreshnessQuery(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Asks a router for the age of its copies.

    Attributes:
        router: Name of the router that asks.
        number: Identifies the query; the answer repeats it.
    """

    router: str
    number: int


class KindState(msgspec.Struct, array_like=True, frozen=True):
    """The revision and the age of a router's copy of a kind.

    Attributes:
        mark: Digest of the kind's name.
        changed: Revision of the last change in the copy.
        revision: Revision up to which the copy is complete.
        age_ms: Milliseconds since the moment for which the store confirmed
            that revision.
    """

    mark: int
    changed: int
    revision: int
    age_ms: int


class FreshnessReport(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Reports the age of a router's copies.

    Attributes:
        router: Name of the router that holds the copies.
        number: Number of the query that it answers; 0 if unsolicited.
        kinds: The state of each copy.
        away: Whether the store does not answer this router.
        doubt_ms: Milliseconds for which entries missing from the store's
            lists are not yet treated as removed.
    """

    router: str
    number: int
    kinds: list[KindState] = []
    away: bool = False
    doubt_ms: int = 0


_DECODER: msgspec.msgpack.Decoder[FreshnessQuery | FreshnessReport] = (
    msgspec.msgpack.Decoder(FreshnessQuery | FreshnessReport)
)


def kind_digest(kind: str) -> int:
    """Return the digest that identifies a kind in messages."""
    return zlib.crc32(kind.encode())


def encode(message: FreshnessQuery | FreshnessReport) -> bytes:
    """Encode a message as a datagram."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> FreshnessQuery | FreshnessReport:
    """Decode a datagram.

    Raises:
        LacewingdockError: BAD_REQUEST, for a malformed message or a value
            out of its bounds.
    """
    found = decode_message(_DECODER, NAME, data)
    if isinstance(found, FreshnessReport) and not _is_valid(found):
        raise bad_message(NAME, "copy state out of bounds")
    return found


def _is_valid(report: FreshnessReport) -> bool:
    if len(report.kinds) > MAX_KINDS or not 0 <= report.doubt_ms <= MAX_AGE_MS:
        return False
    return all(
        0 <= one.age_ms <= MAX_AGE_MS and 0 <= one.changed <= one.revision
        for one in report.kinds
    )
