"""Support for TOML files that are checked as they are read."""

import tomllib
from typing import Any, TypeVar

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError

F = TypeVar("F")


def parse_toml(text: str, path: str) -> dict[str, Any]:
    """Return what a file's text holds.

    Args:
        text: The text.
        path: Where the file lies, for errors.

    Raises:
        LacewingdockError: BAD_SETTING.
    """
    try:
        return tomllib.loads(text)
    except ValueError as error:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, f"{path}: {error}"
        ) from error


def convert_toml(found: dict[str, Any], cls: type[F], path: str) -> F:
    """Check what a file holds against a class.

    Raises:
        LacewingdockError: BAD_SETTING, naming key and value.
    """
    try:
        return msgspec.convert(found, cls, strict=False)
    except msgspec.ValidationError as error:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, f"{path}: {error}{_value_at(found, error)}"
        ) from error


def _value_at(found: dict[str, Any], error: Exception) -> str:
    """Return the value that an error's path names, as text."""
    _, _, path = str(error).rpartition("`$.")
    value: Any = found
    for key in path.rstrip("`").split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return "" if value is None else f", not {value!r}"
