"""Support for encoding messages as frames."""

import dataclasses
import typing
from pathlib import Path
from typing import Annotated, Any, Final

import capnp
import msgspec

from lacewingdock.const import MAX_FRAME_BYTES
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links import messages
from lacewingdock.links.messages import Chunk, Message

capnp.remove_import_hook()
SCHEMA: Final = capnp.load(str(Path(__file__).with_name("schema.capnp")))

LENGTH_BYTES: Final = 4
_WORD_BYTES: Final = 8
# Structs and lists are counted again when they are reached by another field.
_SPARE_WORDS: Final = 64

# One chunk a token is all but all of the traffic, and Cap'n Proto's binding
# takes fifty times as long for one as MessagePack's (docs/design/
# relay-cost.md). A Cap'n Proto message opens with its number of segments less
# one, a small number; an array of three opens with this byte.
CHUNK_TAG: Final = b"\x93"
_encode_chunk: Final = msgspec.msgpack.Encoder().encode
_decode_chunk: Final = msgspec.msgpack.Decoder(
    tuple[str, Annotated[int, msgspec.Meta(ge=0, lt=2**32)], bytes]
).decode


def _camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


# For each message class: its union field and (attribute, schema field) pairs.
_PLANS: Final[dict[type, tuple[str, tuple[tuple[str, str], ...]]]] = {
    cls: (
        cls.__name__.lower(),
        tuple((f.name, _camel(f.name)) for f in dataclasses.fields(cls)),
    )
    for cls in (*typing.get_args(Message), messages.Item)
}
_CLASSES: Final = {plan[0]: cls for cls, plan in _PLANS.items()}


def encode(message: Message) -> bytes:
    """Encode a message as a length-prefixed frame.

    Args:
        message: Any message; its fields must fit the schema.

    Returns:
        Four bytes of big-endian length, then the Cap'n Proto message, or
        MessagePack for a chunk.
    """
    if type(message) is Chunk:
        payload = _encode_chunk((message.attempt, message.offset, message.data))
        return len(payload).to_bytes(LENGTH_BYTES, "big") + payload
    frame = SCHEMA.Frame.new_message()
    name, plan = _PLANS[type(message)]
    body = frame.init(name)
    for attribute, field in plan:
        setattr(body, field, _plain(getattr(message, attribute)))
    payload = frame.to_bytes()
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def _plain(value: Any) -> Any:
    """Turn lists of items into what the codec takes."""
    if isinstance(value, list) and value and type(value[0]) in _PLANS:
        plan = _PLANS[type(value[0])][1]
        return [{f: getattr(item, a) for a, f in plan} for item in value]
    return value


def decode(payload: bytes) -> Message:
    """Decode the bytes of one frame, without its length.

    Args:
        payload: The Cap'n Proto message, or MessagePack for a chunk.

    Returns:
        The message.

    Raises:
        LacewingdockError: BAD_LINK when the bytes are no frame.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise LacewingdockError(
            ErrorKind.BAD_LINK, f"frame of {len(payload)} bytes"
        )
    # Elements without words take no bytes, so a frame of 64 bytes can claim
    # millions of items, and pointers can meet in one place. Such a peer would
    # fill the memory; what is read is held to what the payload can hold.
    limit = 2 * (len(payload) // _WORD_BYTES) + _SPARE_WORDS
    try:
        if payload[:1] == CHUNK_TAG:
            return Chunk(*_decode_chunk(payload))
        with SCHEMA.Frame.from_bytes(
            payload, traversal_limit_in_words=limit
        ) as frame:
            name = frame.which()
            body = getattr(frame, str(name))
            cls = _CLASSES[str(name)]
            return typing.cast("Message", _build(cls, body))
    except (
        capnp.KjException,
        KeyError,
        ValueError,
        msgspec.DecodeError,
    ) as error:
        raise LacewingdockError(
            ErrorKind.BAD_LINK, f"undecodable frame: {type(error).__name__}"
        ) from error


def _build(cls: type, body: Any) -> Any:
    """Build a message from a reader, copying what it points to."""
    return cls(*(_copy(getattr(body, f)) for _, f in _PLANS[cls][1]))


def _copy(value: Any) -> Any:
    match value:
        case bool() | int() | str() | bytes():
            return value
        case memoryview():
            return bytes(value)
        case _:
            return [
                _build(messages.Item, entry)
                if hasattr(entry, "to_dict")
                else _copy(entry)
                for entry in value
            ]
