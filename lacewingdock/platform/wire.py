"""Support for the headers of callers and upstreams on the platform."""

import math
import re
from typing import Final

from lacewingdock.world.call import AttemptOptions, Call, Headers, ResponseHead

CALL_ID: Final = b"attempt-id"
KEY: Final = b"credential"
PATIENCE: Final = b"deadline-ms"
LAST_EVENT: Final = b"last-event-id"
MODEL: Final = b"model"
# "TOKENS_IN,MOST_TOKENS_OUT"
TOKENS: Final = b"token-count"
# Parts of the prompt in order, "ID:TOKENS,...".
PARTS: Final = b"prompt-prefix"
SESSION: Final = b"session"
INSTANCE: Final = b"expect-instance"
# Id of the instance that answers.
ANSWERED_BY: Final = b"instance-id"
WORKSPACE: Final = b"tenant"
PRIORITY: Final = b"request-priority"
NOT_RUN: Final = b"not-executed"
SEAL: Final = b"response-seal"
CONFIDENCE: Final = b"confidence"
# Requests a second that an instance takes from all routers, a decimal number.
LIMIT: Final = b"server-limit"
# "1" in all answers of an instance that leaves.
LEAVING: Final = b"server-leaving"
# Seconds for which an instance that turned a request away wants no other.
REST: Final = b"retry-after"

ANY_MODEL: Final = "*"

# They concern one connection only.
_HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# The router's to set: a caller who set them would reserve memory, move
# another's, or name another workspace.
_OWN: Final = frozenset(
    {
        KEY,
        PATIENCE,
        INSTANCE,
        WORKSPACE,
        PRIORITY,
        b"content-length",
        b"expect-version",
        b"hold",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
        b"pin-ms",
        b"wait-ms",
    }
)
_MISDIRECTED: Final = 421
# An instance that answers so turned the request away for its own sake.
_TURNED_AWAY: Final = (429, 503)
_LEAVES: Final = b"1"
# What an upstream may say, beside what concerns one connection only.
_KNOWN_OF_ANSWER: Final = frozenset(
    {
        CALL_ID,
        ANSWERED_BY,
        NOT_RUN,
        SEAL,
        CONFIDENCE,
        LIMIT,
        LEAVING,
        REST,
        b"cache-control",
        b"cold-ms",
        b"content-encoding",
        b"content-length",
        b"content-type",
        b"date",
        b"last-event-id",
        b"server",
        b"weight-versions",
    }
)
_EXPECTED: Final = _HOP_BY_HOP | _KNOWN_OF_ANSWER
_DECIMAL: Final = re.compile(rb"\d{1,6}(\.\d{1,9})?")


def read_call(
    method: bytes, target: bytes, headers: Headers, raw: Headers
) -> Call:
    """Decode a caller's request; the body is added by who reads it.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
        raw: The same headers, in the same order, as they came.
    """
    first = dict(reversed(headers))
    dropped = _HOP_BY_HOP | _OWN | _named(first.get(b"connection", b""))
    tokens_in, tokens_out = _tokens(first.get(TOKENS, b""))
    model = _text(first.get(MODEL, b""))
    return Call(
        id=_text(first.get(CALL_ID, b"")),
        method=method,
        target=target,
        host=_text(first.get(b"host", b"")).partition(":")[0],
        path=_text(target).partition("?")[0],
        headers=[
            pair
            for (name, _), pair in zip(headers, raw, strict=True)
            if name not in dropped
        ],
        key=_text(first.get(KEY, b"")),
        session=_text(first.get(SESSION, b"")),
        caller_timeout_s=_seconds(first.get(PATIENCE)),
        last_event=_text(first.get(LAST_EVENT, b"")),
        model=model,
        any_model=model == ANY_MODEL,
        tokens_in=tokens_in,
        tokens_out=tokens_out,
        parts=_parts(first.get(PARTS, b"")),
    )


def upstream_headers(call: Call, sending: AttemptOptions) -> Headers:
    """Encode the headers of a call to an upstream."""
    headers = [
        pair
        for pair in call.headers
        if not (
            (sending.model and pair[0].lower() == MODEL)
            or (sending.last_event and pair[0].lower() == LAST_EVENT)
        )
    ]
    headers.append((INSTANCE, sending.instance.encode("latin-1")))
    left_ms = max(math.floor(sending.left_s * 1000), 1)
    headers.append((PATIENCE, b"%d" % left_ms))
    if sending.workspace:
        headers.append((WORKSPACE, sending.workspace.encode("latin-1")))
    if sending.model:
        headers.append((MODEL, sending.model.encode("latin-1")))
    if sending.last_event:
        headers.append((LAST_EVENT, sending.last_event.encode("latin-1")))
    if sending.priority is not None:
        headers.append((PRIORITY, b"%d" % sending.priority))
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"content-length", b"%d" % len(call.body)))
    return headers


def read_answer(status: int, headers: Headers, raw: Headers) -> ResponseHead:
    """Decode the head of an upstream's answer; arguments as `read_call`."""
    first = dict(reversed(headers))
    connection = first.get(b"connection", b"").lower()
    dropped = _HOP_BY_HOP | {b"content-length"} | _named(connection)
    encoding = first.get(b"content-encoding", b"").lower()
    limit_per_s = _decimal(headers, LIMIT)
    turned_away = status in _TURNED_AWAY
    rest_s = _decimal(headers, REST) if turned_away else None
    leaving = _values(headers, LEAVING) == [_LEAVES]
    odd = {
        LIMIT: limit_per_s is None,
        LEAVING: not leaving,
        REST: turned_away and rest_s is None,
    }
    return ResponseHead(
        status=status,
        headers=[
            pair
            for (name, _), pair in zip(headers, raw, strict=True)
            if name not in dropped
        ],
        call=_text(first.get(CALL_ID, b"")),
        # An instance that the call was not meant for never runs it.
        not_run=NOT_RUN in first or status == _MISDIRECTED,
        misdirected=status == _MISDIRECTED,
        instance=_text(first.get(ANSWERED_BY, b"")),
        sealed=SEAL in first,
        encoded=encoding not in (b"", b"identity"),
        confidence=_number(first.get(CONFIDENCE)),
        keep_alive_s=_keep(first.get(b"keep-alive", b"")),
        closes=b"close" in connection,
        limit_per_s=limit_per_s,
        limit_malformed=LIMIT in first and limit_per_s is None,
        rest_s=rest_s,
        leaving=leaving,
        odd=tuple(
            _text(name)
            for name, is_odd in odd.items()
            if is_odd and name in first
        ),
        unknown=tuple(_text(name) for name in first.keys() - _EXPECTED),
    )


def question_headers(host: str, instance: str) -> Headers:
    """Return the headers of a question to one instance and no other."""
    return [(b"Host", host.encode()), (INSTANCE, instance.encode("latin-1"))]


def refusal_headers(call_id: str) -> Headers:
    """Return the headers that tell an own answer's call."""
    return [(CALL_ID, call_id.encode("latin-1"))] if call_id else []


def _text(value: bytes) -> str:
    return value.decode("latin-1").strip()


def _named(connection: bytes) -> frozenset[bytes]:
    return frozenset(one.strip().lower() for one in connection.split(b","))


def _number(value: bytes | None) -> float | None:
    try:
        number = float(value) if value is not None else None
    except ValueError:
        return None
    return number if number is not None and math.isfinite(number) else None


def _values(headers: Headers, name: bytes) -> list[bytes]:
    return [value.strip() for found, value in headers if found == name]


def _decimal(headers: Headers, name: bytes) -> float | None:
    """Return a header's decimal number; None without one that can be read."""
    values = _values(headers, name)
    if len(values) != 1 or not _DECIMAL.fullmatch(values[0]):
        return None
    return float(values[0])


def _seconds(value: bytes | None) -> float | None:
    number = _number(value)
    return None if number is None else max(number, 0.0) / 1000


def _tokens(value: bytes) -> tuple[int, int]:
    parts = value.split(b",")
    numbers = [int(part) if part.strip().isdigit() else 0 for part in parts]
    return numbers[0], numbers[1] if len(numbers) > 1 else 0


def _parts(value: bytes) -> tuple[tuple[str, int], ...]:
    found = []
    for part in value.split(b","):
        name, _, tokens = part.strip().partition(b":")
        if name and tokens.isdigit():
            found.append((_text(name), int(tokens)))
    return tuple(found)


def _keep(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
