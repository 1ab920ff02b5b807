"""Tests of choosing an upstream instance by load."""

import random
import time
from collections import Counter

import pytest

from lacewingdock.components.upstreams import instance
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.world.backend import UpstreamEntry

NOTHING = 0.0


class Clock:
    """Replaces the monotonic clock by a time that the test sets."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)


@pytest.fixture
def clock(monkeypatch):
    return Clock(monkeypatch)


def chooser(**domains):
    """Return a chooser in domain "a" over instances by name."""
    found = Directory()
    for name, domain in domains.items():
        found.apply(UpstreamEntry(name, "svc", "h", 1, domain, "v1", 4))
    return Chooser(found, "a", random.Random(3))


def choose(found, count=1, unread=NOTHING, tried=()):
    return Counter(
        found.choose("svc", lambda _: True, unread, tried).entry.id
        for _ in range(count)
    )


def test_least_running(clock):
    found = chooser(x="a", y="a", z="a")
    assert choose(found, 30) == {"x": 10, "y": 10, "z": 10}


def test_own_failure_domain_goes_first_between_equals(clock):
    assert choose(chooser(x="b", y="a"), 1) == {"y": 1}


def test_unread_prompts_count(clock):
    found = chooser(x="a", y="a")
    first = found.choose("svc", lambda _: True, 12.0)
    others = choose(found, 8)
    assert others[first.entry.id] == 0
    found.began(first, 12.0)
    assert found.directory.instances[first.entry.id].unread == 0


def test_failing_instance_is_passed_over_and_tried_again(clock):
    found = chooser(x="a", y="a")
    bad = found.directory.instances["x"]
    for _ in range(3):
        bad.failed(1.0)
    assert choose(found, 10) == {"y": 10}
    clock.now += instance.TRIAL_AFTER_S
    found.directory.instances["y"].running = 50
    assert choose(found, 3) == {"x": 1, "y": 2}


def test_all_failing_are_never_all_given_up(clock):
    found = chooser(x="a", y="a")
    for one in found.directory.instances.values():
        for _ in range(5):
            one.failed(1.0)
    assert sum(choose(found, 10).values()) == 10


def test_instance_that_was_tried_is_taken_last(clock):
    found = chooser(x="a", y="a")
    assert choose(found, 4, tried=["x"]) == {"y": 4}
    assert sum(choose(found, 4, tried=["x", "y"]).values()) == 4


@pytest.mark.parametrize("leaving", [True, False])
def test_leaving_and_gone_instances_get_nothing(clock, leaving):
    found = chooser(x="a", y="a")
    if leaving:
        entry = UpstreamEntry("x", "svc", "h", 1, "a", "v1", 4, leaving=True)
        found.directory.apply(entry)
    else:
        found.directory.remove("x", doubtful=False)
    assert choose(found, 5) == {"y": 5}
    found.directory.remove("y", doubtful=False)
    assert found.choose("svc", lambda _: True, NOTHING) is None
