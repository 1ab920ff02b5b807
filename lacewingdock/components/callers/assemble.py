"""Support for putting streamed pieces together into one completion."""

from typing import Any

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.json import decode_json


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: list[Any] | None = None


class _Part(msgspec.Struct):
    index: int = 0
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    id: Any = None
    created: Any = None
    model: Any = None
    usage: Any = None
    choices: list[_Part] | None = None


def assemble(pieces: list[bytes]) -> dict[str, Any]:
    """Build a whole chat completion from its events.

    Args:
        pieces: JSON of each event, in order.

    Returns:
        The completion as a client that does not stream expects it.

    Raises:
        LacewingdockError: UPSTREAM_FAILED when an event is not
            one of a completion.
    """
    whole: dict[str, Any] = {"object": "chat.completion"}
    choices: dict[int, dict[str, Any]] = {}
    for piece in pieces:
        try:
            event = decode_json(piece, _Event)
        except msgspec.DecodeError as error:
            raise LacewingdockError(
                ErrorKind.UPSTREAM_FAILED, f"odd event: {error}"
            ) from error
        for name in ("id", "created", "model", "usage"):
            if getattr(event, name) is not None:
                whole[name] = getattr(event, name)
        for part in event.choices or ():
            _join(choices.setdefault(part.index, _empty()), part)
    whole["choices"] = [
        {"index": index, **choice} for index, choice in sorted(choices.items())
    ]
    return whole


def _empty() -> dict[str, Any]:
    return {
        "message": {"role": "assistant", "content": ""},
        "finish_reason": None,
    }


def _join(choice: dict[str, Any], part: _Part) -> None:
    delta = part.delta or _Delta()
    choice["message"]["content"] += delta.content or ""
    for call in delta.tool_calls or ():
        choice["message"].setdefault("tool_calls", []).append(call)
    if part.finish_reason:
        choice["finish_reason"] = part.finish_reason
