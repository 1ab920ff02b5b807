"""Tests of roll-outs that are interrupted, fenced, paused and aborted."""

import contextlib
import itertools
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.rollouts.commands import (
    begin_rollout,
    begin_unload,
    change_rollout,
)
from lacewingdock.components.rollouts.controller import Controller
from lacewingdock.components.rollouts.record import Rollout, decode_rollout
from lacewingdock.components.rollouts.verdict import GoOn, Hold, Return
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.links.messages import Ordered
from lacewingdock.platform.store import Stored
from lacewingdock.world.objects import Instance, Model, Version
from tests.fakes import FakeStore

OLD = {"v1": 1.0}
STEPS = [0.1, 1.0]
EXECUTOR = ThreadPoolExecutor(4)


class Fleet:
    """Engines that take two orders to load, and when they load."""

    def __init__(self, count=5, broken=0):
        """Start without the version."""
        self.asked = {f"127.0.0.1:{i}": 0 for i in range(count)}
        self.broken = set(list(self.asked)[:broken])
        self.peak = 0
        self.actions = set()

    def engines(self, pool):
        return [
            Instance(
                name=f"w{i}", role="sidecar", failure_domain="d", address=a
            )
            for i, a in enumerate(self.asked)
        ]

    def send(self, address, order):
        self.actions.add(order.action)
        if order.action == "unload":
            self.asked[address] = max(0, self.asked[address] - 1)
            rid = self.asked[address] < 1
            return Ordered(order.order, "unloaded" if rid else "busy")
        if address in self.broken:
            return Ordered(order.order, "", "upstream_failed")
        self.asked[address] += 1
        self.peak = max(self.peak, sum(n == 1 for n in self.asked.values()))
        loaded = self.asked[address] > 1
        return Ordered(order.order, "loaded" if loaded else "loading")


class Stage:
    """A platform with one model, engines, and holders of the lease."""

    def __init__(self, **fleet):
        """Start with v1 in force and a roll-out of v2 ordered."""
        self.store, self.fleet = FakeStore(), Fleet(**fleet)
        self.now, self.verdict = 0.0, GoOn()
        for name in OLD | {"v2": 0.0}:
            self.store.put("config", f"version/{name}", {"model": "m"}, 0)
        model = self.store.put("config", "model/m", {"shares": OLD}, 0)
        wanted = Rollout(
            id="r1",
            model="m",
            version="v2",
            old_shares={},
            steps=STEPS,
            dwell_s=5.0,
            parallel=2,
            by="ana",
            entered=0.0,
            model_revision=model.revision,
        )
        begun = begin_rollout(
            self.store.get("rollouts", "m"),
            Model(shares=OLD),
            Version(model="m"),
            wanted,
        )
        self.store.put("rollouts", "m", msgspec.to_builtins(begun), 0)

    def holder(self):
        made = Controller(
            self.store,
            self.fleet.engines,
            self.fleet.send,
            EXECUTOR,
            lambda: self.now,
        )
        made.verdict = lambda rollout: self.verdict
        return made

    def run(self, holder, fencing, rounds=40):
        for _ in range(rounds):
            self.now += 2.0
            with contextlib.suppress(LacewingdockError):
                holder.work(fencing)

    def order(self, verb, operator="ana"):
        present = self.store.get("rollouts", "m")
        model = self.store.get("config", "model/m")
        changed = change_rollout(present, verb, operator, model)
        self.store.put(
            "rollouts", "m", msgspec.to_builtins(changed), present.revision
        )

    @property
    def rollout(self):
        return decode_rollout(self.store.objects["rollouts"]["m"])

    @property
    def shares(self):
        return self.store.objects["config"]["model/m"].value["shares"]

    def seen_shares(self):
        """Every change of the new version's share, in order."""
        seen = [
            v["shares"].get("v2", 0.0)
            for _, name, v in self.store.history
            if name == "model/m"
        ]
        return [s for i, s in enumerate(seen) if i == 0 or s != seen[i - 1]]


def test_a_healthy_version_is_brought_in_step_by_step():
    stage = Stage()
    stage.run(stage.holder(), 1)
    assert stage.rollout.state == "done"
    assert stage.seen_shares() == [0.0, 0.1, 1.0]
    assert stage.fleet.peak <= 2


@pytest.mark.parametrize("lost", [0, 1])
@pytest.mark.parametrize("every", [1, 2, 3])
def test_interrupted_rollouts_are_resumed(every, lost):
    """Each holder dies after a few steps, some with an answer lost.

    Symptom: a roll-out stands still, or starts over and lowers a share.
    Events: the holder dies at any step; the next resumes from the record.
    Cause: progress kept in a holder's memory.
    """
    stage = Stage()
    for fencing in range(1, 40):
        stage.store.lose_answers = lost
        stage.run(stage.holder(), fencing, rounds=every + 2)
    assert stage.rollout.state == "done"
    assert stage.seen_shares() == [0.0, 0.1, 1.0]


@pytest.mark.parametrize("tick", range(12))
def test_thawed_holder_moves_no_share(tick):
    """A holder is frozen at any call of any step, and thawed after an abort.

    Symptom: an aborted version has sessions again.
    Events: the holder freezes between two calls; another adopts, an operator
    aborts, the shares return; the first thaws and goes on with its step.
    Cause: a write based on what was read before the freeze.
    """
    for position, before in itertools.product(range(6), range(3)):
        stage = Stage(count=1)
        frozen, other = stage.holder(), stage.holder()
        stage.run(frozen, 1, rounds=tick)
        calls = iter(range(100))

        def meanwhile(s=stage, o=other, at=position, n=before, c=calls):
            if next(c) == at:
                s.store.on_call = None
                s.run(o, 2, rounds=n)
                with contextlib.suppress(LacewingdockError):
                    s.order("abort", "bob")
                s.run(o, 2, rounds=6)

        stage.now += 2.0
        stage.store.on_call = meanwhile
        with contextlib.suppress(LacewingdockError):
            frozen.work(1)
        stage.store.on_call = None
        stage.run(frozen, 1, rounds=5)
        if stage.rollout.state == "returned":
            assert stage.shares == OLD


@pytest.mark.parametrize(
    ("verdict", "state", "share", "version_state"),
    [
        (GoOn(), "done", 1.0, None),
        (Hold("few ratings"), "raising", 0.1, None),
        (Return("errors"), "returned", 0.0, "withdrawn"),
    ],
)
def test_verdicts(verdict, state, share, version_state):
    stage = Stage()
    holder = stage.holder()
    while stage.rollout.state == "loading":
        stage.run(holder, 1, rounds=1)
    stage.run(holder, 1, rounds=2)
    stage.verdict = verdict
    stage.run(holder, 1)
    version = stage.store.objects["config"]["version/v2"].value
    assert stage.rollout.state == state
    assert stage.shares.get("v2", 0.0) == share
    assert version.get("state") == version_state


@pytest.mark.parametrize("broken", [0, 1, 2])
def test_engines_that_do_not_load(broken):
    stage = Stage(count=5, broken=broken)
    stage.run(stage.holder(), 1)
    assert stage.rollout.state == ("done" if broken < 2 else "loading")
    assert stage.rollout.paused == (broken == 2)


@pytest.mark.parametrize(
    ("end", "share", "state"),
    [("resume", 1.0, "done"), ("abort", 0.5, "returned")],
)
def test_an_operators_newer_shares_are_left_alone(end, share, state):
    """An operator applies other shares while a roll-out is under way.

    Symptom: shares just applied are gone a second later.
    Events: one operator's roll-out is raising; another applies shares.
    Cause: a controller that writes what its record says, whoever wrote last.
    """
    stage = Stage()
    holder = stage.holder()
    stage.run(holder, 1, rounds=9)
    model = stage.store.get("config", "model/m")
    shares = {"shares": {"v1": 0.5, "v2": 0.5}}
    stage.store.put("config", "model/m", shares, model.revision, "", "bob-1")
    stage.run(holder, 1, rounds=3)
    assert stage.rollout.paused
    assert "bob-1" in stage.rollout.reason
    assert stage.shares["v2"] == 0.5
    stage.order(end)
    stage.run(holder, 1)
    assert (stage.rollout.state, stage.shares["v2"]) == (state, share)


@pytest.mark.parametrize("every", [2, 40])
def test_a_withdrawn_version_is_unloaded(every):
    stage = Stage()
    stage.run(stage.holder(), 1)
    present = stage.store.get("rollouts", "m")
    wanted = Rollout(id="r2", model="m", version="v1", old_shares={})
    with pytest.raises(LacewingdockError, match="withdraw it first"):
        begin_unload(present, Version(model="m"), wanted)
    withdrawn = Version(model="m", state="withdrawn")
    begun = begin_unload(present, withdrawn, wanted)
    value = msgspec.to_builtins(begun)
    stage.store.put("rollouts", "m", value, present.revision)
    version = stage.store.get("config", "version/v1")
    value = {"model": "m", "state": "withdrawn"}
    stage.store.put("config", "version/v1", value, version.revision)
    shares = stage.shares
    for fencing in range(2, 10):
        stage.run(stage.holder(), fencing, every)
    assert stage.rollout.state == "done"
    assert set(stage.fleet.asked.values()) == {0}
    assert stage.shares == shares


def test_an_unreadable_record_stops_no_other_rollout():
    stage = Stage()
    bad = Stored("a", 1, {"id": 1})
    stage.store.objects["rollouts"] = {
        "a": bad,
        **stage.store.objects["rollouts"],
    }
    stage.run(stage.holder(), 1)
    assert stage.rollout.state == "done"


def test_conflicting_operators_are_told_who_won():
    stage = Stage()
    stage.order("abort", "bob")
    with pytest.raises(LacewingdockError, match="bob"):
        stage.order("pause", "ana")


@given(
    st.lists(
        st.sampled_from(
            [
                "tick",
                "tick",
                "tick",
                "take-over",
                "stale-tick",
                "pause",
                "resume",
                "abort",
                "lose",
                "outage",
                "return",
            ]
        ),
        max_size=40,
    )
)
@settings(derandomize=True, deadline=None, max_examples=120)
def test_any_order_of_events_ends_where_the_record_says(events):
    stage = Stage(count=2)
    holders = [stage.holder()]
    for event in events:
        stage.store.down = event == "outage"
        match event:
            case "take-over":
                holders.append(stage.holder())
            case "stale-tick":
                stage.run(holders[0], 1, rounds=1)
            case "lose":
                stage.store.lose_answers = 1
            case "return":
                stage.verdict = Return("bad")
            case "pause" | "resume" | "abort":
                with contextlib.suppress(LacewingdockError):
                    stage.order(event)
            case _:
                stage.run(holders[-1], len(holders), rounds=1)
    stage.store.down, stage.store.lose_answers = False, 0
    if stage.rollout.paused:
        stage.order("resume")
    stage.run(stage.holder(), len(holders) + 1)
    # Below the last holder's number nothing moves any more.
    stage.run(holders[0], 1, rounds=3)
    done = stage.rollout.state == "done"
    assert stage.rollout.state in ("done", "returned")
    assert stage.shares.get("v2", 0.0) == (1.0 if done else 0.0)
