"""Tests of how sure a smaller model must be of its answer."""

import time

import pytest

from lacewingdock.components.gateway.sizing import (
    ANY_FROM,
    CONFIDENCE_ENOUGH,
    Pressure,
)
from lacewingdock.world.route import Repeat
from tests.components.gateway.fakes import (
    END,
    Upstream,
    event,
    route,
    stream_head,
)


@pytest.fixture
def clock(monkeypatch):
    """A clock that moves when it is told to."""
    now = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])

    def move(seconds):
        now[0] += seconds

    return move


def test_without_load_the_full_confidence_is_asked(clock):
    assert Pressure().enough() == CONFIDENCE_ENOUGH


def test_a_crowd_that_waits_is_felt_before_its_answers_begin(clock):
    """Symptom: after a restart all that come at once go to the largest model.

    Sequence: 40 requests are sent within a moment; none is answered for two
    goals. Cause: only answers that had begun told how late they were.
    """
    pressure = Pressure()
    for number in range(40):
        pressure.wait(number, time.monotonic(), 2.0)
    assert pressure.enough() == CONFIDENCE_ENOUGH
    asked = []
    for _ in range(4):
        clock(0.25)
        asked.append(pressure.enough())
    assert asked == sorted(asked, reverse=True)
    assert asked[-1] == 0.0
    for number in range(40):
        pressure.begun(number)
    assert pressure.enough() == CONFIDENCE_ENOUGH
    assert pressure.waits == {}


def test_one_late_answer_does_not_speak_for_all(clock):
    pressure = Pressure()
    pressure.wait("late", time.monotonic(), 1.0)
    clock(0.5)
    assert pressure.enough() > CONFIDENCE_ENOUGH / 2


def test_expected_wait_is_that_of_a_steady_queue(clock):
    """Each waits one second: those that wait have waited half on average."""
    pressure = Pressure()
    for number in range(200):
        pressure.wait(number, time.monotonic(), 2.0)
        if number >= 50:
            pressure.begun(number - 50)
        clock(1 / 50)
    assert pressure.expected() == pytest.approx(0.5, abs=0.05)


@pytest.mark.parametrize("goal_s", [0.0, -1.0])
def test_goal_of_nothing_is_no_fault(clock, goal_s):
    pressure = Pressure()
    for number in range(10):
        pressure.wait(number, time.monotonic(), goal_s)
    clock(ANY_FROM)
    assert pressure.enough() == 0.0


def test_largest_models_waits_are_counted_until_their_answers_begin(staged):
    seen = []

    def slow(sock, call_id, _):
        seen.append(len(stage.gateway.pressure("svc").waits))
        sock.sendall(stream_head(call_id) + event(1))
        time.sleep(0.1)
        seen.append(len(stage.gateway.pressure("svc").waits))
        sock.sendall(END)

    models = ("small", "large")
    only = route(Repeat.ONCE, streaming=True, models=models)
    stage = staged([only], [Upstream(slow)])
    extra = "Model: *\r\nToken-Count: 10,10\r\n"
    status, _, body = stage.call(extra=extra)
    assert (status, body) == (200, b"id: 1\ndata: e1\n\n")
    assert seen == [1, 0]
