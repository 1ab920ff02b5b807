"""Tests of the reports on an instance in the heads of its answers."""

import pytest

from lacewingdock.helpers.unknown_names import (
    MAX_NAMES,
    OTHERS,
    UnknownNames,
)
from lacewingdock.world.call import ResponseHead
from tests.components.gateway.fakes import (
    GatewayHarness,
    Upstream,
    answer,
    route,
)


@pytest.fixture
def lines(monkeypatch):
    """The lines that the gateway and its helpers log."""
    found = []
    for name in (
        "components.upstreams.signals",
        "components.gateway.attempt_log",
        "helpers.unknown_names",
    ):
        for level in ("info", "warning"):
            monkeypatch.setattr(
                f"lacewingdock.{name}.log.{level}",
                lambda message, **fields: found.append((message, fields)),
            )
    return found


def served(*steps):
    """Return a harness after one request for each step of the upstream."""
    upstream = Upstream(*steps)
    harness = GatewayHarness([route(max_attempts=1)], [upstream])
    try:
        for number in range(len(steps)):
            harness.call(call_id=f"c-{number}")
    finally:
        harness.close()
        upstream.close()
    return harness


@pytest.mark.parametrize(
    ("values", "limit", "logged"),
    [
        ([b"3"], 3.0, [3.0]),
        ([b"3", b""], 3.0, [3.0]),
        ([b"3", b"2.9"], 2.9, [3.0]),
        ([b"3", b"2"], 2.0, [3.0, 2.0]),
        # A missing header ends the limit, an invalid value does not.
        ([b"3", None], None, [3.0, None]),
        ([b"x", b"-3"], None, []),
        ([b"0"], 0.0, [0.0]),
    ],
)
def test_limit_is_logged_as_it_changes(lines, values, limit, logged):
    harness = served(
        *(
            answer()
            if value is None
            else answer(extra=b"Server-Limit: %s\r\n" % value)
            for value in values
        )
    )
    assert harness.directory.instances["i-1"].limit.own_per_s == limit
    assert [
        fields["per_s"] for message, fields in lines if message == "limit"
    ] == logged


@pytest.mark.parametrize(
    "step",
    [
        # A refusal does not show which load the instance can take.
        answer(extra=b"Not-Executed: 1\r\n", status=b"503 Busy"),
        # Another instance answers at the address.
        answer(extra=b"Instance-Id: i-9\r\n"),
    ],
)
def test_refusal_or_other_instances_answer_ends_no_limit(step):
    harness = served(answer(extra=b"Server-Limit: 3\r\n"), step)
    [signals] = harness.directory.signals.by_incarnation.values()
    assert signals.limit.own_per_s == 3.0


def test_late_answer_ends_no_limit():
    """Guards against a rate limit that is dropped as soon as it is reported.

    A request is sent; another one is answered with a limit; then the answer to
    the first one arrives, which was sent before the limit applied.
    """
    harness = served(answer(extra=b"Server-Limit: 3\r\n"), answer())
    instance = harness.directory.instances["i-1"]
    head = good_head(limit_per_s=3.0)
    harness.gateway.record_head(instance, head, 0.0)
    early = instance.limit.named_at - 0.01
    harness.gateway.record_head(instance, good_head(), early)
    assert instance.limit.own_per_s == 3.0
    harness.gateway.record_head(instance, good_head(), early + 0.02)
    assert instance.limit.own_per_s is None


def good_head(**fields):
    """Return the head of a successful answer."""
    return ResponseHead(200, [], sealed=True, **fields)


def test_unknown_header_is_logged_once(lines):
    harness = served(
        answer(extra=b"Server-Mood: poor\r\n"),
        answer(extra=b"Server-Mood: good\r\n"),
    )
    assert harness.gateway.unknown_headers.counts() == {"server-mood": 2}
    assert [line for line in lines if line[0] == "unknown name"] == [
        (
            "unknown name",
            {"where": "answer", "name": "server-mood", "source": "i-1"},
        )
    ]


def test_attempt_logs_what_its_instance_reports(lines):
    """Guards against logs that hide a backoff which an instance asked for.

    An instance that had sent Retry-After got request after request, and the log
    lines of these attempts only said that it refused.
    """
    busy = {"status": b"503 Busy", "extra": b"Retry-After: 0.01\r\n"}
    served(answer(**busy), answer(extra=b"Server-Leaving: 1\r\n"))
    logged = [fields for message, fields in lines if message == "attempt"]
    assert [
        (one["status"], one["says_rest_s"], one["says_leaving"])
        for one in logged
    ] == [(503, 0.01, False), (200, None, True)]


def test_invalid_value_is_logged_once(lines):
    harness = served(
        answer(extra=b"Server-Leaving: soon\r\n"),
        answer(extra=b"Server-Leaving: now\r\n"),
    )
    assert harness.gateway.odd_values.counts() == {"server-leaving": 2}
    [logged] = [
        fields for message, fields in lines if message == "unknown name"
    ]
    assert logged == {
        "where": "value",
        "name": "server-leaving",
        "source": "i-1",
    }


def test_number_of_unknown_names_is_bounded(lines):
    found = UnknownNames("answer")
    found.count_names("i-1", [f"x-{number}" for number in range(1000)])
    assert len(found.counts()) == MAX_NAMES + 1
    assert found.counts()[OTHERS] == 1000 - MAX_NAMES
    assert len(lines) == MAX_NAMES
