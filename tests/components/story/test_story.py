"""Tests of request traces rebuilt from log lines."""

import json

import pytest

from lacewingdock.components.story import (
    list_requests,
    parse_lines,
    trace_request,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError


def line(second, message, router="r-1", **fields):
    """Return a log line as the log collector outputs it, with its prefix."""
    return "10.0.0.1 stdout " + json.dumps(
        {
            "time": f"2026-01-01T10:00:{second:06.3f}",
            "level": "info",
            "logger": "x",
            "message": message,
            "instance": router,
            "failure_domain": "d",
            **fields,
        }
    )


# A request that was answered 502 because its upstream reset the connection.
LINES = [
    line(9.0, "upstream", upstream="i-9", service="svc"),
    line(
        20.2,
        "request",
        request="c-1",
        workspace="w",
        service="svc",
        outcome="upstream_failed: receive: reset",
    ),
    line(20.1, "attempt", request="c-1", upstream="i-1", result="Broken"),
    line(18.0, "upstream", upstream="i-1", service="svc", leaving=True),
    line(18.0, "upstream", upstream="i-2", service="svc"),
    line(17.5, "configuration in force", version=7),
    line(18.0, "configuration in force", "r-2", version=7),
    line(20.15, "request", request="c-2", workspace="v", outcome="status 200"),
    line(20.16, "order", service="other", target="v2"),
    "no json at all",
    "{broken",
    '{"message": "without a time"}',
]


def test_trace_shows_request_and_router_context():
    trace_lines = trace_request(parse_lines(LINES), "c-1").split("\n")
    assert [one[:2] + one.split()[-1] for one in trace_lines] == [
        "  version=7",
        "  leaving=True",
        "* result=Broken",
        "* reset",
    ]


def test_trace_of_refused_request_shows_its_service():
    """Guards against: a trace that does not show why a request was refused.

    Sequence: all instances of a service announce rate limits; a request is
    refused without an attempt, so no log line relates it to an instance.
    """
    lines = [
        line(9.0, "limit", upstream="i-1", service="svc", per_s=2.0),
        line(9.1, "limit", upstream="i-2", service="other", per_s=3.0),
        line(9.5, "request", request="c-1", service="svc", outcome="refused"),
    ]
    trace_lines = trace_request(parse_lines(lines), "c-1").split("\n")
    assert [one.split()[-1] for one in trace_lines] == [
        "per_s=2.0",
        "outcome=refused",
    ]


def test_unknown_request_is_a_coded_error():
    with pytest.raises(LacewingdockError) as caught:
        trace_request(parse_lines(LINES), "c-9")
    assert caught.value.kind is ErrorKind.NOT_FOUND


@pytest.mark.parametrize(
    ("workspace", "since", "until", "found"),
    [
        ("", "", "", ["c-2", "c-1"]),
        ("w", "", "", ["c-1"]),
        ("w", "10:00:21", "", []),
        ("", "10:00:20", "10:00:20.18", ["c-2"]),
        ("nobody", "", "", []),
    ],
)
def test_list_requests_of_a_workspace(workspace, since, until, found):
    text = list_requests(parse_lines(LINES), workspace, since, until)
    assert [one for one in ("c-2", "c-1") if f"request={one}" in text] == found
