"""Tests of requests to instances that announce a planned stop."""

import pytest

from lacewingdock.world.call import ResponseHead
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
    InterceptedPool,
    RepeatingUpstream,
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
        # The unsure answer is discarded, but its headers count.
        (streamed(LEAVES + b"Confidence: 3\r\n"), STREAM),
    ],
)
def test_router_leaves_an_instance_that_says_that_it_leaves(
    build_one_route, step, changes
):
    """Guards against requests to an instance that is about to exit.

    An instance got requests 2.5 s after an answer with Server-Leaving. The
    store was unavailable, so the instance's entry could not change, and the
    header was passed on to the callers without being read.
    """
    other = RepeatingUpstream(step=streamed() if changes == STREAM else None)
    leaving = RepeatingUpstream(step=step)
    harness = build_one_route(leaving, other, **changes)
    # The instance under test has the lowest load.
    harness.directory.instances["i-2"].running = 50
    extra = "Model: *\r\n" if changes == STREAM else ""
    harness.call(extra=extra)
    assert len(leaving.times) == 1
    found = [harness.call(call_id=f"c-{n}", extra=extra)[0] for n in range(10)]
    assert found == [200] * 10
    assert len(leaving.times) == 1


def test_request_is_not_sent_where_the_word_came_first(build_one_route):
    """Guards against a race between choosing an instance and its leaving.

    An instance is chosen; while a connection to it is opened, the answer to
    another request reports that the instance leaves.
    """
    leaving, other = RepeatingUpstream(), RepeatingUpstream()
    harness = build_one_route(leaving, other)
    harness.directory.instances["i-2"].running = 50
    connect = harness.gateway.pool.acquire

    def slow(entry, call_id, timeout_s):
        if entry.id == "i-1":
            instance = harness.directory.instances["i-1"]
            head = ResponseHead(200, [], sealed=True, leaving=True)
            harness.gateway.record_head(instance, head, 0.0)
        return connect(entry, call_id, timeout_s)

    harness.gateway.pool = InterceptedPool(slow, harness.gateway.pool)
    assert harness.call()[0] == 200
    assert (len(leaving.times), len(other.times)) == (0, 1)
    assert harness.directory.instances["i-1"].running == 0
    # A withheld request is neither a failure of the instance nor an attempt.
    assert harness.directory.instances["i-1"].failures == 0


def test_stream_of_an_instance_that_leaves_goes_on_to_its_end(build_one_route):
    leaving = RepeatingUpstream(step=streamed(LEAVES))
    harness = build_one_route(leaving, RepeatingUpstream(), **STREAM)
    harness.directory.instances["i-2"].running = 50
    status, _, body = harness.call(extra="Model: *\r\n")
    assert (status, body) == (200, b"id: 1\ndata: e1\n\n")


def test_stream_goes_on_at_an_instance_that_does_not_leave(build_one_route):
    broken = RepeatingUpstream(
        step=send(lambda c: stream_head(c, LEAVES), event(1))
    )
    other = RepeatingUpstream(
        step=send(stream_head, event(2), END, then="keep")
    )
    harness = build_one_route(broken, other, **STREAM)
    harness.directory.instances["i-2"].running = 50
    status, _, body = harness.call(extra="Model: *\r\n")
    assert (status, body) == (200, b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
    assert (len(broken.times), len(other.times)) == (1, 1)


def test_where_all_leave_a_request_is_refused_as_not_run(build_one_route):
    harness = build_one_route(RepeatingUpstream(LEAVES))
    assert harness.call()[0] == 200
    status, headers, _ = harness.call()
    assert status == 503
    assert float(headers["retry-after"]) > 0.0
