"""Support for asking instances for their load before placing a request.

A router of many sees a small part of what an instance has to do, and what
others tell it is some hundred milliseconds old: requests met at one instance
and waited while others had free places. A sidecar beside the instance knows
what is true now. It is asked by a datagram, and told what will come, so that
routers do not all choose the same idle one. Probing several candidates and
placing by their own fresh figures is known from Prequal (Wydrowski et al.,
"Load is not what you should balance", 2024).

A sidecar that does not answer costs a few milliseconds, and nothing rests on
what it says but where a request goes.
"""

import math

import msgspec

from lacewingdock.components.probes.const import MAX_UNREAD, NAME
from lacewingdock.helpers.datagrams import bad_message, decode_message


class LoadQuery(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Asks a sidecar for its instance's load.

    Attributes:
        number: Tells the questions of a router apart; the answer bears it.
    """

    number: int


class Load(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """What an instance has to do now.

    Attributes:
        number: The question that it answers.
        running: Requests that run, wait there or are about to come.
        unread: What those whose answers have not begun have to read, in
            thousands of tokens of the largest model.
        lost: Whether the sidecar can't read its instance's report.
    """

    number: int
    running: int
    unread: float
    lost: bool = False


class RequestNotice(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Tells a sidecar that a request is about to come.

    Attributes:
        request: Its id.
        unread: What it has to read, as in `Load`.
    """

    request: str
    unread: float


Message = LoadQuery | Load | RequestNotice

_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return a message as a datagram."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decode a datagram.

    Raises:
        LacewingdockError: BAD_REQUEST.
    """
    found = decode_message(_DECODER, NAME, data)
    if isinstance(found, Load) and found.running < 0:
        raise bad_message(NAME, "a load that no instance has")
    if not isinstance(found, LoadQuery) and not _is_token_count(found.unread):
        raise bad_message(NAME, "work that no request is")
    return found


def _is_token_count(unread: float) -> bool:
    return math.isfinite(unread) and 0.0 <= unread <= MAX_UNREAD
