"""Tests for the request metrics of an entry at the WSGI boundary."""

import types

import pytest
from prometheus_client import CollectorRegistry

from lacewingdock.components.answers.answer import Answer
from lacewingdock.components.metrics.entry import EntryMetrics
from lacewingdock.helpers.tally import Tally
from lacewingdock.links.messages import Attempt, Finish
from lacewingdock.world.objects import Instance
from lacewingdock.world.upstream import Upstream

EVENTS = [b"id: x/0\ndata: {}\n\n", b"id: x/1\ndata: {}\n\ndata: [DONE]\n\n"]
STREAM = ("200 OK", "text/event-stream", EVENTS)
CUT = (
    "200 OK",
    "text/event-stream",
    [EVENTS[0], b'event: error\ndata: {"code":"deadline","ran":"yes"}\n\n'],
)
REFUSED = (
    "403 Forbidden",
    "application/problem+json",
    [b'{"code":"model_not_allowed","ran":"no"}'],
)
MALFORMED = ("500 X", "application/problem+json", [b"["])


def serve(answer, read):
    """Serve one request through the metrics; return the registry."""
    status, media, body = answer
    answers = types.SimpleNamespace(on_ask=[], open={}, reattached=Tally())
    daemon = types.SimpleNamespace(metrics=CollectorRegistry())
    metrics = EntryMetrics(daemon, answers)
    upstream = Upstream(
        Instance(
            name="w",
            role="sidecar",
            failure_domain="d",
            address="127.0.0.1:1",
        )
    )
    request_body = Answer(
        upstream, Attempt("a", "r1", "retail", "v1", "", "", b"")
    )
    request_body.next_offset = 2
    request_body.finish = Finish("a", 2, input_tokens=3, output_tokens=2)
    for callback in answers.on_ask:
        callback(request_body)

    def app(environ, start_response):
        environ["lacewingdock.workspace"] = "retail"
        headers = [
            ("Content-Type", media),
            ("Lacewingdock-Request-Id", "r1"),
            ("Lacewingdock-Version", "v1"),
        ]
        start_response(status, headers)
        return body

    path = {"PATH_INFO": "/v1/chat/completions"}
    served = metrics.observe(app)(path, lambda *_: None)
    sent = [piece for piece, _ in zip(served, range(read), strict=False)]
    served.close()
    assert sent == body[:read]
    assert not metrics.open
    return daemon.metrics


@pytest.mark.parametrize(
    ("answer", "read", "end", "code", "gaps"),
    [
        (STREAM, 9, "whole", "", 1),
        (STREAM, 1, "gone", "", 0),
        (STREAM, 0, "gone", "", 0),
        (CUT, 9, "cut", "deadline", 1),
        (REFUSED, 9, "refused", "model_not_allowed", 0),
        (MALFORMED, 9, "refused", "internal", 0),
    ],
)
def test_a_request_is_counted_once_by_its_end(answer, read, end, code, gaps):
    registry = serve(answer, read)
    labels = {"workspace": "retail", "kind": "chat", "end": end, "code": code}
    name = "lacewingdock_requests_total"
    assert registry.get_sample_value(name, labels) == 1
    assert sum(_values(registry, name)) == 1
    counts = "lacewingdock_inter_token_seconds_count"
    assert sum(_values(registry, counts)) == gaps


def _values(registry, name):
    return [
        sample.value
        for family in registry.collect()
        for sample in family.samples
        if sample.name == name
    ]
