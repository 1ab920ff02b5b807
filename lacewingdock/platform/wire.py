"""Decoding and encoding of the headers of callers and upstreams.

An instance that rejects a request may ask for a rest: a backoff, given in
Retry-After, during which it wants no other request.
"""

import math
import re
from typing import Final

from lacewingdock.world.call import AttemptOptions, Call, Headers, ResponseHead

ATTEMPT_ID: Final = b"attempt-id"
CREDENTIAL: Final = b"credential"
DEADLINE: Final = b"deadline-ms"
LAST_EVENT_ID: Final = b"last-event-id"
MODEL: Final = b"model"
# Tokens of the prompt and the most tokens of the answer, "IN,MAX_OUT".
TOKEN_COUNT: Final = b"token-count"
# Parts of the prompt, in order, with their tokens: "ID:TOKENS,...".
PROMPT_PREFIX: Final = b"prompt-prefix"
SESSION: Final = b"session"
EXPECTED_INSTANCE: Final = b"expect-instance"
# Id of the instance that answered.
INSTANCE_ID: Final = b"instance-id"
WORKSPACE: Final = b"tenant"
PRIORITY: Final = b"request-priority"
NOT_RUN: Final = b"not-executed"
RESPONSE_SEAL: Final = b"response-seal"
CONFIDENCE: Final = b"confidence"
# Rate limit of an instance over all routers, in requests a second; a decimal
# number.
LIMIT: Final = b"server-limit"
# "1" in all answers of an instance that drains before a planned stop.
LEAVING: Final = b"server-leaving"
# Seconds for which an instance that rejected a request wants no other.
RETRY_AFTER: Final = b"retry-after"

ANY_MODEL: Final = "*"

# Headers that apply to a single connection and are not forwarded.
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
# Headers that only the router sets. A caller could use them to reserve an
# engine's memory, move another caller's memory, or name another workspace.
_SET_BY_ROUTER: Final = frozenset(
    {
        CREDENTIAL,
        DEADLINE,
        EXPECTED_INSTANCE,
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
# Status of an instance that the request was not addressed to.
_MISDIRECTED: Final = 421
# Statuses of an instance that rejects a request because of its own state.
_REJECTION_STATUSES: Final = (429, 503)
_LEAVING_VALUE: Final = b"1"
# Headers expected in upstreams' answers, besides the hop-by-hop ones.
_KNOWN_ANSWER_HEADERS: Final = frozenset(
    {
        ATTEMPT_ID,
        INSTANCE_ID,
        NOT_RUN,
        RESPONSE_SEAL,
        CONFIDENCE,
        LIMIT,
        LEAVING,
        RETRY_AFTER,
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
_EXPECTED_ANSWER_HEADERS: Final = _HOP_BY_HOP | _KNOWN_ANSWER_HEADERS
_DECIMAL: Final = re.compile(rb"\d{1,6}(\.\d{1,9})?")


def read_call(
    method: bytes, target: bytes, headers: Headers, raw: Headers
) -> Call:
    """Decode a caller's request without its body, which is read later.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
        raw: The same headers in the same order, with names as received.
    """
    first = dict(reversed(headers))
    dropped = (
        _HOP_BY_HOP
        | _SET_BY_ROUTER
        | _connection_options(first.get(b"connection", b""))
    )
    tokens_in, tokens_out = _parse_token_counts(first.get(TOKEN_COUNT, b""))
    model = _decode_text(first.get(MODEL, b""))
    return Call(
        id=_decode_text(first.get(ATTEMPT_ID, b"")),
        method=method,
        target=target,
        host=_decode_text(first.get(b"host", b"")).partition(":")[0],
        path=_decode_text(target).partition("?")[0],
        headers=[
            pair
            for (name, _), pair in zip(headers, raw, strict=True)
            if name not in dropped
        ],
        key=_decode_text(first.get(CREDENTIAL, b"")),
        session=_decode_text(first.get(SESSION, b"")),
        caller_timeout_s=_parse_milliseconds(first.get(DEADLINE)),
        last_event=_decode_text(first.get(LAST_EVENT_ID, b"")),
        model=model,
        any_model=model == ANY_MODEL,
        tokens_in=tokens_in,
        tokens_out=tokens_out,
        parts=_parse_prompt_parts(first.get(PROMPT_PREFIX, b"")),
    )


def upstream_headers(call: Call, sending: AttemptOptions) -> Headers:
    """Encode the headers of a request to an upstream."""
    headers = [
        pair
        for pair in call.headers
        if not (
            (sending.model and pair[0].lower() == MODEL)
            or (sending.last_event and pair[0].lower() == LAST_EVENT_ID)
        )
    ]
    headers.append((EXPECTED_INSTANCE, sending.instance.encode("latin-1")))
    left_ms = max(math.floor(sending.left_s * 1000), 1)
    headers.append((DEADLINE, b"%d" % left_ms))
    if sending.workspace:
        headers.append((WORKSPACE, sending.workspace.encode("latin-1")))
    if sending.model:
        headers.append((MODEL, sending.model.encode("latin-1")))
    if sending.last_event:
        headers.append((LAST_EVENT_ID, sending.last_event.encode("latin-1")))
    if sending.priority is not None:
        headers.append((PRIORITY, b"%d" % sending.priority))
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"content-length", b"%d" % len(call.body)))
    return headers


def read_answer(status: int, headers: Headers, raw: Headers) -> ResponseHead:
    """Decode the head of an upstream's answer.

    Args:
        status: HTTP status.
        headers: Headers with names in lower case.
        raw: The same headers in the same order, with names as received.
    """
    first = dict(reversed(headers))
    connection = first.get(b"connection", b"").lower()
    dropped = (
        _HOP_BY_HOP | {b"content-length"} | _connection_options(connection)
    )
    encoding = first.get(b"content-encoding", b"").lower()
    limit_per_s = _parse_decimal(headers, LIMIT)
    rejected = status in _REJECTION_STATUSES
    rest_s = _parse_decimal(headers, RETRY_AFTER) if rejected else None
    leaving = _header_values(headers, LEAVING) == [_LEAVING_VALUE]
    odd = {
        LIMIT: limit_per_s is None,
        LEAVING: not leaving,
        RETRY_AFTER: rejected and rest_s is None,
    }
    return ResponseHead(
        status=status,
        headers=[
            pair
            for (name, _), pair in zip(headers, raw, strict=True)
            if name not in dropped
        ],
        call=_decode_text(first.get(ATTEMPT_ID, b"")),
        # An instance that the request was not addressed to never runs it.
        not_run=NOT_RUN in first or status == _MISDIRECTED,
        misdirected=status == _MISDIRECTED,
        instance=_decode_text(first.get(INSTANCE_ID, b"")),
        sealed=RESPONSE_SEAL in first,
        encoded=encoding not in (b"", b"identity"),
        confidence=_parse_number(first.get(CONFIDENCE)),
        keep_alive_s=_keep_alive_s(first.get(b"keep-alive", b"")),
        closes=b"close" in connection,
        limit_per_s=limit_per_s,
        limit_malformed=LIMIT in first and limit_per_s is None,
        rest_s=rest_s,
        leaving=leaving,
        odd=tuple(
            _decode_text(name)
            for name, is_odd in odd.items()
            if is_odd and name in first
        ),
        unknown=tuple(
            _decode_text(name)
            for name in first.keys() - _EXPECTED_ANSWER_HEADERS
        ),
    )


def query_headers(host: str, instance: str) -> Headers:
    """Return the headers of a query that only the given instance answers."""
    return [
        (b"Host", host.encode()),
        (EXPECTED_INSTANCE, instance.encode("latin-1")),
    ]


def refusal_headers(call_id: str) -> Headers:
    """Return the header that names the call in the router's own answer."""
    return [(ATTEMPT_ID, call_id.encode("latin-1"))] if call_id else []


def _decode_text(value: bytes) -> str:
    return value.decode("latin-1").strip()


def _connection_options(connection: bytes) -> frozenset[bytes]:
    return frozenset(one.strip().lower() for one in connection.split(b","))


def _parse_number(value: bytes | None) -> float | None:
    try:
        number = float(value) if value is not None else None
    except ValueError:
        return None
    return number if number is not None and math.isfinite(number) else None


def _header_values(headers: Headers, name: bytes) -> list[bytes]:
    return [value.strip() for found, value in headers if found == name]


def _parse_decimal(headers: Headers, name: bytes) -> float | None:
    """Return a header's number; None unless there is one valid value."""
    values = _header_values(headers, name)
    if len(values) != 1 or not _DECIMAL.fullmatch(values[0]):
        return None
    return float(values[0])


def _parse_milliseconds(value: bytes | None) -> float | None:
    number = _parse_number(value)
    return None if number is None else max(number, 0.0) / 1000


def _parse_token_counts(value: bytes) -> tuple[int, int]:
    parts = value.split(b",")
    numbers = [int(part) if part.strip().isdigit() else 0 for part in parts]
    return numbers[0], numbers[1] if len(numbers) > 1 else 0


def _parse_prompt_parts(value: bytes) -> tuple[tuple[str, int], ...]:
    found = []
    for part in value.split(b","):
        name, _, tokens = part.strip().partition(b":")
        if name and tokens.isdigit():
            found.append((_decode_text(name), int(tokens)))
    return tuple(found)


def _keep_alive_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
