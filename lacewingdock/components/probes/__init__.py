"""Support for probing the load of instances before placing a request.

One router of many sees a small part of an instance's load, and the loads that
it receives from the others are some hundred milliseconds old: requests met at
one instance and waited while other instances had free places. A sidecar beside
the instance has the current load. Routers query it by a datagram, and announce
requests to it, so that they do not all choose the same idle instance. Probing
several candidates and placing by their own fresh figures is known from Prequal
(Wydrowski et al., "Load is not what you should balance", 2024).

A sidecar that does not answer costs a few milliseconds. Its answers affect
nothing but the placement of requests.
"""

import math

import msgspec

from lacewingdock.components.probes.const import MAX_UNREAD, NAME
from lacewingdock.helpers.datagrams import bad_message, decode_message


class LoadQuery(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Asks a sidecar for the load of its instance.

    Attributes:
        number: Identifies the query of a router; the answer repeats it.
    """

    number: int


class Load(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The current load of an instance.

    Attributes:
        number: Number of the query that it answers.
        running: Requests that run or wait there, or that were announced.
        unread: Prompt tokens of those whose answers have not begun, in
            thousands of tokens of the largest model.
        lost: Whether the sidecar can't read its instance's report.
    """

    number: int
    running: int
    unread: float
    lost: bool = False


class RequestNotice(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Announces a request to a sidecar before it is sent.

    Attributes:
        request: Id of the request.
        unread: Its prompt tokens, in the unit of `Load.unread`.
    """

    request: str
    unread: float


Message = LoadQuery | Load | RequestNotice

_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


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
    if isinstance(found, Load) and found.running < 0:
        raise bad_message(NAME, "negative number of running requests")
    if not isinstance(found, LoadQuery) and not _is_token_count(found.unread):
        raise bad_message(NAME, "unread tokens out of bounds")
    return found


def _is_token_count(unread: float) -> bool:
    return math.isfinite(unread) and 0.0 <= unread <= MAX_UNREAD
