"""Tests for the callers' interface of a running entry."""

import openai
import pytest

from bench.deployment import Deployment, Shape
from bench.example import RETAIL_KEY, apply_example
from standins.engine import expected_words
from tests.common import ask, book, chat

PROMPT = "a sofa to Cluj"
CHAT = "/v1/chat/completions"


@pytest.fixture(scope="module")
def deployment():
    # Symptom: an instance started in an outage never serves.
    # Sequence: the platform is down when the daemons start, and comes back.
    # Cause: a daemon that asks for its configuration once, at start.
    running = Deployment(Shape())
    try:
        for name in ("platform", "ratings"):
            process = running.run_module(name, f"standins.{name}", ["port"])
            running.wait_port(process)
        running.processes["platform"].kill()
        running.add_worker(0)
        running.add_booking_worker(0)
        running.wait_port(running.add_entry(0))
        early = chat(running, PROMPT)
        assert (early.status, early.json()["code"]) == (503, "not_ready")
        assert early.headers["retry-after"] == "1"
        running.wait_port(running.restart("platform"))
        running.publish()
        apply_example(running)
        yield running
    finally:
        running.stop()


@pytest.fixture
def client(deployment):
    url = deployment.processes["entry-0"].url() + "/v1"
    with openai.OpenAI(
        base_url=url, api_key=RETAIL_KEY, max_retries=0
    ) as found:
        yield found


def messages():
    return [{"role": "user", "content": PROMPT}]


def test_openai_client_whole(client):
    answer = client.chat.completions.create(
        model="drafter", messages=messages(), max_tokens=8
    )
    (choice,) = answer.choices
    assert choice.message.content == expected_words(
        "drafter-1", PROMPT, 8, True
    )
    assert choice.finish_reason == "stop"
    assert answer.usage.completion_tokens == 8


def test_openai_client_streams(client):
    with client.chat.completions.create(
        model="drafter", messages=messages(), max_tokens=8, stream=True
    ) as stream:
        events = list(stream)
    text = "".join(c.delta.content or "" for e in events for c in e.choices)
    assert text == expected_words("drafter-1", PROMPT, 8, True)
    assert events[-1].choices[0].finish_reason == "stop"


def test_openai_client_lists_models_and_reads_errors(client):
    names = {model.id for model in client.models.list()}
    assert names >= {"drafter", "planner", "route-day", "drafter-1"}
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(model="none", messages=messages())
    assert caught.value.code == "unknown_model"


BOOKING = "/services/booking"


@pytest.mark.parametrize(
    ("path", "body", "options", "status", "code"),
    [
        (CHAT, b"{", {}, 400, "bad_request"),
        (CHAT, b"[]", {}, 400, "bad_request"),
        (CHAT, b"\xff\xfe", {}, 400, "bad_request"),
        (CHAT, {"messages": []}, {}, 400, "bad_request"),
        (CHAT, {"model": 3, "messages": []}, {}, 400, "bad_request"),
        (CHAT, {"model": "drafter", "messages": "x"}, {}, 400, "bad_request"),
        (CHAT, {"model": "none", "messages": []}, {}, 404, "unknown_model"),
        (CHAT, b"x" * 2_000_000, {}, 413, "body_too_large"),
        (CHAT, {}, {"key": "wrong"}, 401, "unauthorized"),
        (CHAT, None, {"method": "GET"}, 404, "not_found"),
        (f"{BOOKING}/none", {}, {}, 404, "unknown_service"),
        ("/services/none/x", {}, {}, 404, "unknown_service"),
        (f"{BOOKING}/slots/confirm", {}, {}, 400, "key_required"),
    ],
)
def test_bad_input_is_coded_and_not_run(
    deployment, path, body, options, status, code
):
    reply = ask(deployment, path, body, **options)
    assert (reply.status, reply.json()["code"]) == (status, code)
    assert reply.json()["ran"] == "no"
    assert reply.headers["content-type"] == "application/problem+json"


@pytest.mark.parametrize(
    ("name", "value", "code"),
    [
        ("Lacewingdock-Timeout", "soon", "bad_request"),
        ("Lacewingdock-Timeout", "nan", "bad_request"),
        ("Lacewingdock-Timeout", "-1", "bad_request"),
        ("Lacewingdock-Timeout", "1e9", "bad_request"),
        ("Lacewingdock-Timeout", "0.0001", "deadline"),
        ("Idempotency-Key", "k" * 256, "bad_request"),
        ("Last-Event-ID", "nonsense", "bad_request"),
    ],
)
def test_bad_headers_are_coded(deployment, name, value, code):
    reply = chat(deployment, PROMPT, headers={name: value})
    assert reply.json()["code"] == code


def test_key_with_another_body_is_refused(deployment):
    assert book(deployment, "slot-a", "same-key").status == 200
    reply = book(deployment, "slot-b", "same-key")
    assert (reply.status, reply.json()["code"]) == (422, "key_reused")


def test_deadline_ends_an_answer(deployment):
    reply = chat(
        deployment,
        PROMPT,
        tokens=400,
        headers={"Lacewingdock-Timeout": "0.3"},
    )
    assert (reply.status, reply.json()["code"]) == (504, "deadline")


def test_daemon_whose_port_is_taken_says_so(deployment):
    running = deployment.processes["entry-0"]
    second = deployment.restart("entry-0")
    deployment.processes["entry-0"] = running
    assert second.popen.wait(15) == 3
    assert "port_taken" in deployment.log(second)
