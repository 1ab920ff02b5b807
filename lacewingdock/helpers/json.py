"""Support for decoding JSON that comes from outside the process."""

from typing import Any

import msgspec


def decode_json(data: bytes | str, cls: Any = Any) -> Any:
    """Decode JSON and check it against a type.

    Args:
        data: The text.
        cls: What it must be.

    Raises:
        msgspec.DecodeError: It is no JSON, nested too deep or of another
            type.
    """
    try:
        return msgspec.json.decode(data, type=cls)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deep") from error
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError("not UTF-8") from error
