"""Tests of what the heads of answers say beside the answer itself."""

import pytest

from lacewingdock.helpers.unknown_names import (
    MAX_NAMES,
    OTHERS,
    UnknownNames,
)
from lacewingdock.world.call import AnswerHead
from tests.components.gateway.fakes import Stage, Upstream, answer, route


@pytest.fixture
def lines(monkeypatch):
    """The lines that the parts of the gateway log."""
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
    """Return the gateway after as many requests as the upstream has steps."""
    upstream = Upstream(*steps)
    stage = Stage([route(max_attempts=1)], [upstream])
    try:
        for number in range(len(steps)):
            stage.call(call_id=f"c-{number}")
    finally:
        stage.close()
        upstream.close()
    return stage


@pytest.mark.parametrize(
    ("words", "believed", "told"),
    [
        ([b"3"], 3.0, [3.0]),
        ([b"3", b""], 3.0, [3.0]),
        ([b"3", b"2.9"], 2.9, [3.0]),
        ([b"3", b"2"], 2.0, [3.0, 2.0]),
        # No header ends it, an odd one does not.
        ([b"3", None], None, [3.0, None]),
        ([b"x", b"-3"], None, []),
        ([b"0"], 0.0, [0.0]),
    ],
)
def test_limit_is_told_as_it_changes(lines, words, believed, told):
    stage = served(
        *(
            answer()
            if word is None
            else answer(extra=b"Server-Limit: %s\r\n" % word)
            for word in words
        )
    )
    assert stage.directory.instances["i-1"].limit.own_per_s == believed
    assert [
        fields["per_s"] for message, fields in lines if message == "limit"
    ] == told


@pytest.mark.parametrize(
    "step",
    [
        # It has not run, so it says nothing of what the instance bears.
        answer(extra=b"Not-Executed: 1\r\n", status=b"503 Busy"),
        # Another one lives at the address.
        answer(extra=b"Instance-Id: i-9\r\n"),
    ],
)
def test_answer_that_is_not_the_instances_own_ends_no_limit(step):
    stage = served(answer(extra=b"Server-Limit: 3\r\n"), step)
    [signals] = stage.directory.signals.by_incarnation.values()
    assert signals.limit.own_per_s == 3.0


def test_answer_that_was_overtaken_ends_no_limit():
    """Symptom: a limit is forgotten in the moment in which it is named.

    Sequence: a request is sent, another one is answered with a limit, and the
    first one's answer, which left before, comes after it.
    """
    stage = served(answer(extra=b"Server-Limit: 3\r\n"), answer())
    instance = stage.directory.instances["i-1"]
    head = stage_head(limit_per_s=3.0)
    stage.gateway.answered(instance, head, 0.0)
    early = instance.limit.named_at - 0.01
    stage.gateway.answered(instance, stage_head(), early)
    assert instance.limit.own_per_s == 3.0
    stage.gateway.answered(instance, stage_head(), early + 0.02)
    assert instance.limit.own_per_s is None


def stage_head(**fields):
    """Return the head of a good answer."""
    return AnswerHead(200, [], sealed=True, **fields)


def test_unknown_header_is_told_once(lines):
    stage = served(
        answer(extra=b"Server-Mood: poor\r\n"),
        answer(extra=b"Server-Mood: good\r\n"),
    )
    assert stage.gateway.unknown_headers.counts() == {"server-mood": 2}
    assert [line for line in lines if line[0] == "unknown name"] == [
        (
            "unknown name",
            {"where": "answer", "name": "server-mood", "source": "i-1"},
        )
    ]


def test_attempt_tells_what_its_instance_says_of_itself(lines):
    """Guards against: nobody can tell what an instance asked for.

    Symptom: an instance that had asked for rest got request after request,
    and the lines of these attempts said that it refused.
    """
    busy = {"status": b"503 Busy", "extra": b"Retry-After: 0.01\r\n"}
    served(answer(**busy), answer(extra=b"Server-Leaving: 1\r\n"))
    told = [fields for message, fields in lines if message == "attempt"]
    assert [
        (one["status"], one["says_rest_s"], one["says_leaving"]) for one in told
    ] == [(503, 0.01, False), (200, None, True)]


def test_value_that_can_not_be_read_is_told_once(lines):
    stage = served(
        answer(extra=b"Server-Leaving: soon\r\n"),
        answer(extra=b"Server-Leaving: now\r\n"),
    )
    assert stage.gateway.odd_values.counts() == {"server-leaving": 2}
    [told] = [fields for message, fields in lines if message == "unknown name"]
    assert told == {"where": "value", "name": "server-leaving", "source": "i-1"}


def test_ever_new_names_do_not_fill_the_memory(lines):
    found = UnknownNames("answer")
    found.met("i-1", [f"x-{number}" for number in range(1000)])
    assert len(found.counts()) == MAX_NAMES + 1
    assert found.counts()[OTHERS] == 1000 - MAX_NAMES
    assert len(lines) == MAX_NAMES
