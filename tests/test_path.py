"""Tests for the whole path through separate processes."""

import json

import pytest

from bench.deployment import Deployment, Shape
from bench.example import NOTES_KEY, apply_example
from standins.engine import expected_words
from tests.common import book, bookings, chat


@pytest.fixture(scope="module")
def deployment():
    with Deployment(Shape()) as running:
        apply_example(running)
        yield running


def test_chat_whole(deployment):
    reply = chat(deployment, "a sofa to Cluj", tokens=8)
    assert reply.status == 200, reply.body
    text = reply.json()["choices"][0]["message"]["content"]
    assert text == expected_words("drafter-1", "a sofa to Cluj", 8, True)


def test_chat_streams_every_event_once(deployment):
    reply = chat(deployment, "wardrobe", stream=True, tokens=12)
    events = [
        line.removeprefix("data: ")
        for line in reply.body.decode().splitlines()
        if line.startswith("data: ")
    ]
    assert events[-1] == "[DONE]"
    deltas = [json.loads(e)["choices"][0]["delta"] for e in events[:-1]]
    text = "".join(d.get("content", "") for d in deltas)
    assert text == expected_words("drafter-1", "wardrobe", 12, True)


def test_cascade_escalates_only_where_the_cheap_answer_is_poor(deployment):
    easy = chat(deployment, "easy plan", "route-day")
    hard = chat(deployment, "hard plan", "route-day")
    assert easy.headers["lacewingdock-version"] == "drafter-1"
    assert hard.headers["lacewingdock-version"] == "planner-1"


def test_booking_lands_once_however_often_it_is_sent(deployment):
    replies = [book(deployment, "slot-1", "key-1") for _ in range(3)]
    assert {r.status for r in replies} == {200}, replies
    assert len({r.body for r in replies}) == 1
    made = [b for b in bookings(deployment) if b["slot"] == "slot-1"]
    assert len(made) == 1


@pytest.mark.parametrize(
    ("arguments", "status", "code"),
    [
        ({"key": "no-such-key"}, 401, "unauthorized"),
        ({"key": NOTES_KEY, "model": "planner"}, 403, "model_not_allowed"),
        ({"model": "no-such-model"}, 404, "unknown_model"),
        ({"headers": {"Lacewingdock-Priority": "x"}}, 400, "bad_request"),
        ({"headers": {"Lacewingdock-Session": "x.y"}}, 400, "bad_token"),
    ],
)
def test_refusals_are_coded_and_not_run(deployment, arguments, status, code):
    reply = chat(deployment, "anything", **arguments)
    assert (reply.status, reply.json()["code"]) == (status, code)
    assert reply.json()["ran"] == "no"
