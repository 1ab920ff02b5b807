"""Support for observing one request of a caller from outside."""

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
    """What can be seen of a request and its answer at the callers' port.

    Attributes:
        environ: The WSGI environment.
        started: Monotonic time of the request.
        status: HTTP status of the answer.
        headers: Headers of the answer by lower-case name.
        first_s: Seconds to the first bytes; None before.
        last_s: Seconds to the latest bytes.
        sent: Bytes of the body that the caller's own task wrote.
        end: How it ended.
        problem: The error that was answered, if one was.
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
        """Start when the request was read."""
        self.environ = environ
        self.started = time.monotonic()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.first_s: float | None = None
        self.last_s = 0.0
        self.sent = 0
        # Until the body's end is seen, its reader may have gone away.
        self.end = END_GONE
        self.problem = _Problem()

    def head(self, status: str, headers: list[tuple[str, str]]) -> None:
        """Take the answer's status and headers."""
        self.status = int(status[:3])
        self.headers = {name.lower(): value for name, value in headers}

    @property
    def is_stream(self) -> bool:
        """Whether the answer comes as events."""
        return self.headers.get("content-type", "").startswith(EVENT_STREAM)

    def watch(self, body: Iterable[bytes]) -> Iterator[bytes]:
        """Pass the body on and look at each write of the caller's task."""
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
            # Only now was it taken; a slow caller's pause is not ours.
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
