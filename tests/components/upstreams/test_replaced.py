"""Tests of instances replaced by others at the same address."""

import random

import pytest

from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import (
    MAX_REPLACED,
    Directory,
)
from lacewingdock.components.upstreams.instance import mark_of
from tests.components.upstreams import entries

PLACE = ("10.0.0.1", 80)


def entry(name, place=PLACE, **changes):
    """Return the entry of an instance at an address."""
    return entries.entry(name, host=place[0], port=place[1], **changes)


def open_ids(directory):
    """Return the ids of the open instances."""
    return {one.entry.id for one in directory.of_service("svc") if one.open}


def directory_of(*entries):
    """Return a directory after some entries, applied in order."""
    found = Directory()
    for one in entries:
        found.apply(one)
    return found


OLD, NEW = entry("old", created=5), entry("new", created=9)


@pytest.mark.parametrize(
    ("entries", "open_now"),
    [
        ([OLD, NEW], {"new"}),
        ([NEW, OLD], {"new"}),
        # Another address or another service replaces nothing.
        ([OLD, entry("new", ("10.0.0.2", 80), created=9)], {"old", "new"}),
        ([OLD, entry("new", created=9, service="other")], {"old"}),
        # The times of the starts decide where the entries name them.
        ([entry("old", created=9, born=1), entry("new", born=2)], {"new"}),
        # Without times, either entry may be the later one.
        ([entry("old"), entry("new")], {"old", "new"}),
        # The older instance moved to an address of its own.
        ([OLD, NEW, entry("old", ("10.0.0.2", 80), created=5)], {"old", "new"}),
    ],
)
def test_later_entry_at_an_address_counts(entries, open_now):
    """Guards against: 1,025 of 1,500 requests rejected after a power loss.

    Engines lose power and start again at their addresses under new ids. The
    entries of their earlier starts stay for some heartbeats, and requests
    were sent to those entries.
    """
    assert open_ids(directory_of(*entries)) == open_now


@pytest.mark.parametrize("order", [[OLD, NEW], [NEW, OLD]])
def test_start_at_whose_address_another_answers_is_removed_for_good(order):
    """Guards against: 40 requests to the same dead start.

    Another instance answers a request to it as not run, and its entry is
    written once more, late. The answer counted as an ordinary failure, which
    decays.
    """
    found = directory_of(*order)
    dead = found.instances["old"]
    found.mark_replaced(dead, "new")
    found.apply(OLD)
    assert not dead.open
    assert open_ids(found) == {"new"}
    assert (found.replaced_seen, found.replaced_told) == (1, 0)
    # A second report of the same start changes nothing.
    found.mark_replaced(dead, "new")
    assert found.replaced_seen == 1


def test_late_entry_of_an_earlier_start_does_not_hide_the_later():
    """Guards against: a running instance that gets no requests.

    The entry of an earlier start was removed and is written again, late, so it
    is the newer entry at the address. The newer entry counts until a request
    shows which instance answers there.
    """
    found = directory_of(NEW, entry("old", created=12))
    assert open_ids(found) == {"old"}
    found.mark_replaced(found.instances["old"], "new")
    assert open_ids(found) == {"new"}


def test_replaced_start_may_come_at_another_address():
    found = directory_of(OLD)
    found.mark_replaced(found.instances["old"], "x")
    assert open_ids(found) == set()
    found.apply(entry("old", ("10.0.0.2", 80), created=5))
    assert open_ids(found) == {"old"}


def test_replaced_start_is_announced_to_other_routers():
    """Guards against: each of 28 routers tries each of 26 dead starts.

    Without announcements every router had to find each dead start itself.
    """
    first, second = directory_of(OLD), directory_of(OLD)
    first.mark_replaced(first.instances["old"], "x")
    assert first.recently_replaced() == [mark_of("old")]
    second.apply_peer_replacements(first.recently_replaced(), "r-1")
    second.apply_peer_replacements([12345], "r-1")
    assert open_ids(second) == set()
    assert (second.replaced_seen, second.replaced_told) == (0, 1)


def test_memory_is_bounded():
    found = Directory()
    for number in range(MAX_REPLACED + 10):
        found.apply(entry(f"i-{number}"))
        found.mark_replaced(found.instances[f"i-{number}"], "x")
    assert len(found.replaced) == MAX_REPLACED


def test_choice_does_not_go_back():
    found = directory_of(OLD, entry("other", ("10.0.0.2", 80)))
    chooser = Chooser(found, "a", random.Random(1))
    chooser.replaced(found.instances["old"], "x")
    chosen = {
        chooser.choose("svc", lambda _: True, 0.0).entry.id for _ in range(20)
    }
    assert chosen == {"other"}
