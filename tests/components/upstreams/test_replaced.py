"""Tests of instances at whose addresses others start."""

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
    """Return the ids of the instances that take requests."""
    return {one.entry.id for one in directory.of_service("svc") if one.open}


def told(*entries):
    """Return a directory that was told of entries, in turn."""
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
        # Another address, or another service, says nothing of it.
        ([OLD, entry("new", ("10.0.0.2", 80), created=9)], {"old", "new"}),
        ([OLD, entry("new", created=9, service="other")], {"old"}),
        # Where instances say when they started, that goes first.
        ([entry("old", created=9, born=1), entry("new", born=2)], {"new"}),
        # Of two that say nothing either may be the later one.
        ([entry("old"), entry("new")], {"old", "new"}),
        # It moved on to an address of its own.
        ([OLD, NEW, entry("old", ("10.0.0.2", 80), created=5)], {"old", "new"}),
    ],
)
def test_later_entry_at_an_address_counts(entries, open_now):
    """Symptom: of 1,500 requests after a loss of power 1,025 are turned away.

    Sequence: engines lose power and start again at their addresses under new
    ids. Cause: the entries of their earlier starts stay for some heartbeats,
    and requests went by them.
    """
    assert open_ids(told(*entries)) == open_now


@pytest.mark.parametrize("order", [[OLD, NEW], [NEW, OLD]])
def test_start_that_another_answers_for_is_gone_for_good(order):
    """Symptom: the same dead start is tried 40 times.

    Sequence: a request to it is answered by another instance, as not run; its
    entry is written late once more. Cause: the answer was one failure among
    others, which is forgotten.
    """
    found = told(*order)
    dead = found.instances["old"]
    found.mark_replaced(dead, "new")
    found.apply(OLD)
    assert not dead.open
    assert open_ids(found) == {"new"}
    assert (found.replaced_seen, found.replaced_told) == (1, 0)
    # Known already.
    found.mark_replaced(dead, "new")
    assert found.replaced_seen == 1


def test_late_word_of_an_earlier_start_does_not_hide_the_later():
    """Symptom: an instance that lives gets nothing.

    Sequence: the entry of an earlier start was removed and is written late,
    so it is the newer one at the address. Cause: the newer entry counts until
    a request shows who answers there.
    """
    found = told(NEW, entry("old", created=12))
    assert open_ids(found) == {"old"}
    found.mark_replaced(found.instances["old"], "new")
    assert open_ids(found) == {"new"}


def test_replaced_start_may_come_at_another_address():
    found = told(OLD)
    found.mark_replaced(found.instances["old"], "x")
    assert open_ids(found) == set()
    found.apply(entry("old", ("10.0.0.2", 80), created=5))
    assert open_ids(found) == {"old"}


def test_others_are_told():
    """Symptom: each of 28 routers meets each of 26 dead starts.

    Cause: what one found out the others had to find out again.
    """
    first, second = told(OLD), told(OLD)
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
    found = told(OLD, entry("other", ("10.0.0.2", 80)))
    chooser = Chooser(found, "a", random.Random(1))
    chooser.replaced(found.instances["old"], "x")
    chosen = {
        chooser.choose("svc", lambda _: True, 0.0).entry.id for _ in range(20)
    }
    assert chosen == {"other"}
