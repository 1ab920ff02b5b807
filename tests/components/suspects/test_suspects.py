"""Tests of holding back requests that crash what runs them."""

import random

import pytest

from lacewingdock.components import suspects as suspects_module
from lacewingdock.components.suspects import Suspects, fingerprint_of
from lacewingdock.components.suspects.const import (
    CRASHES_TO_HOLD,
    FORGET_S,
    HOLD_S,
    MAX_SUSPECTS,
    TELL_AFTER_S,
    TRIAL_S,
)
from lacewingdock.components.upstreams.directory import Directory
from tests.components.suspects.fleet import Clock, Fleet, call


@pytest.fixture
def clock(monkeypatch):
    """A clock that moves when it is told to."""
    return Clock(monkeypatch)


def test_one_router_holds_back_what_crashed_three(clock):
    """Symptom: one request takes an instance down each time it comes.

    Sequence: a request is lost at an instance; its repeats are lost at others.
    Cause: each repeat was routed as if nothing were known of it.
    """
    suspects = Fleet(1).routers[0]
    held = [suspects.lost(call(), "w", f"i-{n}") for n in range(3)]
    assert held == [False, False, True]
    assert suspects.holds(call("c-9"), "w")
    assert not suspects.holds(call(), "another")
    assert not suspects.holds(call(body=b"other"), "w")
    assert not suspects.holds(call(target=b"/r/y"), "w")


def test_losses_add_up_over_the_fleet(clock):
    """Symptom: a request takes down two instances through each router.

    Cause: each router knew its own losses only.
    """
    fleet = Fleet(3)
    for number, router in enumerate(fleet.routers):
        assert not router.holds(call(), "w")
        router.lost(call(), "w", f"i-{number}")
        clock.now += TELL_AFTER_S + 0.1
        fleet.round()
    assert [one.holds(call(), "w") for one in fleet.routers] == [True] * 3
    assert fleet.writes == 3
    fleet.round()
    assert fleet.writes == 3


def test_an_answer_clears(clock):
    suspects = Fleet(1).routers[0]
    for number in range(2):
        suspects.lost(call(), "w", f"i-{number}")
    suspects.answered(call(), "w")
    assert not suspects.lost(call(), "w", "i-2")
    clock.now += TELL_AFTER_S + 0.1
    suspects.round()
    assert suspects.told == {fingerprint_of(call(), "w"): ["i-2"]}


def test_lost_connections_of_living_instances_do_not_count(clock):
    """Symptom: a common request is refused after connections were reset.

    Cause: a reset was taken for a crash, though the instance went on
    answering others.
    """
    fleet = Fleet(2)
    suspects, directory = fleet.routers[0], fleet.directories[0]
    for number in range(3):
        suspects.lost(call(), "w", f"i-{number}")
        clock.now += 0.2
        directory.instances[f"i-{number}"].last_received_at = clock.now
    assert not suspects.holds(call(), "w")
    clock.now += 1.0
    fleet.round()
    assert fleet.writes == 0


def test_answers_lost_in_a_row_at_quiet_instances_do_not_count(clock):
    """Symptom: a good request is refused with 429 while answers get lost.

    Sequence: the three attempts of one request are reset within a moment; none
    of the instances has answered another request in between. Cause: who sent
    nothing since the loss was taken for crashed.
    """
    fleet = Fleet(2)
    fleet.alive = {f"i-{number}" for number in range(8)}
    suspects = fleet.routers[0]
    for number in range(3):
        assert not suspects.lost(call(), "w", f"i-{number}")
        clock.now += 0.06
    assert not suspects.holds(call("c-2"), "w")
    clock.now += 1.0
    fleet.round()
    assert fleet.writes == 0


@pytest.mark.parametrize("gone", [True, False])
def test_a_crashed_instance_comes_back_under_another_id(clock, gone):
    fleet = Fleet(1)
    suspects, directory = fleet.routers[0], fleet.directories[0]
    for number in range(3):
        suspects.lost(call(), "w", f"i-{number}")
        if gone:
            directory.remove(f"i-{number}", doubtful=False)
    assert suspects.holds(call(), "w")


def test_one_trial_after_each_hold_and_longer_holds(clock, monkeypatch):
    """Three instances crashed for another cause: one answer clears it.

    Otherwise each trial costs one instance, ever more seldom.
    """
    suspects = Fleet(1).routers[0]
    monkeypatch.setattr(suspects.random, "random", lambda: 0.0)
    for number in range(CRASHES_TO_HOLD):
        suspects.lost(call(), "w", f"i-{number}")
    trials = []
    for step in range(2000):
        clock.now += 0.1
        if not suspects.holds(call(), "w"):
            trials.append(round(step / 10))
            suspects.lost(call(), "w", f"i-{3 + len(trials)}")
    assert trials == [20, 60, 140]
    clock.now += 1000.0
    assert not suspects.holds(call(), "w")
    assert suspects.holds(call(), "w")
    clock.now += TRIAL_S
    suspects.answered(call(), "w")
    assert not suspects.holds(call(), "w")


def test_crashes_that_come_to_be_known_by_themselves_hold(clock):
    """Guards against a trial that passes though nothing was held back.

    Symptom: each router sends one more copy after three engines ended.
    Sequence: a request is lost at three instances, of which nothing shows that
    they crashed; their entries run out. Cause: a hold began with a loss or a
    message only, and what was never held counted as held for long enough.
    """
    fleet = Fleet(1)
    fleet.unclear = {f"i-{number}" for number in range(3)}
    suspects = fleet.routers[0]
    for number in range(3):
        assert not suspects.lost(call(), "w", f"i-{number}")
    clock.now += 3.0
    for number in range(3):
        fleet.directories[0].remove(f"i-{number}", doubtful=False)
    assert suspects.holds(call("c-2"), "w")
    clock.now += HOLD_S - 1.0
    assert suspects.holds(call("c-3"), "w")


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("routers", [1, 4, 28, 300])
def test_trials_are_ever_more_seldom_over_the_fleet(clock, routers, seed):
    """Guards against each router's making trials of its own.

    Symptom: engines end every twenty seconds. Sequence: copies come through
    all routers; a trial fails at one of them. Cause: its failure made the next
    trial later at that router only.
    """
    fleet = Fleet(routers, instances=100)
    source = random.Random(seed)
    for number in range(CRASHES_TO_HOLD):
        fleet.routers[0].lost(call(), "w", f"i-{number}")
    clock.now += TELL_AFTER_S + 0.1
    fleet.round()
    trials = 0
    for step in range(1000):
        clock.now += 0.15
        router = source.choice(fleet.routers)
        if not router.holds(call(), "w"):
            trials += 1
            router.lost(call(), "w", f"i-{3 + trials}")
        # A copy comes every 0.15 s; what is due is told within 0.2 s.
        fleet.round(only_due=step % 5 != 0)
    assert 0 < trials <= 3


def test_losses_at_instances_that_lived_on_do_not_count_as_they_leave(clock):
    """Guards against requests that pay for a release.

    Symptom: a request is refused with 429, and routers write to the store as
    instances leave. Sequence: its connections are reset at three instances,
    which live on; much later they leave. Cause: what is gone counted as
    crashed, though it had answered others since the loss.
    """
    fleet = Fleet(2)
    suspects, directory = fleet.routers[0], fleet.directories[0]
    for number in range(3):
        suspects.lost(call(), "w", f"i-{number}")
        clock.now += 0.1
        directory.instances[f"i-{number}"].answered(clock.now)
    clock.now += 1.0
    fleet.round()
    assert suspects.suspects == {}
    for number in range(3):
        directory.remove(f"i-{number}", doubtful=False)
    clock.now += 1.0
    fleet.round()
    assert not suspects.holds(call(), "w")
    assert fleet.writes == 0


def test_recovered_losses_hold_where_the_instances_are_gone(clock):
    fleet = Fleet(1)
    suspects = fleet.routers[0]
    fingerprint = fingerprint_of(call(), "w")
    for number in range(3):
        fleet.directories[0].remove(f"i-{number}", doubtful=False)
    suspects.recover({fingerprint: ["i-0", "i-1", "i-2"]})
    assert suspects.holds(call(), "w")
    suspects.round()
    assert suspects.told == {fingerprint: ["i-0", "i-1", "i-2"]}


def test_recovered_losses_of_living_instances_do_not_count(clock):
    fleet = Fleet(1)
    suspects = fleet.routers[0]
    fleet.alive = {f"i-{number}" for number in range(8)}
    fingerprint = fingerprint_of(call(), "w")
    suspects.recover({fingerprint: ["i-0", "i-1", "i-2"]})
    clock.now += TELL_AFTER_S
    suspects.round()
    assert not suspects.holds(call(), "w")
    assert suspects.told == {}


def test_bound_over_the_fleet(clock):
    """At most three more instances in 34 s after the third crash is known."""
    fleet = Fleet(4, instances=100)
    crashes, third_at = 0, None
    for step in range(400):
        clock.now += 0.1
        router = fleet.routers[step % 4]
        if not router.holds(call(), "w"):
            if third_at is not None and clock.now > third_at + 3.0:
                crashes += 1
            router.lost(call(), "w", f"i-{step % 100}")
            if third_at is None and step >= 2:
                third_at = clock.now
        if step % 3 == 0:
            fleet.round()
    assert 0 < crashes <= 3


def test_what_was_heard_before_does_not_count_again(clock):
    fleet = Fleet(2)
    teller, hearer = fleet.routers
    teller.lost(call(), "w", "i-0")
    clock.now += 1.0
    fleet.round()
    hearer.answered(call(), "w")
    teller.lost(call(body=b"other"), "w", "i-1")
    clock.now += 1.0
    fleet.round()
    assert fingerprint_of(call(), "w") not in hearer.suspects
    assert fingerprint_of(call(body=b"other"), "w") in hearer.suspects


def test_a_request_is_digested_once(clock, monkeypatch):
    """Symptom: after one lost booking each request costs more for minutes.

    Cause: while any suspect is remembered, a request's whole body was digested
    when it came, when it was lost and when it was answered.
    """
    digested = []

    def counting(*parts):
        digested.append(parts)
        return "f"

    monkeypatch.setattr(suspects_module, "digest", counting)
    suspects = Fleet(1).routers[0]
    request = call()
    suspects.lost(request, "w", "i-0")
    suspects.holds(request, "w")
    suspects.answered(request, "w")
    assert len(digested) == 1


def test_memory_and_time_are_bounded(clock):
    suspects = Fleet(1).routers[0]
    for number in range(MAX_SUSPECTS + 50):
        suspects.lost(call(body=b"%d" % number), "w", "i-0")
    assert len(suspects.suspects) == MAX_SUSPECTS
    clock.now += FORGET_S + 1
    suspects.round()
    assert suspects.suspects == {}


def test_what_could_not_be_told_is_told_again(clock):
    told = []
    suspects = Suspects(Directory(), told.append, None, random.Random(1))
    suspects.lost(call(), "w", "i-0")
    clock.now += HOLD_S
    suspects.round()
    suspects.round()
    assert len(told) == 2
