"""Tests for the log lines and metrics of a whole deployment."""

import json

import pytest

from bench.deployment import (
    LINK_KEYS,
    SESSION_KEYS,
    Deployment,
    Shape,
    wait_until,
)
from bench.example import RETAIL_KEY, apply_example
from bench.http import call
from lacewingdock.components.reports import report
from lacewingdock.components.reports.samples import load_samples
from lacewingdock.settings import ReportSettings
from tests.common import book, chat


@pytest.fixture(scope="module")
def deployment():
    with Deployment(Shape(entry_flags=["--rated_share=1"])) as running:
        apply_example(running)
        yield running


def read_log_line(deployment, name, request):
    """Return the single log line of a daemon for a finished request."""

    def found():
        # Each line must be JSON; the last line may be incomplete.
        text = (deployment.folder / f"{name}.log").read_text()
        whole = map(json.loads, text.rpartition("\n")[0].splitlines())
        return [
            line
            for line in whole
            if line.get("request_id") == request
            and line["logger"] in ("request", "attempt")
        ]

    # The caller receives the answer before the line is written.
    wait_until(lambda: bool(found()), f"{name} did not log {request}")
    (line,) = found()
    return line


def test_a_request_can_be_followed_through_both_logs(deployment):
    reply = chat(deployment, "a sofa", stream=True, tokens=6)
    request = reply.headers["lacewingdock-request-id"]
    entry = read_log_line(deployment, "entry-0", request)
    sidecar = read_log_line(deployment, "worker-0", request)
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
        metrics_text = call(
            "GET", f"{process.url('admin_port')}/metrics"
        ).body.decode()
        for secret in secrets:
            assert secret not in log
            assert secret not in metrics_text


def test_metrics_of_both_daemons(deployment):
    chat(deployment, "a bed", stream=True)
    metrics_text = {
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
            assert f"\nlacewingdock_{text}" in metrics_text[name], text


@pytest.mark.parametrize(
    ("prompt", "verdict", "stream"),
    [("a shelf", "good", True), ("a hard shelf", "poor", False)],
)
def test_given_answers_are_rated_afterwards(
    deployment, prompt, verdict, stream
):
    name = (
        "lacewingdock_rated_answers_total"
        f'{{verdict="{verdict}",version="drafter-1",workspace="retail"}}'
    )
    entry = deployment.processes["entry-0"]
    before = deployment.metric(entry, name)
    chat(deployment, prompt, stream=stream)
    wait_until(lambda: deployment.metric(entry, name) == before + 1, name)


def test_report_reads_the_daemons_of_the_platforms_list(deployment, tmp_path):
    chat(deployment, "a chair", stream=True)
    output = []
    url = deployment.processes["platform"].url()
    settings = ReportSettings(
        platform=url,
        json=True,
        samples=str(tmp_path / "samples"),
        html=str(tmp_path / "page.html"),
    )
    report(settings, output.append)
    result = json.loads(output[0])
    assert result["unreachable"] == {}
    available = result["objectives"][0]
    assert available["measure"] == "availability"
    assert available["windows"][-1]["good"] >= 1
    assert len(load_samples(settings.samples)) == len(deployment.daemons())
    assert "<svg" in (tmp_path / "page.html").read_text()
