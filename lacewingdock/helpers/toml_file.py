"""Parsing and validation of TOML files."""

import tomllib
from typing import Any, TypeVar

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError

F = TypeVar("F")


def parse_toml(text: str, path: str) -> dict[str, Any]:
    """Parse the text of a TOML file.

    Args:
        text: Text of the file.
        path: Path of the file, for errors.

    Raises:
        LacewingdockError: BAD_SETTING, if the text is not valid TOML.
    """
    try:
        return tomllib.loads(text)
    except ValueError as error:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, f"{path}: {error}"
        ) from error


def convert_toml(found: dict[str, Any], cls: type[F], path: str) -> F:
    """Convert a parsed file to a class, and validate its values.

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
    """Return the invalid value at the error's path, as text for the error."""
    _, _, path = str(error).rpartition("`$.")
    value: Any = found
    for key in path.rstrip("`").split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return "" if value is None else f", not {value!r}"
