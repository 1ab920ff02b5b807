"""Tests of the simulated engine."""

import pytest
import simpy

from lacewingdock.lab.deployment import Engines, Model
from lacewingdock.lab.engine import Engine, EngineRun

LARGE = Model("large", pace=1.0)


def engine(**changes):
    """Return an environment and an engine that reads 100 tokens in a ms."""
    fields = {
        "per_domain": 1,
        "slots": 2,
        "queue": 2,
        "step_ms": 10.0,
        "step_ms_per_running": 0.0,
        "read_tokens_per_ms": 100.0,
        "chunk_tokens": 1000,
        "event_tokens": 5,
        "models": [LARGE],
        **changes,
    }
    env = simpy.Environment()
    return env, Engine(env, Engines(**fields), "e", 0.0)


def run(env, call="c", *, own=1000, remaining=20, shared=0, priority=1):
    """Return a run of a request, not yet submitted."""
    return EngineRun(
        call,
        LARGE,
        "s",
        shared,
        own,
        remaining,
        priority,
        env.event(),
        env.event(),
    )


def run_times(env, one):
    """Return the times of a run's first event and end."""
    found = []
    for event in (one.began, one.ended):
        event.callbacks.append(lambda _: found.append(round(env.now, 3)))
    env.run(60.0)
    return found


@pytest.mark.parametrize(
    ("own", "remaining", "began", "ended"),
    [
        # A step of 10 ms reads 1,000 tokens; each further one generates one.
        (1000, 20, 0.07, 0.22),
        (3000, 20, 0.11, 0.26),
        # An answer shorter than an event ends with its first event.
        (1000, 3, 0.05, 0.05),
    ],
)
def test_times_of_a_single_request(own, remaining, began, ended):
    env, one = engine()
    request = run(env, own=own, remaining=remaining)
    assert one.submit(request)
    assert run_times(env, request) == pytest.approx([began, ended], abs=0.011)


def test_shared_prefix_is_read_once():
    env, one = engine()
    first, second = run(env, shared=8000), run(env, shared=8000)
    one.submit(first)
    env.run(5.0)
    one.submit(second)
    assert (first.unread, second.unread) == (0, 1000)


def test_slots_queue_and_priorities():
    env, one = engine()
    late = run(env, "late", priority=5)
    found = [run(env, str(n)) for n in range(2)]
    assert [one.submit(each) for each in found] == [True, True]
    env.run(0.05)
    urgent = run(env, "urgent", priority=0)
    assert one.submit(late) and one.submit(urgent)
    assert not one.submit(run(env, "refused"))
    assert len(one.running) == 2
    assert [each.call for each in one.waiting] == ["urgent", "late"]
    env.run(20.0)
    assert not one.running and not one.waiting


def test_running_requests_fit_into_memory():
    env, one = engine(memory_tokens=2500, slots=8, queue=8)
    for number in range(4):
        one.submit(run(env, str(number), own=1000, remaining=100))
    env.run(0.2)
    assert sum(each.tokens for each in one.running) <= 2500
    assert len(one.waiting) == 2
    env.run(60.0)
    assert not one.waiting


def test_power_loss_ends_all_runs():
    env, one = engine()
    found = [run(env, str(n)) for n in range(2)]
    for each in found:
        one.submit(each)
    env.run(0.03)
    found.append(run(env, "waits"))
    one.submit(found[-1])
    one.lose_power()
    env.run(1.0)
    assert [each.ended.value for each in found] == [False] * 3
