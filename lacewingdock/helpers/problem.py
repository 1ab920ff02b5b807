"""Support for error answers as problem details (RFC 9457)."""

import math

import msgspec
from werkzeug.wrappers import Response

from lacewingdock.const import HEADER_REQUEST_ID
from lacewingdock.exceptions import LacewingdockError

MEDIA_TYPE = "application/problem+json"


def problem_body(error: LacewingdockError, request_id: str) -> bytes:
    """Return the JSON of a problem.

    It also carries the `error` object that chat-completion clients expect.
    """
    answer = error.answer
    return msgspec.json.encode(
        {
            "type": f"urn:lacewingdock:error:{error.kind}",
            "title": answer.title,
            "status": answer.status,
            "detail": error.detail,
            "code": error.kind,
            "ran": error.ran,
            "request_id": request_id,
            "retry_after_s": error.retry_after_s,
            "error": {
                "message": f"{answer.title}: {error.detail}",
                "type": error.kind,
                "code": error.kind,
            },
        }
    )


def problem_response(error: LacewingdockError, request_id: str) -> Response:
    """Return the HTTP answer of an error."""
    response = Response(
        problem_body(error, request_id),
        status=error.answer.status,
        content_type=MEDIA_TYPE,
    )
    response.headers[HEADER_REQUEST_ID] = request_id
    if error.retry_after_s is not None:
        response.headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    if error.answer.status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response
