"""Tests for the log lines and metrics of a whole deployment."""

import json

import pytest

from bench.deployment import LINK_KEYS, SESSION_KEYS, Deployment, Shape
from bench.http import call
from tests.common import RETAIL_KEY, apply_example, book, chat


@pytest.fixture(scope="module")
def deployment():
    with Deployment(Shape()) as running:
        apply_example(running)
        yield running


def lines(deployment, name):
    """Return a daemon's log as decoded lines; each one must be JSON."""
    text = (deployment.folder / f"{name}.log").read_text()
    return [json.loads(line) for line in text.splitlines()]


def test_a_request_can_be_followed_through_both_logs(deployment):
    reply = chat(deployment, "a sofa", stream=True, tokens=6)
    request = reply.headers["lacewingdock-request-id"]
    (entry,) = [
        line
        for line in lines(deployment, "entry-0")
        if line.get("request_id") == request and line["message"] == "request"
    ]
    (sidecar,) = [
        line
        for line in lines(deployment, "worker-0")
        if line.get("request_id") == request
    ]
    assert entry["attempt_id"] == sidecar["attempt_id"]
    for name in ("workspace", "version"):
        assert entry[name] == sidecar[name] != ""
    assert (entry["end"], entry["output_tokens"]) == ("whole", 6)
    assert entry["upstream"] == sidecar["instance"] == "worker-0"
    assert entry["upstream_domain"] == sidecar["failure_domain"]
    assert 0 < entry["first_token_s"] <= entry["duration_s"]


def test_no_secret_reaches_logs_or_metrics(deployment):
    bad = "a-bearer-key-that-nobody-has"
    reply = chat(deployment, "x", headers={"Authorization": f"Bearer {bad}"})
    assert reply.status == 401
    token = chat(deployment, "y").headers["lacewingdock-session"]
    assert chat(deployment, "z", headers={"Lacewingdock-Session": token + "A"})
    book(deployment, "slot-secret", "key-secret")
    secrets = [RETAIL_KEY, bad, token]
    secrets += [k.split()[1] for k in (LINK_KEYS, SESSION_KEYS)]
    for process in deployment.daemons():
        log = (deployment.folder / f"{process.name}.log").read_text()
        shown = call(
            "GET", f"{process.url('admin_port')}/metrics"
        ).body.decode()
        for secret in secrets:
            assert secret not in log
            assert secret not in shown


def test_metrics_of_both_daemons(deployment):
    chat(deployment, "a bed", stream=True)
    shown = {
        name: call("GET", f"{process.url('admin_port')}/metrics").body.decode()
        for name, process in deployment.processes.items()
        if "admin_port" in process.ports
    }
    for name, wanted in {
        "entry-0": [
            'requests_total{code="",end="whole",kind="chat",workspace="retail"}',
            'first_token_seconds_count{version="drafter-1",workspace="retail"}',
            'platform_calls_total{purpose="instances"}',
            "links_open 2.0",
            "answers_reattached_total 0.0",
        ],
        "worker-0": [
            'attempts_total{kind="model",outcome="whole"}',
            'build_info{role="sidecar"',
            "queued 0.0",
        ],
    }.items():
        for text in wanted:
            assert f"\nlacewingdock_{text}" in shown[name], text
