"""Problem details as werkzeug responses."""

import math

from werkzeug.wrappers import Response

from lacewingdock.const import HEADER_REQUEST_ID
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.problem import MEDIA_TYPE, problem_body


def problem_response(error: LacewingdockError, request_id: str) -> Response:
    """Return the HTTP response for an error, with its headers."""
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
