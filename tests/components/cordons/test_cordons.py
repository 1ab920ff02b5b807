"""Tests that nothing new goes to a cordoned failure domain."""

import random

import pytest

from lacewingdock.components.cordons import CordonListener
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.platform.history import revision_of
from lacewingdock.platform.objects import Change, Snapshot, StoredObject
from tests.components.upstreams import entries

EVERYTHING = {"a-1", "a-2", "b-1", "c-1"}


def entry(name, **changes):
    """Return the entry of an instance; its name begins with its domain's."""
    return entries.entry(name, **{"failure_domain": name[0], **changes})


def directory():
    """Return a directory of instances in three failure domains."""
    found = Directory()
    for name in sorted(EVERYTHING):
        found.take(entry(name))
    return found


def set_(listener, domain, revision=5):
    """Cordon a failure domain."""
    stored = StoredObject(domain, revision, {})
    listener.change(Change(stored, removed=False), doubtful=False)


def lift(listener, domain, revision=6):
    """Take a cordon back."""
    stored = StoredObject(domain, revision, {})
    listener.change(Change(stored, removed=True), doubtful=False)


def listed(listener, *domains):
    """Tell which cordons there are at all."""
    objects = {name: StoredObject(name, 5) for name in domains}
    listener.replace(Snapshot(9, objects), doubtful=True)


def open_ids(found):
    """Return the ids of the instances that take requests."""
    return {one.entry.id for one in found.of_service("svc") if one.open}


@pytest.mark.parametrize(
    ("steps", "open_now"),
    [
        ([], EVERYTHING),
        ([(set_, "a")], {"b-1", "c-1"}),
        ([(set_, "a"), (set_, "b")], {"c-1"}),
        ([(set_, "a"), (set_, "b"), (set_, "c")], set()),
        ([(set_, "a"), (lift, "a")], EVERYTHING),
        ([(set_, "a"), (set_, "b"), (lift, "a")], {"a-1", "a-2", "c-1"}),
        ([(listed, "a")], {"b-1", "c-1"}),
        # A list without it takes it back, also after an outage: nothing else
        # would, where the removal was missed.
        ([(set_, "a"), (listed,)], EVERYTHING),
        ([(set_, "x")], EVERYTHING),
        ([(lift, "x")], EVERYTHING),
    ],
)
def test_what_is_open(steps, open_now):
    found = directory()
    listener = CordonListener(found)
    for step, *domains in steps:
        step(listener, *domains)
    assert open_ids(found) == open_now


def test_what_is_in_the_object_says_nothing():
    """Symptom: work goes to a domain whose cordon can't be read.

    Cause: another writer's object was left out as faulty.
    """
    found = directory()
    listener = CordonListener(found)
    stored = StoredObject("a", 5)
    listener.change(Change(stored, removed=False), doubtful=False)
    assert open_ids(found) == {"b-1", "c-1"}


@pytest.mark.parametrize(
    "change",
    [
        # It starts there, starts again, moves there, is renewed, comes back
        # after an outage.
        lambda found: found.take(entry("a-9")),
        lambda found: found.take(entry("a-1", born=9)),
        lambda found: found.take(entry("b-1", failure_domain="a")),
        lambda found: found.take(entry("a-1", slots=9)),
        lambda found: [
            found.remove("a-1", doubtful=True),
            found.take(entry("a-1")),
        ],
    ],
)
def test_instances_that_come_meanwhile_get_nothing(change):
    found = directory()
    CordonListener(found).replace(
        Snapshot(9, {"a": StoredObject("a", 5)}), doubtful=False
    )
    change(found)
    domains = {
        one.entry.failure_domain for one in found.of_service("svc") if one.open
    }
    assert "a" not in domains


@pytest.mark.parametrize(
    "tried",
    [
        # First tries, repeats, larger models and resumed streams; the last
        # has been everywhere else.
        (),
        ("b-1",),
        ("b-1", "c-1"),
    ],
)
def test_no_choice_falls_on_it(tried):
    found = directory()
    set_(CordonListener(found), "a")
    for name in ("b-1", "c-1"):
        found.instances[name].running = 50
    chooser = Chooser(found, "a", random.Random(1))
    for _ in range(30):
        chosen = chooser.choose("svc", lambda _: True, 1.0, tried)
        assert chosen.entry.failure_domain != "a"
    assert not chooser.has_other("svc", ["b-1", "c-1"])


def test_trials_of_failed_instances_do_not_go_there():
    """Symptom: an instance that failed is tried although it is cordoned."""
    found = directory()
    for name in EVERYTHING:
        found.instances[name].failed(5.0)
        found.instances[name].trial_at = 0.0
    set_(CordonListener(found), "a")
    chooser = Chooser(found, "a", random.Random(1))
    for _ in range(10):
        chosen = chooser.choose("svc", lambda _: True, 1.0)
        assert chosen.entry.failure_domain != "a"


def test_last_domain_is_no_exception():
    found = directory()
    listener = CordonListener(found)
    listed(listener, "a", "b", "c")
    chooser = Chooser(found, "a", random.Random(1))
    assert chooser.choose("svc", lambda _: True, 1.0) is None
    assert found.versions("svc") == set()


def copied(listener, *domains, doubtful=True):
    """Tell which cordons a store shows that is back from a copy."""
    objects = {name: StoredObject(name, revision_of(2, 5)) for name in domains}
    snapshot = Snapshot(revision_of(2, 7), objects)
    listener.replace(snapshot, doubtful=doubtful)


def unlist(listener, domain):
    """Tell as a follower that a list lacks a cordon."""
    change = Change(StoredObject(domain, 5), removed=True, unlisted=True)
    listener.change(change, doubtful=True)


def lift_unconfirmed(listener, _):
    """Let the store have all again."""
    listener.lift_unconfirmed()


@pytest.mark.parametrize(
    ("steps", "open_now"),
    [
        ([(copied, "b")], {"c-1"}),
        ([(copied, "b"), (lift_unconfirmed, "")], {"a-1", "a-2", "c-1"}),
        ([(copied, "b"), (copied, "b")], {"c-1"}),
        ([(copied, "b"), (set_, "a"), (lift_unconfirmed, "")], {"c-1"}),
        ([(copied, "b"), (lift, "a")], {"a-1", "a-2", "c-1"}),
        ([(unlist, "a")], {"c-1"}),
        ([(unlist, "a"), (lift_unconfirmed, "")], {"a-1", "a-2", "c-1"}),
        # One that was lifted counts again where the store shows it.
        ([(lift, "a"), (copied, "a")], {"c-1"}),
    ],
)
def test_cordon_that_the_stores_copy_lacks_stands_until_that_is_known(
    steps, open_now
):
    """Symptom: work goes to a failure domain that an operator is emptying.

    Sequence: the store comes back from a copy of before the cordon, which is
    written again within seconds. Cause: what a list lacked was lifted at once.
    """
    found = directory()
    listener = CordonListener(found)
    for domain in ("a", "b"):
        set_(listener, domain)
    for step, domain in steps:
        step(listener, domain)
    assert open_ids(found) == open_now
