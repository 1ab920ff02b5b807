"""Support for telling a request's story from captured log lines.

It reads the lines of any number of routers, in any order, and needs nothing
of a running system: what is left of a failure on call is its logs.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, Final

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.json import decode_json

# What a router believed shortly before and while it served a request.
LOOKBACK: Final = timedelta(seconds=5)
# Fields that say where a line comes from, and what it is about.
_COMMON_FIELDS: Final = frozenset(
    {"time", "level", "logger", "message", "instance", "failure_domain"}
)
_REQUEST_FIELD: Final = "request"


@dataclass(slots=True)
class LogLine:
    """One log line.

    Attributes:
        time: When it was written, by its router's time of day.
        router: The router that wrote it.
        message: What it tells of.
        fields: What it says.
    """

    time: datetime
    router: str
    message: str
    fields: dict[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        """Return the line as text."""
        fields_text = " ".join(
            f"{name}={value}" for name, value in self.fields.items()
        )
        at = self.time.time().isoformat("milliseconds")
        return f"{at} {self.router:<24} {self.message}: {fields_text}"


def parse_lines(text: Iterable[str]) -> list[LogLine]:
    """Read log lines; what stands before the first brace is passed over."""
    found = []
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
        found.append(LogLine(at, router, str(line.get("message", "")), fields))
    return sorted(found, key=lambda line: line.time)


def trace_request(lines: list[LogLine], request: str) -> str:
    """Return what happened to a request and what its routers believed.

    Args:
        lines: Log lines in order of time.
        request: Id of the request.

    Raises:
        LacewingdockError: NOT_FOUND, when no line tells of it.
    """
    own = [line for line in lines if line.fields.get(_REQUEST_FIELD) == request]
    if not own:
        raise LacewingdockError(
            ErrorKind.NOT_FOUND, f"no line tells of request {request!r}"
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
    """Return the ends of a workspace's requests in a span of time.

    Args:
        lines: Log lines in order of time.
        workspace: The workspace; empty for all.
        since: First time of day, as "HH:MM:SS"; empty for no bound.
        until: Last time of day; empty for no bound.
    """
    found = [
        line
        for line in lines
        if line.message == _REQUEST_FIELD
        and workspace in ("", line.fields.get("workspace"))
        and since <= line.time.time().isoformat()
        and (not until or line.time.time().isoformat() <= until)
    ]
    return "\n".join(str(line) for line in found) or "no request"


def _context_lines(lines: list[LogLine], own: list[LogLine]) -> list[LogLine]:
    """Return what the request's routers came to believe around it."""
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
    """Whether a line is of the request's upstreams or service, or of all."""
    # A request that was refused without an attempt has no upstream of its own.
    if "upstream" in line.fields and upstreams:
        return line.fields["upstream"] in upstreams
    if "service" in line.fields:
        return line.fields["service"] in services
    return True
