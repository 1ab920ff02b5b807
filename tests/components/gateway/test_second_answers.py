"""Tests of instances that send a second answer to a request.

A faulty instance sends an answer once more, where the next answer on the
connection is expected. The copy bears the id of its request, and a retry of
that request bears the same id.
"""

import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import (
    END,
    GatewayHarness,
    Upstream,
    event,
    ok,
    refusal,
    route,
    send,
    stream_head,
)
from tests.components.gateway.scripted import STREAM

NOT_RUN = b"Not-Executed: 1\r\n"


class DuplicatingUpstream(Upstream):
    """An instance that sends second answers, and records what it runs.

    Attributes:
        ran: Ids of the requests that ran, in order.
        owed: Second answers still to be sent, by connection.
        lock: Guards `ran`.
    """

    def __init__(self):
        super().__init__()
        self.ran = []
        self.owed = {}
        self.lock = threading.Lock()

    def _read(self, sock):
        found = super()._read(sock)
        if found is not None:
            sock.sendall(self.owed.pop(sock, b""))
        return found

    def refuse(self, build=refusal, copies=0, named=True):
        """Return a step that refuses the request and sends copies later.

        Args:
            build: Returns the answer to a request's id.
            copies: Number of second answers.
            named: Whether the second answers bear the request's id.
        """

        def step(sock, call_id, _):
            copy_id = call_id if named else b""
            self.owed[sock] = build(copy_id) * copies
            sock.sendall(build(call_id))

        return step

    def run(self, build=ok, copies=0, named=True):
        """Return a step that runs the request and sends copies later."""
        respond = self.refuse(build, copies, named)

        def step(sock, call_id, head):
            with self.lock:
                self.ran.append(call_id.decode())
            respond(sock, call_id, head)

        return step


def misdirected(call_id):
    """Return an instance's own refusal of a model that it lacks."""
    return ok(call_id, b"", NOT_RUN, b"421 Misdirected Request")


def too_many(call_id):
    """Return a refusal with status 429."""
    return ok(call_id, b"", NOT_RUN, b"429 Too Many Requests")


def failed(call_id):
    """Return an instance's own error."""
    return ok(call_id, b"why", status=b"500 Oops")


@pytest.fixture
def serve(build_one_route):
    """Builds a gateway in front of one instance that sends second answers."""

    def build(repeat, **changes):
        upstream = DuplicatingUpstream()
        return build_one_route(upstream, repeat=repeat, **changes), upstream

    return build


@pytest.mark.parametrize("copies", [1, 2])
@pytest.mark.parametrize("build", [refusal, too_many, misdirected])
def test_copy_of_a_refusal_does_not_answer_the_retry(serve, build, copies):
    """Guards against a retry that runs although it is counted as refused."""
    harness, upstream = serve(Repeat.ONCE)
    upstream.steps = [
        upstream.refuse(build, copies),
        upstream.run(),
        upstream.run(),
    ]
    status, _, body = harness.call()
    assert (status, body, upstream.ran) == (200, b"done", ["c-1"])


@pytest.mark.parametrize("build", [refusal, too_many, misdirected, ok])
def test_answer_without_an_id_answers_no_request(serve, build):
    """Guards against an answer that is taken although it names no request."""
    harness, upstream = serve(Repeat.ONCE, max_attempts=1)
    first = upstream.run if build is ok else upstream.refuse
    upstream.steps = [
        first(build, copies=1, named=False),
        upstream.run(lambda call_id: ok(call_id, b"own")),
        upstream.run(),
    ]
    harness.call(call_id="c-0")
    status, _, body = harness.call(call_id="c-1")
    assert (status, body) == (200, b"own")
    assert upstream.ran.count("c-1") == 1
    assert upstream.connections == 1
    assert harness.gateway.metrics.skipped_answers == 1


def test_copy_of_an_error_does_not_answer_the_retry(serve):
    """Guards against a retry's good answer that is lost behind an old error."""
    harness, upstream = serve(Repeat.IDEMPOTENT)
    upstream.steps = [
        upstream.run(failed, copies=1),
        upstream.run(),
        upstream.run(),
    ]
    status, _, body = harness.call()
    assert (status, body, len(upstream.ran)) == (200, b"done", 2)


def test_copy_does_not_answer_a_caller_that_reuses_an_id(serve):
    """Guards against an earlier answer for a caller that sends an id again."""
    harness, upstream = serve(Repeat.IDEMPOTENT)
    upstream.steps = [
        upstream.run(lambda call_id: ok(call_id, b"first"), copies=1),
        upstream.run(lambda call_id: ok(call_id, b"second")),
    ]
    assert harness.call()[2] == b"first"
    assert harness.call()[2] == b"second"


def test_copy_of_a_refusal_does_not_end_a_stream(serve):
    """Guards against a stream that runs although it is counted as refused."""
    harness, upstream = serve(Repeat.ONCE, streaming=True, gap_s=0.1)
    parts = event(1) + END
    upstream.steps = [
        upstream.refuse(copies=2),
        upstream.run(lambda call_id: stream_head(call_id) + parts),
        upstream.run(lambda call_id: stream_head(call_id) + parts),
    ]
    status, _, body = harness.call()
    assert (status, body) == (200, b"id: 1\ndata: e1\n\n")
    assert upstream.ran == ["c-1"]


def test_copy_of_an_unsure_answer_does_not_answer_for_the_larger_model(serve):
    """Guards against the small model's answer in place of the large one's."""
    harness, upstream = serve(**STREAM, gap_s=0.1)

    def reply(number, confidence):
        extra = b"Confidence: %d\r\n" % confidence
        return lambda call_id: stream_head(call_id, extra) + event(number) + END

    upstream.steps = [
        upstream.run(reply(1, 10), copies=1),
        upstream.run(reply(2, 90)),
    ]
    status, _, body = harness.call(extra="Model: *\r\n")
    assert (status, body) == (200, b"id: 2\ndata: e2\n\n")
    assert len(upstream.ran) == 2


def test_copy_of_a_broken_stream_does_not_continue_it(serve):
    """Guards against a resumed stream that goes on from its old answer."""
    harness, upstream = serve(Repeat.RESUMABLE, streaming=True, gap_s=0.1)
    upstream.steps = [
        upstream.run(
            lambda call_id: (
                stream_head(call_id) + event(1) + b"6\r\nid: 2\n\r\n" + END
            ),
            copies=1,
        ),
        upstream.run(lambda call_id: stream_head(call_id) + event(2) + END),
    ]
    status, _, body = harness.call()
    assert (status, body) == (200, b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
    assert upstream.connections == 2


def test_second_answer_is_no_sign_of_life(serve):
    """Guards against an instance that seems to work by an old answer."""
    harness, upstream = serve(Repeat.ONCE, timeout_s=0.4)
    upstream.steps = [upstream.run(copies=1), send(then="silent")]
    instance = harness.directory.instances["i-1"]
    assert harness.call(call_id="c-0")[0] == 200
    heard_at, answered_at = instance.last_received_at, instance.answered_at
    assert harness.call(call_id="c-1")[0] == 504
    assert instance.last_received_at == heard_at
    assert instance.answered_at == answered_at


REPLIES = st.tuples(
    st.sampled_from(["503", "429", "run"]),
    st.integers(min_value=0, max_value=2),
    st.booleans(),
)


@settings(max_examples=40, deadline=None)
@given(replies=st.lists(REPLIES, min_size=1, max_size=9))
def test_requests_run_once_among_second_answers(replies):
    """Guards against runs and refusals that second answers make untrue.

    Whatever the instance answers and repeats: a request runs at most once, one
    that is refused did not run, and an answer is its request's own.
    """
    upstream = DuplicatingUpstream()
    harness = GatewayHarness([route(Repeat.ONCE)], [upstream])
    builds = {"503": refusal, "429": too_many}
    upstream.steps = [
        upstream.run(lambda i: ok(i, b"of " + i), copies, named)
        if kind == "run"
        else upstream.refuse(builds[kind], copies, named)
        for kind, copies, named in replies
    ]
    upstream.steps += [upstream.run(lambda i: ok(i, b"of " + i))] * 9
    try:
        for number in range(3):
            call_id = f"c-{number}"
            status, _, body = harness.call(call_id=call_id)
            ran = upstream.ran.count(call_id)
            assert (status, ran) in [(200, 1), (429, 0), (503, 0)]
            assert status != 200 or body == b"of " + call_id.encode()
    finally:
        harness.close()
        upstream.close()
