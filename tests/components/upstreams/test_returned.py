"""Tests of checking instances whose entries came back."""

import random

import pytest

from lacewingdock.components.upstreams.directory import EXPIRY_S, Directory
from lacewingdock.components.upstreams.entry_order import WRITE_DELAY_S
from lacewingdock.components.upstreams.returned import (
    RECHECK_S,
    SPREAD_PER_ROUTER_S,
    ReturnedInstances,
)
from tests.components.upstreams.entries import entry

UNRENEWED_S = 4.0
STEP_S = 0.1


class Clock:
    """A clock that a test sets."""

    time = 100.0

    def now(self):
        return self.time


def build(answers, routers=1, others=1):
    """Return a directory with an entry that came back, and its checks.

    Args:
        answers: Results of the checks, the last of which is repeated; an
            exception is raised.
        routers: Number of routers.
        others: Number of other instances of the service.
    """
    clock, asked = Clock(), []
    directory = Directory(clock)
    for number in range(others):
        directory.apply(entry(f"b-{number}", port=90 + number))
    directory.apply(entry("a"))
    directory.remove("a", doubtful=False)
    directory.apply(entry("a", sequence=9))

    def is_serving(_):
        asked.append(clock.time - 100.0)
        found = answers[min(len(asked), len(answers)) - 1]
        if isinstance(found, Exception):
            raise found
        return found

    checks = ReturnedInstances(
        directory,
        lambda: UNRENEWED_S,
        is_serving,
        lambda: routers,
        random.Random(1),
        clock,
    )
    return directory, checks, asked, clock


def run(checks, clock, seconds):
    """Make the checks that are due, step by step."""
    until = clock.time + seconds
    while clock.time < until:
        clock.time += STEP_S
        for due in checks.take_due():
            checks.check(due)
        checks.directory.apply_held()


@pytest.mark.parametrize(
    ("answers", "others", "asked_at", "used"),
    [
        ([True], 1, [UNRENEWED_S], True),
        ([False, True], 1, [UNRENEWED_S, UNRENEWED_S + RECHECK_S], True),
        ([False], 1, [UNRENEWED_S, UNRENEWED_S + RECHECK_S], False),
        ([OSError()], 1, [UNRENEWED_S, UNRENEWED_S + RECHECK_S], False),
        # Without another instance all requests are refused until then.
        ([True], 0, [0.0], True),
    ],
)
def test_when_an_instance_is_asked(answers, others, asked_at, used):
    """Guards against: an instance that left, or one out of use for long."""
    directory, checks, asked, clock = build(answers, others=others)
    run(checks, clock, UNRENEWED_S + 1.5 * RECHECK_S)
    assert asked == pytest.approx(asked_at, abs=2 * STEP_S)
    assert ("a" in directory.instances) is used


def test_instances_that_came_back_together_are_asked_at_once():
    """Guards against: a service that a third of its instances serves."""
    directory, checks, asked, clock = build([True])
    for number in range(2):
        name = f"c-{number}"
        directory.apply(entry(name, port=95 + number))
        directory.remove(name, doubtful=False)
        directory.apply(entry(name, port=95 + number, sequence=9))
    run(checks, clock, 3 * STEP_S)
    assert len(asked) == 3
    assert len(directory.instances) == 4


def test_entry_that_expires_again_is_not_asked_about():
    """Guards against: health checks of each instance that left."""
    directory, checks, asked, clock = build([True])
    run(checks, clock, UNRENEWED_S - 2 * STEP_S)
    directory.remove("a", doubtful=False)
    run(checks, clock, 10.0)
    assert asked == [] and not checks.due


def test_instance_that_tells_nothing_is_used_in_the_end():
    directory, checks, _, clock = build([False])
    run(checks, clock, WRITE_DELAY_S + EXPIRY_S + STEP_S)
    assert "a" in directory.instances


def test_checks_of_many_routers_are_spread():
    """Guards against: all routers that take a place of one instance at once."""
    routers, asked_at = 400, []
    for seed in range(50):
        _, checks, asked, clock = build([True], routers)
        checks.random = random.Random(seed)
        run(checks, clock, UNRENEWED_S + routers * SPREAD_PER_ROUTER_S + 1.0)
        asked_at += asked
    assert len(asked_at) == 50
    assert max(asked_at) - min(asked_at) > routers * SPREAD_PER_ROUTER_S / 2
