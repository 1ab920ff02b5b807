"""Support for reading what callers send."""

from dataclasses import dataclass, field
from typing import Annotated, Any, Final

import msgspec
from msgspec import Meta
from werkzeug.wrappers import Request

from lacewingdock.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_LAST_EVENT_ID,
    HEADER_PRIORITY,
    HEADER_SESSION,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError

MAX_KEY_CHARS: Final = 255
PRIORITIES: Final = {"interactive": 0, "normal": 1, "background": 2}
DEFAULT_PRIORITY: Final = "normal"


@dataclass(slots=True)
class Caller:
    """What the headers of a request say.

    Attributes:
        request_id: Id given to the request here.
        bearer: The workspace key.
        key: The idempotency key, or empty.
        session: The session token, or empty.
        last_event: Id of the last event the caller has, or empty.
        priority: 0 is the most urgent.
        traceparent: W3C trace context, or empty.
    """

    request_id: str
    bearer: str = field(repr=False)
    key: str
    session: str
    last_event: str
    priority: int
    traceparent: str


@dataclass(slots=True)
class ChatBody:
    """A chat completion as the caller asks for it.

    Attributes:
        model: Model, cascade or version.
        messages: The conversation.
        stream: Whether the answer comes as events.
        fields: Every field, to pass on.
        max_tokens: Most tokens to generate; None when the caller sets none.
    """

    model: str
    messages: list[dict[str, Any]]
    stream: bool
    fields: dict[str, Any]
    max_tokens: int | None = None


def read_caller(request: Request, request_id: str) -> Caller:
    """Read the headers.

    Raises:
        LacewingdockError: UNAUTHORIZED or BAD_REQUEST.
    """
    scheme, _, bearer = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not bearer:
        raise LacewingdockError(
            ErrorKind.UNAUTHORIZED, "want Authorization: Bearer KEY"
        )
    key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
    if len(key) > MAX_KEY_CHARS:
        raise LacewingdockError(
            ErrorKind.BAD_REQUEST,
            f"{HEADER_IDEMPOTENCY_KEY}: more than {MAX_KEY_CHARS} characters",
        )
    priority = request.headers.get(HEADER_PRIORITY, DEFAULT_PRIORITY)
    if priority not in PRIORITIES:
        raise LacewingdockError(
            ErrorKind.BAD_REQUEST,
            f"{HEADER_PRIORITY}: {priority!r} is none of "
            f"{', '.join(PRIORITIES)}",
        )
    return Caller(
        request_id=request_id,
        bearer=bearer.strip(),
        key=key,
        session=request.headers.get(HEADER_SESSION, ""),
        last_event=request.headers.get(HEADER_LAST_EVENT_ID, ""),
        priority=PRIORITIES[priority],
        traceparent=request.headers.get("traceparent", ""),
    )


def read_chat(body: bytes) -> ChatBody:
    """Check the body of a chat completion.

    Raises:
        LacewingdockError: BAD_REQUEST naming the field.
    """
    try:
        fields = msgspec.json.decode(body)
        if not isinstance(fields, dict):
            raise msgspec.ValidationError("want a JSON object")
        return ChatBody(
            model=msgspec.convert(_required(fields, "model"), str),
            messages=msgspec.convert(
                _required(fields, "messages"), list[dict[str, Any]]
            ),
            stream=msgspec.convert(fields.get("stream") or False, bool),
            fields=fields,
            max_tokens=msgspec.convert(
                fields.get("max_completion_tokens") or fields.get("max_tokens"),
                Annotated[int, Meta(ge=1)] | None,
            ),
        )
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise LacewingdockError(
            ErrorKind.BAD_REQUEST, f"body: {error}"
        ) from error


def _required(fields: dict[str, Any], name: str) -> Any:
    if name not in fields:
        raise msgspec.ValidationError(f"no field {name!r}")
    return fields[name]
