"""Tests of detecting and refusing poison requests."""

import random

import pytest

from lacewingdock.components.poison_requests import (
    PoisonRequests,
    fingerprint_of,
)
from lacewingdock.components.poison_requests import traits as traits_module
from lacewingdock.components.poison_requests.const import (
    CRASHES_TO_HOLD,
    HOLD_S,
    MAX_SUSPECTS,
    PUBLISH_AFTER_S,
    SUSPECT_EXPIRY_S,
    TRIAL_S,
)
from lacewingdock.components.poison_requests.report import CrashReport
from lacewingdock.components.upstreams.directory import Directory
from tests.components.poison_requests.fleet import Clock, Fleet, call


@pytest.fixture
def clock(monkeypatch):
    """Fake monotonic clock, advanced by the test."""
    return Clock(monkeypatch)


def test_one_router_holds_back_what_crashed_three(clock):
    """Guards against a request that crashes an instance at each retry.

    A request is lost at an instance, and its retries, which used to be routed
    regardless of earlier losses, are lost at other instances.
    """
    suspects = Fleet(1).routers[0]
    held = [suspects.lost(call(), "w", f"i-{n}") for n in range(3)]
    assert held == [False, False, True]
    assert suspects.holds(call("c-9"), "w")
    assert not suspects.holds(call(), "another")
    assert not suspects.holds(call(body=b"other"), "w")
    assert not suspects.holds(call(target=b"/r/y"), "w")


def test_losses_add_up_over_the_fleet(clock):
    """Guards against a request that crashes two instances through each router.

    Each router used to count only its own losses.
    """
    fleet = Fleet(3)
    for number, router in enumerate(fleet.routers):
        assert not router.holds(call(), "w")
        router.lost(call(), "w", f"i-{number}")
        clock.now += PUBLISH_AFTER_S + 0.1
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
    clock.now += PUBLISH_AFTER_S + 0.1
    suspects.round()
    assert suspects.publication.published.losses == {
        fingerprint_of(call(), "w"): ["i-2"]
    }


def test_lost_connections_of_living_instances_do_not_count(clock):
    """Guards against refusing a harmless request after connection resets.

    A reset used to count as a crash although the instance went on answering
    other requests.
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
    """Guards against refusing a harmless request with 429 as answers get lost.

    The three attempts of a request are reset within a moment, and none of the
    instances has answered another request in between. Instances that sent
    nothing since the loss used to count as crashed.
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
    """Each failed trial doubles the hold; one answer clears the request.

    The crashes of a harmless request had another cause, so its trial is
    answered. Each trial of a poison request costs one instance.
    """
    suspects = Fleet(1).routers[0]
    monkeypatch.setattr(suspects.holding.random, "random", lambda: 0.0)
    for number in range(CRASHES_TO_HOLD):
        suspects.lost(call(), "w", f"i-{number}")
    trials = []
    for step in range(2000):
        clock.now += 0.1
        suspects.round()
        if not suspects.holds(call(), "w"):
            trials.append(round(step / 10))
            suspects.lost(call(), "w", f"i-{3 + len(trials)}")
    assert trials == [20, 60, 140]
    clock.now += 1000.0
    assert suspects.holds(call(), "w")
    suspects.round()
    assert not suspects.holds(call(), "w")
    assert suspects.holds(call(), "w")
    clock.now += TRIAL_S
    suspects.answered(call(), "w")
    assert not suspects.holds(call(), "w")


def test_crashes_found_by_expired_entries_start_a_hold(clock):
    """Guards against a trial without a hold before it.

    A request is lost at three instances without evidence that they crashed, and
    their entries expire. A hold began only with a loss or a message, and a
    request that was never held counted as held for long enough, so each router
    sent one more copy.
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
def test_trials_grow_rarer_over_the_fleet(clock, routers, seed):
    """Guards against a crashed engine every twenty seconds.

    Copies of a request arrive at all routers, and a trial fails at one of them.
    The failure used to lengthen the hold at that router only, so each router
    made trials of its own.
    """
    fleet = Fleet(routers, instances=100)
    source = random.Random(seed)
    for number in range(CRASHES_TO_HOLD):
        fleet.routers[0].lost(call(), "w", f"i-{number}")
    clock.now += PUBLISH_AFTER_S + 0.1
    fleet.round()
    trials = 0
    for step in range(1000):
        clock.now += 0.15
        router = source.choice(fleet.routers)
        if not router.holds(call(), "w"):
            trials += 1
            router.lost(call(), "w", f"i-{3 + trials}")
        # A copy arrives every 0.15 s; due losses are published within 0.2 s.
        fleet.round(only_due=step % 5 != 0)
    assert 0 < trials <= 3


def test_losses_at_instances_that_lived_on_do_not_count_as_they_leave(clock):
    """Guards against refusals and writes to the store during a release.

    A request's connections are reset at three instances, which survive and
    leave much later. Instances that were gone counted as crashed although they
    had answered other requests since the loss, and the request got a 429.
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
    suspects.recover(CrashReport({fingerprint: ["i-0", "i-1", "i-2"]}))
    assert suspects.holds(call(), "w")
    suspects.round()
    assert suspects.publication.published.losses == {
        fingerprint: ["i-0", "i-1", "i-2"]
    }


def test_recovered_losses_of_living_instances_do_not_count(clock):
    fleet = Fleet(1)
    suspects = fleet.routers[0]
    fleet.alive = {f"i-{number}" for number in range(8)}
    fingerprint = fingerprint_of(call(), "w")
    suspects.recover(CrashReport({fingerprint: ["i-0", "i-1", "i-2"]}))
    clock.now += PUBLISH_AFTER_S
    suspects.round()
    assert not suspects.holds(call(), "w")
    assert suspects.publication.published.losses == {}


def test_bound_over_the_fleet(clock):
    """At most three more crashes within 34 s of the third crash's report."""
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


def test_losses_received_before_do_not_count_again(clock):
    fleet = Fleet(2)
    sender, receiver = fleet.routers
    sender.lost(call(), "w", "i-0")
    clock.now += 1.0
    fleet.round()
    receiver.answered(call(), "w")
    sender.lost(call(body=b"other"), "w", "i-1")
    clock.now += 1.0
    fleet.round()
    assert fingerprint_of(call(), "w") not in receiver.suspects
    assert fingerprint_of(call(body=b"other"), "w") in receiver.suspects


def test_a_request_is_digested_once(clock, monkeypatch):
    """Guards against hashing a request's body more than once.

    While there were suspects, which are kept for minutes, each request's body
    was hashed on arrival, on a loss and on an answer.
    """
    digested = []

    def counting(*parts):
        digested.append(parts)
        return "f"

    monkeypatch.setattr(traits_module, "digest", counting)
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
    clock.now += SUSPECT_EXPIRY_S + 1
    suspects.round()
    assert suspects.suspects == {}


def test_unpublished_losses_are_published_again(clock):
    told = []
    suspects = PoisonRequests(
        Directory(), told.append, None, None, random.Random(1)
    )
    suspects.lost(call(), "w", "i-0")
    clock.now += HOLD_S
    suspects.round()
    suspects.round()
    assert len(told) == 2
