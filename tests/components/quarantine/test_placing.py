"""Tests for the placement of requests and suspects, with fakes."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.quarantine import fingerprint_of
from lacewingdock.components.quarantine.placement import (
    Placement,
    choose_isolated,
)
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.links.messages import Attempt, Status
from tests.components.quarantine.common import upstream

CHECKED = settings(derandomize=True, deadline=None)
NAMES = [f"worker-{i}" for i in range(8)]


def attempt(**changes):
    values = {
        "workspace": "retail",
        "target": "v",
        "method": "POST",
        "path": "/",
        "body": b'{"a": 1, "b": [2]}',
        **changes,
    }
    return Attempt(attempt="a", request="r", **values)


@pytest.mark.parametrize(
    ("changes", "same"),
    [
        ({"body": b'{"b":[2],"a":1}'}, True),
        ({"body": b'{"a": 1, "b": [2], "stream": true}'}, True),
        ({"body": b'{"a": 1, "b": [2], "user": "x"}'}, True),
        ({"key": "k", "priority": 0, "revision": 9}, True),
        ({"body": b'{"a": 1, "b": [3]}'}, False),
        ({"body": b"not json"}, False),
        ({"workspace": "notes"}, False),
        ({"target": "v2"}, False),
        ({"path": "/x"}, False),
    ],
)
def test_fingerprint(changes, same):
    equal = fingerprint_of(attempt(**changes)) == fingerprint_of(attempt())
    assert equal is same


@CHECKED
@given(
    st.text(min_size=1, max_size=8),
    st.lists(st.sampled_from(NAMES), min_size=1, unique=True),
    st.randoms(),
)
def test_entries_agree_on_the_upstream(fingerprint, names, rng):
    """Copies come through entries with independent random numbers."""
    shuffled = rng.sample(names, len(names))
    chosen = {
        Placement()
        .choose(fingerprint, [upstream(n) for n in order], (), rng)
        .name
        for order in (names, shuffled)
    }
    isolated = {
        choose_isolated(fingerprint, [upstream(n) for n in order], (), ()).name
        for order in (names, shuffled)
    }
    assert len(chosen) == len(isolated) == 1


@CHECKED
@given(
    st.lists(st.sampled_from(NAMES), min_size=2, unique=True),
    st.data(),
)
def test_a_suspect_avoids_what_crashed_under_it(names, data):
    crashed = data.draw(
        st.lists(st.sampled_from(names), max_size=len(names) - 1, unique=True)
    )
    candidates = [upstream(n) for n in names]
    assert choose_isolated("f", candidates, (), crashed).name not in crashed


def test_isolation_leaves_upstreams_to_the_others():
    candidates = [upstream(n) for n in NAMES]
    hosts = {
        choose_isolated(f"f{i}", candidates, (), ()).name for i in range(200)
    }
    assert len(hosts) == len(NAMES) // 2


@pytest.mark.parametrize(
    ("opened", "succeeded", "loaded", "stays"),
    [
        (False, False, False, True),
        (False, False, True, False),
        # While a copy is pending there, load does not matter.
        (True, False, True, True),
        (True, True, True, False),
    ],
)
def test_when_a_copy_goes_to_the_same_upstream(
    opened, succeeded, loaded, stays
):
    placement, rng = Placement(), random.Random(1)
    candidates = [upstream(n) for n in NAMES]
    first = placement.choose("f", candidates, (), rng)
    if opened:
        placement.attempt_started("f", first.name)
    if succeeded:
        placement.record_success("f")
    if loaded:
        first.update_load(Status(["v"], 10, 5, 10))
    again = {placement.choose("f", candidates, (), rng).name for _ in range(20)}
    assert (again == {first.name}) is stays


def test_open_copies_are_forgotten_at_their_end():
    placement = Placement()
    placement.attempt_started("f", "worker-0")
    placement.attempt_started("f", "worker-0")
    placement.attempt_ended("f", "worker-0")
    assert placement.pending
    placement.attempt_ended("f", "worker-0")
    placement.attempt_ended("f", "worker-0")
    assert not placement.pending


def test_no_upstream_is_a_refusal():
    with pytest.raises(LacewingdockError):
        choose_isolated("f", [], (), ())
