"""Tests that a cordoned failure domain gets no new requests."""

import random

import pytest

from lacewingdock.components.cordons import CordonListener
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.platform.history import revision_of
from lacewingdock.platform.objects import ObjectChange, Snapshot, StoredObject
from tests.components.upstreams import entries

EVERYTHING = {"a-1", "a-2", "b-1", "c-1"}


def entry(name, **changes):
    """Return an instance's entry; its name starts with its domain's name."""
    return entries.entry(name, **{"failure_domain": name[0], **changes})


def directory():
    """Return a directory of instances in three failure domains."""
    found = Directory()
    for name in sorted(EVERYTHING):
        found.apply(entry(name))
    return found


def add_cordon(listener, domain, revision=5):
    """Cordon a failure domain."""
    stored = StoredObject(domain, revision, {})
    listener.change(ObjectChange(stored, removed=False), doubtful=False)


def lift_cordon(listener, domain, revision=6):
    """Lift a cordon."""
    stored = StoredObject(domain, revision, {})
    listener.change(ObjectChange(stored, removed=True), doubtful=False)


def apply_list(listener, *domains):
    """Apply a complete list of cordons."""
    objects = {name: StoredObject(name, 5) for name in domains}
    listener.replace(Snapshot(9, objects), doubtful=True)


def accepting_ids(found):
    """Return the ids of the instances that accept requests."""
    return {one.entry.id for one in found.of_service("svc") if one.open}


@pytest.mark.parametrize(
    ("steps", "accepting"),
    [
        ([], EVERYTHING),
        ([(add_cordon, "a")], {"b-1", "c-1"}),
        ([(add_cordon, "a"), (add_cordon, "b")], {"c-1"}),
        ([(add_cordon, "a"), (add_cordon, "b"), (add_cordon, "c")], set()),
        ([(add_cordon, "a"), (lift_cordon, "a")], EVERYTHING),
        (
            [(add_cordon, "a"), (add_cordon, "b"), (lift_cordon, "a")],
            {"a-1", "a-2", "c-1"},
        ),
        ([(apply_list, "a")], {"b-1", "c-1"}),
        # A list without the cordon lifts it, also after an outage: if the
        # change that removed it was missed, nothing else would.
        ([(add_cordon, "a"), (apply_list,)], EVERYTHING),
        ([(add_cordon, "x")], EVERYTHING),
        ([(lift_cordon, "x")], EVERYTHING),
    ],
)
def test_instances_that_accept_requests(steps, accepting):
    found = directory()
    listener = CordonListener(found)
    for step, *domains in steps:
        step(listener, *domains)
    assert accepting_ids(found) == accepting


def test_content_of_a_cordon_is_ignored():
    """Guards against requests to a domain whose cordon cannot be parsed.

    Happens if an object that another writer created is skipped as invalid.
    """
    found = directory()
    listener = CordonListener(found)
    stored = StoredObject("a", 5)
    listener.change(ObjectChange(stored, removed=False), doubtful=False)
    assert accepting_ids(found) == {"b-1", "c-1"}


@pytest.mark.parametrize(
    "change",
    [
        # An instance starts in the domain, restarts, moves to the domain,
        # changes its entry, or comes back after an outage.
        lambda found: found.apply(entry("a-9")),
        lambda found: found.apply(entry("a-1", born=9)),
        lambda found: found.apply(entry("b-1", failure_domain="a")),
        lambda found: found.apply(entry("a-1", slots=9)),
        lambda found: [
            found.remove("a-1", doubtful=True),
            found.apply(entry("a-1")),
        ],
    ],
)
def test_instances_that_join_a_cordoned_domain_get_no_requests(change):
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
        # First attempts, then retries, larger models and resumed streams; the
        # last case has tried all instances outside of the domain.
        (),
        ("b-1",),
        ("b-1", "c-1"),
    ],
)
def test_cordoned_instances_are_never_chosen(tried):
    found = directory()
    add_cordon(CordonListener(found), "a")
    for name in ("b-1", "c-1"):
        found.instances[name].running = 50
    chooser = Chooser(found, "a", random.Random(1))
    for _ in range(30):
        chosen = chooser.choose("svc", lambda _: True, 1.0, tried)
        assert chosen.entry.failure_domain != "a"
    assert not chooser.has_untried_instance("svc", ["b-1", "c-1"])


def test_ejected_cordoned_instances_get_no_trial_requests():
    """Guards against trial requests to an ejected, cordoned instance."""
    found = directory()
    for name in EVERYTHING:
        found.instances[name].failed(5.0)
        found.instances[name].trial_at = 0.0
    add_cordon(CordonListener(found), "a")
    chooser = Chooser(found, "a", random.Random(1))
    for _ in range(10):
        chosen = chooser.choose("svc", lambda _: True, 1.0)
        assert chosen.entry.failure_domain != "a"


def test_cordon_applies_to_the_last_domain_too():
    found = directory()
    listener = CordonListener(found)
    apply_list(listener, "a", "b", "c")
    chooser = Chooser(found, "a", random.Random(1))
    assert chooser.choose("svc", lambda _: True, 1.0) is None
    assert found.versions("svc") == set()


def apply_restored_list(listener, *domains, doubtful=True):
    """Apply the list of a store that was restored from a backup."""
    objects = {name: StoredObject(name, revision_of(2, 5)) for name in domains}
    snapshot = Snapshot(revision_of(2, 7), objects)
    listener.replace(snapshot, doubtful=doubtful)


def apply_unlisted(listener, domain):
    """Apply a follower's change for a cordon that a list lacks."""
    change = ObjectChange(StoredObject(domain, 5), removed=True, unlisted=True)
    listener.change(change, doubtful=True)


def lift_unconfirmed(listener, _):
    """Lift the unconfirmed cordons, as when the store is complete again."""
    listener.lift_unconfirmed()


@pytest.mark.parametrize(
    ("steps", "accepting"),
    [
        ([(apply_restored_list, "b")], {"c-1"}),
        (
            [(apply_restored_list, "b"), (lift_unconfirmed, "")],
            {"a-1", "a-2", "c-1"},
        ),
        ([(apply_restored_list, "b"), (apply_restored_list, "b")], {"c-1"}),
        (
            [
                (apply_restored_list, "b"),
                (add_cordon, "a"),
                (lift_unconfirmed, ""),
            ],
            {"c-1"},
        ),
        (
            [(apply_restored_list, "b"), (lift_cordon, "a")],
            {"a-1", "a-2", "c-1"},
        ),
        ([(apply_unlisted, "a")], {"c-1"}),
        (
            [(apply_unlisted, "a"), (lift_unconfirmed, "")],
            {"a-1", "a-2", "c-1"},
        ),
        # A lifted cordon applies again if the restored store lists it.
        ([(lift_cordon, "a"), (apply_restored_list, "a")], {"c-1"}),
    ],
)
def test_cordon_missing_in_a_restored_store_stays_until_confirmed(
    steps, accepting
):
    """Guards against requests to a failure domain under maintenance.

    Happens if the store is restored from a backup that is older than the
    cordon, which is written again within seconds, and a cordon that the list
    lacks is lifted at once.
    """
    found = directory()
    listener = CordonListener(found)
    for domain in ("a", "b"):
        add_cordon(listener, domain)
    for step, domain in steps:
        step(listener, domain)
    assert accepting_ids(found) == accepting
