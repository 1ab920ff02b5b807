"""Support for passing the news of the platform's store on between routers.

If each router watched the store, each change would cost as many calls as there
are routers, and so would each watch that ends without news. Two routers of a
group watch for it; the others ask them several times a second how young their
copies are, and fetch what changed. Nobody is elected: whoever is asked watches.

A copy is vouched for only up to the beginning of the last call that the store
answered, told as an age. The asker counts it from the moment at which it sent
its question, so no clocks are compared, and no delay on the way makes a copy
younger than it is. A router whose copy grows too old asks the store itself.
"""

import zlib

import msgspec

from lacewingdock.components.relay.const import MAX_AGE_MS, MAX_KINDS, NAME
from lacewingdock.helpers.datagrams import bad_message, decode_message


class FreshnessQuery(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Asks a router how young its copies are.

    Attributes:
        router: Who asks.
        number: Tells its questions apart; the answer bears it.
    """

    router: str
    number: int


class KindState(msgspec.Struct, array_like=True, frozen=True):
    """How complete a router's copy of a kind is.

    Attributes:
        mark: Digest of the kind's name.
        changed: Revision of the last change in the copy.
        revision: Revision up to which the copy is complete.
        age_ms: Milliseconds since the moment for which the store said so.
    """

    mark: int
    changed: int
    revision: int
    age_ms: int


class FreshnessReport(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Says how young a router's copies are.

    Attributes:
        router: Whose copies.
        number: The question that it answers; 0 where news is told unasked.
        kinds: The state of each copy.
        away: Whether the store does not answer this router.
        doubt_ms: Milliseconds for which missing entries are still doubted.
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
    """Return the digest by which messages name a kind."""
    return zlib.crc32(kind.encode())


def encode(message: FreshnessQuery | FreshnessReport) -> bytes:
    """Return a message as a datagram."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> FreshnessQuery | FreshnessReport:
    """Decode a datagram.

    Raises:
        LacewingdockError: BAD_REQUEST.
    """
    found = decode_message(_DECODER, NAME, data)
    if isinstance(found, FreshnessReport) and not _is_valid(found):
        raise bad_message(NAME, "a state that no copy has")
    return found


def _is_valid(report: FreshnessReport) -> bool:
    if len(report.kinds) > MAX_KINDS or not 0 <= report.doubt_ms <= MAX_AGE_MS:
        return False
    return all(
        0 <= one.age_ms <= MAX_AGE_MS and 0 <= one.changed <= one.revision
        for one in report.kinds
    )
