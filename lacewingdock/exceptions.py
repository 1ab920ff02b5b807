"""Support for the closed list of error kinds and their responses."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from lacewingdock.const import RAN_NO, RAN_UNKNOWN, RAN_YES


class ErrorKind(StrEnum):
    """All kinds of errors that a response or an exit status can report."""

    ANSWER_GONE = "answer_gone"
    BAD_COMMAND = "bad_command"
    BAD_LINK = "bad_link"
    BAD_MANIFEST = "bad_manifest"
    BAD_REQUEST = "bad_request"
    BAD_SETTING = "bad_setting"
    BAD_TOKEN = "bad_token"
    BODY_TOO_LARGE = "body_too_large"
    BUDGET_EXHAUSTED = "budget_exhausted"
    CALLER_LEFT = "caller_left"
    CONFLICT = "conflict"
    DEADLINE = "deadline"
    FENCED = "fenced"
    HEADERS_TOO_LARGE = "headers_too_large"
    INTERNAL = "internal"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    LEAVING = "leaving"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    NOT_FOUND = "not_found"
    NOT_HOME = "not_home"
    NOT_READY = "not_ready"
    NO_UPSTREAM = "no_upstream"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    PERMISSION_DENIED = "permission_denied"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PORT_TAKEN = "port_taken"
    QUARANTINED = "quarantined"
    REPEATS_CRASH = "repeats_crash"
    SLOW_CALLER = "slow_caller"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UPSTREAM_FAILED = "upstream_failed"
    VERSION_WITHDRAWN = "version_withdrawn"


@dataclass(slots=True, frozen=True)
class ErrorResponse:
    """Response of one error kind to a caller or an operator.

    Attributes:
        status: HTTP status.
        title: Human-readable summary in one line.
        ran: Default for whether the request ran: "no", "yes" or "unknown".
        retry_after_s: Seconds after which a retry can succeed; None if a retry
            cannot succeed.
        exit_status: Exit status of the command line.
    """

    status: int
    title: str
    ran: str = RAN_NO
    retry_after_s: float | None = None
    exit_status: int = 1


ERROR_RESPONSES: Final[dict[ErrorKind, ErrorResponse]] = {
    ErrorKind.ANSWER_GONE: ErrorResponse(
        410, "The answer is no longer kept", ran=RAN_YES
    ),
    ErrorKind.BAD_COMMAND: ErrorResponse(
        400, "The command is not understood", exit_status=2
    ),
    ErrorKind.BAD_LINK: ErrorResponse(
        400, "The peer's frame or key was refused", exit_status=2
    ),
    ErrorKind.BAD_MANIFEST: ErrorResponse(
        422, "The configuration has faults", exit_status=2
    ),
    ErrorKind.BAD_REQUEST: ErrorResponse(400, "The request is malformed"),
    ErrorKind.BAD_SETTING: ErrorResponse(
        500, "The settings have faults", exit_status=2
    ),
    ErrorKind.BAD_TOKEN: ErrorResponse(400, "The session token is not valid"),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, "The body is too large"),
    ErrorKind.BUDGET_EXHAUSTED: ErrorResponse(
        429, "The workspace's budget is used up", retry_after_s=60.0
    ),
    # The caller has disconnected: this response is only logged.
    ErrorKind.CALLER_LEFT: ErrorResponse(
        499, "The caller closed its connection", ran=RAN_UNKNOWN
    ),
    ErrorKind.CONFLICT: ErrorResponse(409, "Another change came first"),
    ErrorKind.DEADLINE: ErrorResponse(
        504, "The deadline passed", ran=RAN_UNKNOWN, retry_after_s=1.0
    ),
    ErrorKind.FENCED: ErrorResponse(409, "The order is an earlier holder's"),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(
        431, "The request line or the headers are too large"
    ),
    ErrorKind.INTERNAL: ErrorResponse(500, "Internal error", ran=RAN_UNKNOWN),
    ErrorKind.KEY_REQUIRED: ErrorResponse(
        400, "This call needs an Idempotency-Key"
    ),
    ErrorKind.KEY_REUSED: ErrorResponse(
        422, "The Idempotency-Key was used with another body"
    ),
    ErrorKind.LEAVING: ErrorResponse(
        503, "This instance is stopping", retry_after_s=0.1
    ),
    ErrorKind.MODEL_NOT_ALLOWED: ErrorResponse(
        403, "The workspace does not allow this model"
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(404, "Nothing is at this path"),
    ErrorKind.NOT_HOME: ErrorResponse(
        503, "The key's home is changing", retry_after_s=0.5
    ),
    ErrorKind.NOT_READY: ErrorResponse(
        503, "This instance is not ready", retry_after_s=1.0
    ),
    ErrorKind.NO_UPSTREAM: ErrorResponse(
        503, "No upstream can take the request", retry_after_s=1.0
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        502, "Whether the request ran is not known", ran=RAN_UNKNOWN
    ),
    ErrorKind.OVERLOADED: ErrorResponse(
        429, "Capacity is used up", retry_after_s=1.0
    ),
    ErrorKind.PERMISSION_DENIED: ErrorResponse(
        403, "The role does not allow this"
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(
        503, "The platform's store does not answer", retry_after_s=2.0
    ),
    ErrorKind.PORT_TAKEN: ErrorResponse(
        500, "A port is already in use", exit_status=3
    ),
    ErrorKind.QUARANTINED: ErrorResponse(
        422, "This request crashed upstreams and is quarantined"
    ),
    ErrorKind.REPEATS_CRASH: ErrorResponse(
        429,
        "This request crashed upstreams each time, and is not run for now",
        retry_after_s=60.0,
    ),
    ErrorKind.SLOW_CALLER: ErrorResponse(
        408, "The request did not come in time", retry_after_s=1.0
    ),
    ErrorKind.UNAUTHORIZED: ErrorResponse(
        401, "The workspace key is not valid"
    ),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, "No such model"),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(
        404, "No such service or operation"
    ),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(
        502, "The upstream failed", ran=RAN_UNKNOWN, retry_after_s=1.0
    ),
    ErrorKind.VERSION_WITHDRAWN: ErrorResponse(
        409, "The version was withdrawn", retry_after_s=0.1
    ),
}


class LacewingdockError(Exception):
    """Base class of all errors raised by lacewingdock.

    Attributes:
        kind: Kind of the error; `ERROR_RESPONSES` holds its response.
        detail: Human-readable description; never contains a secret.
        ran: Whether the request ran: "no", "yes" or "unknown".
        retry_after_s: Seconds after which a retry can succeed, or None.
        revision: Configuration revision at which a sidecar refused; 0 if
            unknown.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        ran: str | None = None,
        retry_after_s: float | None = None,
        revision: int = 0,
    ) -> None:
        """Build an error; omitted values default to the kind's response."""
        super().__init__(f"{kind}: {detail}")
        answer = ERROR_RESPONSES[kind]
        self.kind = kind
        self.detail = detail
        self.ran = answer.ran if ran is None else ran
        self.revision = revision
        self.retry_after_s = (
            answer.retry_after_s if retry_after_s is None else retry_after_s
        )

    @property
    def answer(self) -> ErrorResponse:
        """The response of the error kind."""
        return ERROR_RESPONSES[self.kind]


class UpstreamLost(LacewingdockError):
    """The connection to the upstream broke or could not be established."""

    def __init__(self, detail: str, ran: str = RAN_UNKNOWN) -> None:
        """Build the error; `ran` is "no" if the request was never sent."""
        super().__init__(ErrorKind.UPSTREAM_FAILED, detail, ran)
