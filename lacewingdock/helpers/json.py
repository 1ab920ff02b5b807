"""Decoding of JSON from outside the process."""

from typing import Any

import msgspec


def decode_json(data: bytes | str, cls: Any = Any) -> Any:
    """Decode JSON and check it against a type.

    Args:
        data: The JSON text.
        cls: Type that the value must match.

    Raises:
        msgspec.DecodeError: The text is not valid JSON, is nested too deeply,
            or does not match the type.
    """
    try:
        return msgspec.json.decode(data, type=cls)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deep") from error
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError("not UTF-8") from error
