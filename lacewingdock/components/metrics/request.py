"""Observation of one caller's request at the WSGI boundary."""

import time
from collections.abc import Iterable, Iterator
from typing import Any, Final

import msgspec

from lacewingdock.components.metrics.const import (
    END_CUT,
    END_GONE,
    END_REFUSED,
    END_WHOLE,
)
from lacewingdock.helpers.json import decode_json

ERROR_EVENT: Final = b"event: error\ndata: "
EVENT_STREAM: Final = "text/event-stream"
PROBLEM: Final = "application/problem+json"


class _Problem(msgspec.Struct):
    code: str = ""
    ran: str = ""


class ObservedRequest:
    """Status, timing and outcome of a request, as its caller sees them.

    Attributes:
        environ: The WSGI environment.
        started: Monotonic time of the request.
        status: HTTP status of the answer.
        headers: Headers of the answer by lower-case name.
        first_s: Seconds to the first bytes of the body; None before them.
        last_s: Seconds to the latest bytes of the body.
        sent: Bytes of the body written by the task that serves the caller.
        end: How the request ended, one of the `END_` constants.
        problem: The error in the response; its fields are empty without an
            error.
    """

    __slots__ = (
        "end",
        "environ",
        "first_s",
        "headers",
        "last_s",
        "problem",
        "sent",
        "started",
        "status",
    )

    def __init__(self, environ: dict[str, Any]) -> None:
        """Start the timing of a request that was just read."""
        self.environ = environ
        self.started = time.monotonic()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.first_s: float | None = None
        self.last_s = 0.0
        self.sent = 0
        # Default until the end of the body is seen: before that, the caller
        # may have disconnected.
        self.end = END_GONE
        self.problem = _Problem()

    def set_head(self, status: str, headers: list[tuple[str, str]]) -> None:
        """Set the status and headers of the answer."""
        self.status = int(status[:3])
        self.headers = {name.lower(): value for name, value in headers}

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of server-sent events."""
        return self.headers.get("content-type", "").startswith(EVENT_STREAM)

    def observe_body(self, body: Iterable[bytes]) -> Iterator[bytes]:
        """Yield the body unchanged, recording its timing, size and errors."""
        cut = False
        is_problem = self.headers.get("content-type") == PROBLEM
        for data in body:
            if self.first_s is None:
                self.first_s = time.monotonic() - self.started
            self.sent += len(data)
            if data.startswith(ERROR_EVENT):
                cut = True
                self._read_problem(data[len(ERROR_EVENT) :])
            elif is_problem:
                self._read_problem(data)
            yield data
            # The server resumes here once it has written the data; the
            # delay of a slow caller is not the router's.
            self.last_s = time.monotonic() - self.started
        if cut:
            self.end = END_CUT
        else:
            self.end = END_REFUSED if self.problem.code else END_WHOLE

    def _read_problem(self, data: bytes) -> None:
        try:
            self.problem = decode_json(data, _Problem)
        except msgspec.DecodeError:
            self.problem = _Problem("internal", "unknown")
