"""Error responses as problem details (RFC 9457)."""

import msgspec

from lacewingdock.exceptions import LacewingdockError

MEDIA_TYPE = "application/problem+json"


def problem_body(error: LacewingdockError, request_id: str) -> bytes:
    """Return an error as the JSON of problem details.

    The JSON also has the `error` object that chat completion clients expect.
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
