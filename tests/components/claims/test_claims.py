"""Tests of single failures of the claims, each told from its symptom."""

from collections import Counter

import pytest

from lacewingdock import components
from lacewingdock.components.claims import Duplicate, Recorded, partition
from lacewingdock.components.claims.const import (
    MAX_BATCH,
    MAX_OPEN_RECORDS,
    SEGMENTS,
)
from lacewingdock.exceptions import LacewingdockError
from tests.components.claims.fakes import SERVICE, FakeHome, PlatformStore


@pytest.fixture(autouse=True)
def no_gap(monkeypatch):
    monkeypatch.setattr(partition, "COMMIT_GAP_S", 0.0)


@pytest.fixture
def store():
    return PlatformStore()


@pytest.fixture
def home(store):
    made = FakeHome(store, "home-0")
    made.take()
    return made


@pytest.fixture
def booked():
    return Counter()


def successor_of(home, name="home-1"):
    home.die()
    successor = FakeHome(home.claims.daemon.store, name)
    successor.take()
    return successor


def said(result):
    assert isinstance(result, LacewingdockError), result
    return str(result.kind), result.ran


@pytest.mark.parametrize("phase", ["queued", "written"])
def test_claim_given_up_is_free_again(store, home, booked, monkeypatch, phase):
    """Symptom: a key is answered "unknown" for good and never ran.

    Events: the platform is slow and the caller is told "not run" while its
    claim is queued or being written; the write takes effect; the home dies
    and its successor is asked. Cause: a claim that nobody runs stays kept.
    """
    monkeypatch.setattr(components.claims, "ADMIT_TIMEOUT_S", 0.0)
    tasks = []
    home.claims.daemon.spawn = lambda f, *a: tasks.append((f, a))
    if phase == "queued":
        assert said(home.send("a")) == ("platform_unavailable", "no")
    else:
        store.before_write = lambda: said(home.send("a"))
        home.send("b")
    for function, arguments in tasks:
        function(*arguments)
    if phase == "written":
        # "a" came while "b" was written, and was written after it gave up.
        for function, arguments in tasks[1:]:
            function(*arguments)
    monkeypatch.setattr(components.claims, "ADMIT_TIMEOUT_S", 1.0)
    successor = successor_of(home)
    successor.run(successor.send("a"), booked)
    assert booked["a"] == 1


def test_claim_given_up_within_its_write(store, home, booked, monkeypatch):
    """Symptom: as above; here the caller gives up within the write."""

    def give_up():
        for claim in tuple(home.partition.claims.values()):
            home.partition.release(claim)

    store.before_write = give_up
    with monkeypatch.context() as context:
        context.setattr(components.claims, "ADMIT_TIMEOUT_S", 0.0)
        assert said(home.send("a")) == ("platform_unavailable", "no")
    successor = successor_of(home)
    successor.run(successor.send("a"), booked)
    assert booked["a"] == 1


def test_ended_run_does_not_free_a_later_claim(home, booked):
    """Symptom: a slot is confirmed twice after a takeover.

    Events: a run fails before it reaches the upstream; the key is claimed
    anew and runs; the first run's "did not run" is kept after that claim; the
    next home believes it. Cause: an outcome written for a key, not a claim.
    """
    first = home.send("a")
    claim = home.claims.held[first][1]
    home.run(first, booked, "not_run")
    home.run(home.send("a"), booked, "unknown")
    home.partition.release(claim)
    home.partition.flush()
    assert said(successor_of(home).send("a")) == ("outcome_unknown", "unknown")


@pytest.mark.parametrize("fates", [["lost"], ["late"], ["fail"]])
def test_take_whose_answer_is_lost(store, booked, fates):
    """Symptom: a partition has a home in name that serves nobody.

    Events: the sealing write takes effect, its answer is lost, and so is the
    read that would settle it. Cause: the head names a process that does not
    know, which answers probes and so keeps the others away.
    """
    home = FakeHome(store, "home-0")
    store.plan = fates
    real, store.get = store.get, _refuse_settling(store)
    home.take()
    store.get = real
    store.deliver_late()
    for _ in range(6):
        home.claims.takeover.look()
    home.run(home.send("a"), booked)
    assert booked["a"] == 1


def _refuse_settling(store):
    real = store.get

    def get(collection, name, purpose):
        if purpose == "settle":
            raise LacewingdockError("platform_unavailable", "lost too")
        return real(collection, name, purpose)

    return get


def test_outcome_survives_a_failed_write(store, home, booked):
    """Symptom: a booking that was confirmed is answered "unknown".

    Events: the run ends while the platform is down; it comes back; the home
    dies. Cause: the outcome's write failed and was not tried again.
    """
    run = home.send("a")
    store.down = True
    home.run(run, booked)
    store.down = False
    home.claims.write_again()
    assert isinstance(successor_of(home).send("a"), Recorded)


def test_planned_leave_hands_over_at_once(store, home, booked):
    """The outcome is kept first, and one look is enough to take over."""
    run = home.send("a")
    home.claims.daemon.spawn = lambda *_: None
    home.run(run, booked)
    home.claims.unload()
    successor = FakeHome(store, "home-1")
    successor.claims.takeover.look()
    assert isinstance(successor.send("a"), Recorded)


def test_other_body_before_the_claim_is_kept(home):
    """Symptom: a caller gets the answer to another caller's request.

    Events: the same key comes with another body while the first claim is
    being written. Cause: only kept records were compared.
    """
    second = []
    home.claims.daemon.store.before_write = lambda: second.append(
        home.send("a", "other slot")
    )
    home.send("a", "slot")
    assert said(second[0]) == ("key_reused", "no")


def test_thawed_home_runs_what_it_had_and_nothing_else(store, home, booked):
    """Symptom: a slot is confirmed twice after a pause.

    Events: the home is paused between commit and run; another takes over and
    is asked for the key; the home thaws and runs it. It stays at one run: the
    next home never runs a claim that it did not commit.
    """
    run = home.send("a")
    home.claims.ticked -= 10.0
    successor = FakeHome(store, "home-1")
    successor.take()
    assert said(successor.send("a")) == ("outcome_unknown", "unknown")
    home.run(run, booked)
    assert said(home.send("b")) == ("not_home", "unknown")
    assert said(successor.send("a")) == ("outcome_unknown", "unknown")
    assert booked == {"a": 1}


def test_thawed_home_does_not_say_not_run_in_an_outage(store, home, booked):
    """Symptom: "not run" is said of a slot that the next home confirmed.

    Events: pause, takeover, the key runs at the next home, its answer is
    lost; the platform goes down; the caller asks the thawed home. Cause: it
    is sure to be home.
    """
    home.claims.ticked -= 10.0
    successor = FakeHome(store, "home-1")
    successor.take()
    successor.run(successor.send("a"), booked)
    store.down = True
    assert said(home.send("a")) == ("platform_unavailable", "unknown")
    assert said(successor.send("b")) == ("platform_unavailable", "no")


def test_outage_is_answered_at_once_and_costs_no_calls(store, home, booked):
    """Symptom: callers wait out the platform's timeouts one after another."""
    store.down = True
    home.send("a")
    calls = sum(store.calls.values())
    assert said(home.send("b")) == ("platform_unavailable", "no")
    assert sum(store.calls.values()) == calls
    store.down = False
    home.claims.write_again()
    home.run(home.send("b"), booked)
    assert booked == {"b": 1}


def test_memory_and_old_keys(store, home, booked):
    """Old keys leave the home's memory and are answered from segments."""
    for number in range(500):
        home.run(home.send(f"k{number}"), booked)
        home.claims.write_again()
    held = home.partition
    assert len(held.records) <= 2 * (MAX_OPEN_RECORDS + MAX_BATCH)
    assert len(held.claims) <= 1
    assert len(held.head.segments) == 1
    assert isinstance(home.send("k3"), Recorded)
    assert isinstance(successor_of(home).send("k4"), Recorded)
    assert set(booked.values()) == {1}


def test_old_keys_are_forgotten_after_the_window(store, home, booked):
    """What the window has left behind is removed from the platform too."""
    home.partition.window_s = -1.0
    for number in range(200):
        home.run(home.send(f"k{number}"), booked)
    kept = [
        name
        for (collection, name), stored in store.objects.items()
        if collection == SEGMENTS and stored.value is not None
    ]
    assert kept == [ref.name for ref in home.partition.head.segments]


def test_missing_segment_is_not_passed_over(store, home, booked):
    """Symptom: an old key runs again after a takeover.

    Events: a segment can't be read. Cause: taken for empty.
    """
    for number in range(100):
        home.run(home.send(f"k{number}"), booked)
    for where in list(store.objects):
        if where[0] == SEGMENTS:
            del store.objects[where]
    assert successor_of(home).partition is None


def test_full_window_refuses_and_forgets_nothing(home, booked, monkeypatch):
    """A bound on memory must not become a second run."""
    home.run(home.send("a"), booked)
    monkeypatch.setattr(partition, "MAX_KEYS", 1)
    assert said(home.send("b")) == ("overloaded", "no")
    assert isinstance(home.send("a"), Recorded)


def test_repeat_meets_the_run(home, booked):
    """A repeat follows the run while it runs, and its record after."""
    run = home.send("a")
    assert home.send("a") == Duplicate(run)
    home.run(run, booked)
    assert isinstance(home.send("a"), Recorded)
    assert said(home.send("a", "other slot")) == ("key_reused", "no")


def test_lost_home_is_noticed_without_claims(store, home):
    """Symptom: entries go on asking a thawed home that has nothing to do."""
    FakeHome(store, "home-1").take()
    home.claims.takeover.look()
    assert home.claims.homes() == []


def test_partitions_stay_as_many_as_they_were(store, home, booked):
    """Symptom: a slot is confirmed twice after a change of configuration.

    Events: a key runs; the number of partitions is raised; the key is sent
    again. Cause: it belongs to another partition now, where it is new.
    """
    keys = [f"k{number}" for number in range(8)]
    for key in keys:
        home.run(home.send(key), booked)
    world = home.claims.configuration.world
    world.services[SERVICE].partitions = 8
    for _ in range(4):
        home.claims.takeover.look()
    for key in keys:
        assert isinstance(home.send(key), Recorded)
    assert len(home.claims.partitions) == 1
