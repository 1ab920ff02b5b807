"""Support for putting streamed pieces together into one completion."""

from typing import Any

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError


def assemble(pieces: list[bytes]) -> dict[str, Any]:
    """Build a whole chat completion from its events.

    Args:
        pieces: JSON of each event, in order.

    Returns:
        The completion as a client that does not stream expects it.

    Raises:
        LacewingdockError: UPSTREAM_FAILED when an event is not JSON.
    """
    whole: dict[str, Any] = {"object": "chat.completion"}
    choices: dict[int, dict[str, Any]] = {}
    for piece in pieces:
        try:
            event = msgspec.json.decode(piece)
        except msgspec.DecodeError as error:
            raise LacewingdockError(
                ErrorKind.UPSTREAM_FAILED, f"event is not JSON: {error}"
            ) from error
        for name in ("id", "created", "model", "usage"):
            if event.get(name) is not None:
                whole[name] = event[name]
        for part in event.get("choices") or ():
            _join(choices.setdefault(part.get("index", 0), _empty()), part)
    whole["choices"] = [
        {"index": index, **choice} for index, choice in sorted(choices.items())
    ]
    return whole


def _empty() -> dict[str, Any]:
    return {
        "message": {"role": "assistant", "content": ""},
        "finish_reason": None,
    }


def _join(choice: dict[str, Any], part: dict[str, Any]) -> None:
    delta = part.get("delta") or {}
    choice["message"]["content"] += delta.get("content") or ""
    for call in delta.get("tool_calls") or ():
        choice["message"].setdefault("tool_calls", []).append(call)
    if part.get("finish_reason"):
        choice["finish_reason"] = part["finish_reason"]
