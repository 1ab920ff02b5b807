"""Descriptions of settings and configured objects for help and docs."""

import builtins
import inspect
import re
import types
import typing
from dataclasses import MISSING, Field, dataclass, fields, is_dataclass
from types import NoneType
from typing import Annotated, Any

from msgspec import Meta


def allowed(hint: Any) -> str:
    """Describe the values that a setting's type allows."""
    meta = Meta()
    if typing.get_origin(hint) is Annotated:
        hint, meta = hint.__origin__, hint.__metadata__[0]
    if meta.description:
        return meta.description
    if compound := _allowed_parts(hint):
        return compound
    if typing.get_origin(hint) is typing.Literal:
        return "one of " + ", ".join(typing.get_args(hint))
    if hint is bool:
        return "true or false"
    if hint is str:
        return "text"
    kind = "an integer" if hint is int else "a number"
    bounds = [
        (" from", meta.ge),
        (" above", meta.gt),
        (" below", meta.lt),
        (" to" if meta.ge is not None else " up to", meta.le),
    ]
    return kind + "".join(
        f"{words} {_number(value)}"
        for words, value in bounds
        if value is not None
    )


def _number(value: float) -> str:
    """Return a bound as text, without a fraction if it is integral.

    `typing` caches annotations by equality, and 0 equals 0.0: without this,
    the import order would decide which of the two a table shows.
    """
    return str(int(value)) if value == int(value) else str(value)


def _allowed_parts(hint: Any) -> str:
    """Describe a compound type; empty for any other type."""
    parts = [allowed(p) for p in typing.get_args(hint) if p is not NoneType]
    match typing.get_origin(hint):
        case builtins.list:
            return f"a list of: {parts[0]}"
        case builtins.dict:
            return f"a map from {parts[0]} to {parts[1]}"
        case types.UnionType | typing.Union:
            return f"{' or '.join(parts)}, or null"
        case None if is_dataclass(hint):
            return str(hint.__name__)  # type: ignore[union-attr]
        case _:
            return ""


def meanings(cls: type[Any]) -> dict[str, str]:
    """Return the text of each attribute in the class docstrings."""
    found: dict[str, str] = {}
    for base in reversed(cls.__mro__):
        _, _, section = (inspect.getdoc(base) or "").partition("Attributes:\n")
        for name, text in re.findall(
            r"^    (\w+): (.*(?:\n {8}.*)*)", section, re.MULTILINE
        ):
            found[name] = " ".join(text.split())
    return found


@dataclass(slots=True)
class Setting:
    """Description of one setting in help and docs.

    Attributes:
        name: Name of the setting; its flag is --NAME.
        meaning: What the setting does.
        allowed: The allowed values, in words.
        default: The default as text; None if the setting is required.
    """

    name: str
    meaning: str
    allowed: str
    default: str | None


def describe(cls: type[Any]) -> list[Setting]:
    """Describe every setting of a daemon or a command."""
    hints = typing.get_type_hints(cls, include_extras=True)
    texts = meanings(cls)
    return [
        Setting(
            field.name,
            texts[field.name],
            allowed(hints[field.name]),
            _default(field),
        )
        for field in fields(cls)
    ]


def _default(field: Field[Any]) -> str | None:
    if field.default_factory is not MISSING:
        return "empty"
    return None if field.default is MISSING else _shown(field.default)


def _shown(default: Any) -> str:
    match default:
        case bool():
            return str(default).lower()
        case "":
            return "empty"
        case None:
            return "null"
        case _:
            return str(default)
