"""Tests of an entry's own stop of a version that fails grossly."""

from types import SimpleNamespace

import msgspec
import pytest

from lacewingdock.components.rollouts.emergency import Emergency, GrossErrors
from lacewingdock.components.rollouts.record import Rollout, decode_rollout
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.world.objects import Model, Version
from lacewingdock.world.world import World
from tests.fakes import FakeDaemon, FakePeers, FakeStore


@pytest.mark.parametrize(
    ("new", "others", "bad"),
    [
        ("xxxxxx", "........", True),
        ("xxxxx", "........", False),
        (".x.x.x.x.x.x", "........", True),
        ("." * 20 + "xxxxxx", "........", False),
        ("xxxxxxxx", "x...x...", False),
        ("." * 40 + "xxxxxxxxxx", "", True),
    ],
)
def test_gross_errors(new, others, bad):
    evidence = GrossErrors()
    for mark in others:
        evidence.add_request(False, mark == "x")
    for mark in new:
        evidence.add_request(True, mark == "x")
    assert bool(evidence.reason) == bad


def emergency(state="raising", shares=None):
    store = FakeStore()
    world = World()
    world.versions = {v: Version(model="m") for v in ("v1", "v2")}
    shares = shares or {"v1": 0.9, "v2": 0.1}
    world.models = {"m": Model(shares=shares, incoming="v2")}
    config = SimpleNamespace(world=world, on_change=[])
    daemon = FakeDaemon("entry-0", "entry", "d", store)
    made = Emergency(daemon, FakePeers(), config)
    config.on_change[0]()
    rollout = Rollout(
        id="r-1", model="m", version="v2", old_shares={"v1": 1.0}, state=state
    )
    store.put("rollouts", "m", msgspec.to_builtins(rollout), 0)
    return made, store, daemon, world


def fail(made):
    for _ in range(6):
        made.note("v2", True)


def record(store):
    return decode_rollout(store.objects["rollouts"]["m"])


def test_a_failing_version_is_stopped_here_then_everywhere():
    made, store, daemon, world = emergency()
    fail(made)
    assert not world.offered("v2")
    ((function, args),) = daemon.spawned
    function(*args)
    found = record(store)
    assert (found.state, found.withdraw) == ("returning", True)
    assert (found.by, "6 of the last 6" in found.reason) == ("entry-0", True)


def test_an_outage_delays_only_the_report():
    """The version fails while the platform is down.

    Symptom: callers get errors from a bad version until the platform is up.
    Events: the platform goes down; the incoming version fails.
    Cause: a stop that waits for the platform.
    """
    made, store, _, world = emergency()
    store.down = True
    fail(made)
    assert not world.offered("v2")
    with pytest.raises(LacewingdockError):
        made.report("m", "v2", "errors")
    store.down = False
    assert made.report("m", "v2", "errors")


@pytest.mark.parametrize("state", ["loading", "done", "returned"])
def test_without_a_rollout_nothing_stays_suspended(state):
    made, store, daemon, world = emergency(state)
    fail(made)
    ((function, args),) = daemon.spawned
    function(*args)
    assert world.offered("v2")
    assert record(store).state == state


def test_the_last_version_is_not_suspended():
    made, _, daemon, world = emergency(shares={"v1": 0.0, "v2": 1.0})
    fail(made)
    assert world.offered("v2")
    assert daemon.spawned == []
