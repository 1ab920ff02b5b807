"""Support for reading what callers send."""

import time
from dataclasses import dataclass, field
from typing import Annotated, Any, Final

import msgspec
from cheroot.errors import MaxSizeExceeded
from msgspec import Meta
from werkzeug.wrappers import Request

from lacewingdock.const import (
    HEADER_CLASS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_LAST_EVENT_ID,
    HEADER_PRIORITY,
    HEADER_SESSION,
    HEADER_TIMEOUT,
    RAN_NO,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.http_connection import Request as ServedRequest
from lacewingdock.helpers.http_server import ENVIRON_REQUEST
from lacewingdock.helpers.json import decode_json

MAX_KEY_CHARS: Final = 255
PASSED_ON: Final = (HEADER_IDEMPOTENCY_KEY, "Content-Type", "traceparent")
PRIORITIES: Final = {"interactive": 0, "normal": 1, "background": 2}
DEFAULT_PRIORITY: Final = "normal"
# A caller may ask for more time than the default, but not hold a thread for
# good: long drafts take minutes, not hours.
LONGEST_DEADLINES: Final = 10


DEFAULT_DEADLINE_S: Final = 120.0


def _default_deadline() -> float:
    return time.monotonic() + DEFAULT_DEADLINE_S


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
        request_class: What the caller calls requests like this, or empty.
        deadline: Monotonic time by which the answer must be whole.
        served: The server's request, for direct writes.
    """

    request_id: str
    bearer: str = field(repr=False)
    key: str
    session: str
    last_event: str
    priority: int
    traceparent: str
    deadline: float = field(default_factory=_default_deadline)
    request_class: str = ""
    served: ServedRequest | None = None

    def left_ms(self) -> int:
        """Return the milliseconds left until the deadline.

        Raises:
            LacewingdockError: DEADLINE, not run, when none are left.
        """
        left = int((self.deadline - time.monotonic()) * 1000)
        if left <= 0:
            raise LacewingdockError(
                ErrorKind.DEADLINE, "the caller's time is over", RAN_NO
            )
        return left


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


def read_caller(request: Request, request_id: str, deadline_s: float) -> Caller:
    """Read the headers.

    Args:
        request: The request.
        request_id: Id given to it here.
        deadline_s: Seconds that the answer may take unless the caller says.

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
    for name in (*PASSED_ON, HEADER_SESSION, HEADER_LAST_EVENT_ID):
        value = request.headers.get(name, "")
        # They go on in a header or a URL of the upstream's call, which takes
        # ASCII only; later it would be too late to say that nothing ran.
        if not (value.isascii() and value.isprintable()):
            raise LacewingdockError(
                ErrorKind.BAD_REQUEST, f"{name}: want printable ASCII"
            )
    if not request.query_string.isascii():
        raise LacewingdockError(
            ErrorKind.BAD_REQUEST, "the query is not percent-encoded"
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
        deadline=time.monotonic() + _timeout(request, deadline_s),
        request_class=request.headers.get(HEADER_CLASS, ""),
        served=request.environ.get(ENVIRON_REQUEST),
    )


def _timeout(request: Request, default_s: float) -> float:
    """Return the seconds that the caller gives the answer."""
    text = request.headers.get(HEADER_TIMEOUT, "")
    if not text:
        return default_s
    longest = LONGEST_DEADLINES * default_s
    try:
        given = float(text)
    except ValueError:
        given = 0.0
    if not 0.0 < given <= longest:
        raise LacewingdockError(
            ErrorKind.BAD_REQUEST,
            f"{HEADER_TIMEOUT}: {text!r} is not a number of seconds above 0 "
            f"and at most {longest:g}",
        )
    return given


def read_body(request: Request, limit: int) -> bytes:
    """Read the body.

    Args:
        request: The request.
        limit: Largest body accepted, in bytes.

    Raises:
        LacewingdockError: BODY_TOO_LARGE, SLOW_CALLER or BAD_REQUEST.
    """
    # Not through werkzeug's stream: it turns whatever goes wrong in the read,
    # a body too large or too slow, into one and the same error.
    stream = request.environ["wsgi.input"]
    try:
        body: bytes = stream.read(limit + 1)
    except MaxSizeExceeded as error:
        raise _too_large(limit) from error
    except TimeoutError as error:
        raise LacewingdockError(
            ErrorKind.SLOW_CALLER, "the body did not come in time"
        ) from error
    except ValueError as error:
        raise LacewingdockError(ErrorKind.BAD_REQUEST, str(error)) from error
    except OSError as error:
        # The server library gives a chunk beyond the limit no type of its own.
        if "Too Large" in str(error):
            raise _too_large(limit) from error
        raise LacewingdockError(
            ErrorKind.BAD_REQUEST, f"body: {error}"
        ) from error
    if len(body) > limit:
        raise _too_large(limit)
    if len(body) < (request.content_length or 0):
        raise LacewingdockError(ErrorKind.BAD_REQUEST, "the body is cut off")
    return body


def _too_large(limit: int) -> LacewingdockError:
    return LacewingdockError(
        ErrorKind.BODY_TOO_LARGE, f"more than {limit} bytes"
    )


def read_chat(body: bytes) -> ChatBody:
    """Check the body of a chat completion.

    Raises:
        LacewingdockError: BAD_REQUEST naming the field.
    """
    try:
        fields = decode_json(body)
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
