"""Tests of requests to instances that say that they leave."""

import pytest

from lacewingdock.world.call import AnswerHead
from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import (
    END,
    answer,
    event,
    send,
    stream_head,
)
from tests.components.gateway.scripted import (
    STREAM,
    Counting,
    SlowPool,
    streamed,
)

LEAVES = b"Server-Leaving: 1\r\n"


@pytest.mark.parametrize(
    ("step", "changes"),
    [
        (answer(extra=LEAVES), {}),
        (answer(extra=LEAVES), {"repeat": Repeat.ONCE}),
        (answer(extra=LEAVES, status=b"500 Error"), {}),
        (answer(extra=LEAVES + b"Connection: close\r\n"), {}),
        (answer(extra=LEAVES + b"Not-Executed: 1\r\n", status=b"503 Busy"), {}),
        (streamed(LEAVES), STREAM),
        # The small model is unsure: the answer is dropped, its word counts.
        (streamed(LEAVES + b"Confidence: 3\r\n"), STREAM),
    ],
)
def test_router_leaves_an_instance_that_says_that_it_leaves(
    stages, step, changes
):
    """Guards against: work for an instance that is about to exit.

    Symptom: requests 2.5 s after an answer that said it; the store was away,
    so its entry could not. Cause: the word was passed on to the callers, and
    not read.
    """
    other = Counting(step=streamed() if changes == STREAM else None)
    leaving = Counting(step=step)
    stage = stages(leaving, other, **changes)
    # It is what looks idle.
    stage.directory.instances["i-2"].running = 50
    extra = "Model: *\r\n" if changes == STREAM else ""
    stage.call(extra=extra)
    assert len(leaving.times) == 1
    found = [stage.call(call_id=f"c-{n}", extra=extra)[0] for n in range(10)]
    assert found == [200] * 10
    assert len(leaving.times) == 1


def test_request_is_not_sent_where_the_word_came_first(stages):
    """Guards against: requests chosen before the word that are sent after it.

    Sequence: an instance is chosen; a connection to it takes a while; another
    request's answer says that it leaves.
    """
    leaving, other = Counting(), Counting()
    stage = stages(leaving, other)
    stage.directory.instances["i-2"].running = 50
    connect = stage.gateway.pool.acquire

    def slow(entry, timeout_s):
        if entry.id == "i-1":
            instance = stage.directory.instances["i-1"]
            head = AnswerHead(200, [], sealed=True, leaving=True)
            stage.gateway.answered(instance, head, 0.0)
        return connect(entry, timeout_s)

    stage.gateway.pool = SlowPool(slow, stage.gateway.pool)
    assert stage.call()[0] == 200
    assert (len(leaving.times), len(other.times)) == (0, 1)
    assert stage.directory.instances["i-1"].running == 0
    # It is no failure of the instance's, and counts as no attempt.
    assert stage.directory.instances["i-1"].failures == 0


def test_stream_of_an_instance_that_leaves_goes_on_to_its_end(stages):
    leaving = Counting(step=streamed(LEAVES))
    stage = stages(leaving, Counting(), **STREAM)
    stage.directory.instances["i-2"].running = 50
    status, _, body = stage.call(extra="Model: *\r\n")
    assert (status, body) == (200, b"id: 1\ndata: e1\n\n")


def test_stream_goes_on_at_an_instance_that_does_not_leave(stages):
    broken = Counting(step=send(lambda c: stream_head(c, LEAVES), event(1)))
    other = Counting(step=send(stream_head, event(2), END, then="keep"))
    stage = stages(broken, other, **STREAM)
    stage.directory.instances["i-2"].running = 50
    status, _, body = stage.call(extra="Model: *\r\n")
    assert (status, body) == (200, b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
    assert (len(broken.times), len(other.times)) == (1, 1)


def test_where_all_leave_a_request_is_refused_as_not_run(stages):
    stage = stages(Counting(LEAVES))
    assert stage.call()[0] == 200
    status, headers, _ = stage.call()
    assert status == 503
    assert float(headers["retry-after"]) > 0.0
