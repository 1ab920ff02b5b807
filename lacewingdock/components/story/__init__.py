"""Trace of a request, rebuilt from captured log lines.

The lines may come from any number of routers, in any order. No running system
is needed: after a failure the logs are often all that is left.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, Final

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.json import decode_json

# Span before the first line of a request whose log lines show the state of its
# routers.
LOOKBACK: Final = timedelta(seconds=5)
# Fields that every line has: the source and the subject of the line.
_COMMON_FIELDS: Final = frozenset(
    {"time", "level", "logger", "message", "instance", "failure_domain"}
)
_REQUEST_FIELD: Final = "request"


@dataclass(slots=True)
class LogLine:
    """A parsed log line.

    Attributes:
        time: Time of day at which the line was written, by its router's clock.
        router: The router that wrote the line.
        message: Message of the line.
        fields: Fields of the line that are not common to all lines.
    """

    time: datetime
    router: str
    message: str
    fields: dict[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        """Return time, router, message and fields of the line as text."""
        fields_text = " ".join(
            f"{name}={value}" for name, value in self.fields.items()
        )
        at = self.time.time().isoformat("milliseconds")
        return f"{at} {self.router:<24} {self.message}: {fields_text}"


def parse_lines(text: Iterable[str]) -> list[LogLine]:
    """Parse JSON log lines and return them in order of time.

    Text before the first brace of a line is ignored, such as the prefix of a
    log collector. Lines without valid JSON or without a time are skipped.
    """
    parsed = []
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            line = decode_json(raw[start:], dict[str, Any])
            at = datetime.fromisoformat(str(line["time"]))
        except (msgspec.DecodeError, KeyError, ValueError):
            continue
        fields = {k: v for k, v in line.items() if k not in _COMMON_FIELDS}
        router = str(line.get("instance", ""))
        parsed.append(LogLine(at, router, str(line.get("message", "")), fields))
    return sorted(parsed, key=lambda line: line.time)


def trace_request(lines: list[LogLine], request: str) -> str:
    """Return the log lines of a request and those that show its context.

    Lines of the request itself are marked with an asterisk. The context is the
    related lines that the request's routers wrote shortly before the request
    and while they served it.

    Args:
        lines: Log lines in order of time.
        request: Id of the request.

    Raises:
        LacewingdockError: NOT_FOUND, when no line has the id of the request.
    """
    own = [line for line in lines if line.fields.get(_REQUEST_FIELD) == request]
    if not own:
        raise LacewingdockError(
            ErrorKind.NOT_FOUND, f"no log line of request {request!r}"
        )
    trace = [*own, *_context_lines(lines, own)]
    trace.sort(key=lambda line: line.time)
    return "\n".join(
        ("* " if line.fields.get(_REQUEST_FIELD) == request else "  ")
        + str(line)
        for line in trace
    )


def list_requests(
    lines: list[LogLine], workspace: str, since: str, until: str
) -> str:
    """Return the final log line of each request of a workspace.

    Args:
        lines: Log lines in order of time.
        workspace: The workspace; empty for all workspaces.
        since: Earliest time of day, as "HH:MM:SS"; empty for no bound.
        until: Latest time of day, as "HH:MM:SS"; empty for no bound.
    """
    requests = [
        line
        for line in lines
        if line.message == _REQUEST_FIELD
        and workspace in ("", line.fields.get("workspace"))
        and since <= line.time.time().isoformat()
        and (not until or line.time.time().isoformat() <= until)
    ]
    return "\n".join(str(line) for line in requests) or "no request"


def _context_lines(lines: list[LogLine], own: list[LogLine]) -> list[LogLine]:
    """Return related lines of the request's routers, before and during it."""
    routers = {line.router for line in own}
    upstreams = {line.fields.get("upstream") for line in own} - {None}
    services = {line.fields.get("service") for line in own} - {None, ""}
    first, last = own[0].time - LOOKBACK, own[-1].time
    return [
        line
        for line in lines
        if line.router in routers
        and _REQUEST_FIELD not in line.fields
        and first <= line.time <= last
        and _is_related(line, upstreams, services)
    ]


def _is_related(line: LogLine, upstreams: set[Any], services: set[Any]) -> bool:
    """Return whether a line is about the request's upstreams or service.

    Lines that name neither concern all requests and count as related.
    """
    # A request that was refused without an attempt has no upstream; its service
    # decides.
    if "upstream" in line.fields and upstreams:
        return line.fields["upstream"] in upstreams
    if "service" in line.fields:
        return line.fields["service"] in services
    return True
