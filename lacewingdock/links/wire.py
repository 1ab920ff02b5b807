"""Support for encoding and decoding messages as frames."""

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
# Extra words allowed, as the reader counts structs and lists again when another
# field refers to them.
_SPARE_WORDS: Final = 64

# Almost all traffic consists of chunks, one per token, and the Cap'n Proto
# binding takes fifty times as long per chunk as MessagePack (docs/design/
# relay-cost.md). The first byte distinguishes the encodings: a Cap'n Proto
# message starts with its number of segments minus one, a small number; a
# MessagePack array of three elements starts with this byte.
CHUNK_TAG: Final = b"\x93"
_encode_chunk: Final = msgspec.msgpack.Encoder().encode
_decode_chunk: Final = msgspec.msgpack.Decoder(
    tuple[str, Annotated[int, msgspec.Meta(ge=0, lt=2**32)], bytes]
).decode


def _camel_case(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


# Per message class: union field name and (attribute, schema field) pairs.
_FIELD_MAPS: Final[dict[type, tuple[str, tuple[tuple[str, str], ...]]]] = {
    cls: (
        cls.__name__.lower(),
        tuple((f.name, _camel_case(f.name)) for f in dataclasses.fields(cls)),
    )
    for cls in (*typing.get_args(Message), messages.Item)
}
_CLASSES: Final = {field_map[0]: cls for cls, field_map in _FIELD_MAPS.items()}


def encode(message: Message) -> bytes:
    """Encode a message as a length-prefixed frame.

    Args:
        message: Any message; the field values must fit the schema.

    Returns:
        The length as four big-endian bytes, then the Cap'n Proto message, or
        MessagePack for a chunk.
    """
    if type(message) is Chunk:
        payload = _encode_chunk((message.attempt, message.offset, message.data))
        return len(payload).to_bytes(LENGTH_BYTES, "big") + payload
    frame = SCHEMA.Frame.new_message()
    name, field_map = _FIELD_MAPS[type(message)]
    body = frame.init(name)
    for attribute, field in field_map:
        setattr(body, field, _to_schema(getattr(message, attribute)))
    payload = frame.to_bytes()
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def _to_schema(value: Any) -> Any:
    """Convert lists of items to dictionaries for the codec."""
    if isinstance(value, list) and value and type(value[0]) in _FIELD_MAPS:
        field_map = _FIELD_MAPS[type(value[0])][1]
        return [{f: getattr(item, a) for a, f in field_map} for item in value]
    return value


def decode(payload: bytes) -> Message:
    """Decode the payload of one frame, without the length prefix.

    Args:
        payload: The Cap'n Proto message, or MessagePack for a chunk.

    Returns:
        The decoded message.

    Raises:
        LacewingdockError: BAD_LINK if the payload is not a valid frame.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise LacewingdockError(
            ErrorKind.BAD_LINK,
            f"frame of {len(payload)} bytes is too long",
        )
    # Elements without words take no bytes, so a frame of 64 bytes can claim
    # millions of items, and several pointers can refer to the same data. A
    # peer could exhaust memory this way; the traversal limit bounds the words
    # read by the size of the payload.
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
            return typing.cast("Message", _build_message(cls, body))
    except (
        capnp.KjException,
        KeyError,
        ValueError,
        msgspec.DecodeError,
    ) as error:
        raise LacewingdockError(
            ErrorKind.BAD_LINK, f"undecodable frame: {type(error).__name__}"
        ) from error


def _build_message(cls: type, body: Any) -> Any:
    """Build a message from a reader, copying the data it refers to."""
    return cls(
        *(_from_schema(getattr(body, f)) for _, f in _FIELD_MAPS[cls][1])
    )


def _from_schema(value: Any) -> Any:
    match value:
        case bool() | int() | str() | bytes():
            return value
        case memoryview():
            return bytes(value)
        case _:
            return [
                _build_message(messages.Item, entry)
                if hasattr(entry, "to_dict")
                else _from_schema(entry)
                for entry in value
            ]
