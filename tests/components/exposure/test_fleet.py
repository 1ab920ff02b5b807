"""Tests of judging a version by the evidence of many entries."""

import math
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.exposure.const import (
    FLEET_WRITES_PER_S,
    PUBLISH_S,
)
from lacewingdock.components.exposure.evidence import (
    ErrorEvidence,
    RatingEvidence,
)
from lacewingdock.components.exposure.fleet import FleetJudge
from lacewingdock.components.exposure.increments import Increments, sum_up
from lacewingdock.components.exposure.watch import Watch
from lacewingdock.components.rollouts.record import Rollout, decode_rollout
from lacewingdock.components.rollouts.verdict import GoOn, Hold, Return
from lacewingdock.links.messages import Hello
from lacewingdock.world.objects import Model, Version
from lacewingdock.world.world import World
from tests.fakes import FakeDaemon, FakeStore


class Fleet:
    """Entries that compare v2 with v1, and the holder of the lease."""

    def __init__(self, entries=2, evidence=0, rated=True):
        """Create a fleet with a roll-out of v2 at its first step."""
        self.store, self.rated = FakeStore(), rated
        self.world = World()
        self.world.versions = {v: Version(model="m") for v in ("v1", "v2")}
        self.world.models = {"m": Model(shares={}, incoming="v2")}
        self.begin("r-1", evidence)
        self.size = entries
        self.entries = [self.entry(f"entry-{i}") for i in range(entries)]
        self.judge = self.holder()

    def begin(self, rollout, evidence=0):
        known = self.store.get("rollouts", "m")
        record = Rollout(
            id=rollout,
            model="m",
            version="v2",
            old_shares={"v1": 1.0},
            state="raising",
            evidence=evidence,
        )
        self.store.put(
            "rollouts", "m", msgspec.to_builtins(record), known.revision
        )

    def entry(self, name, run="run"):
        daemon = FakeDaemon(name, "entry", "d", self.store)
        daemon.me = Hello(name, f"{name}-{run}", "entry", "d", b"")
        config = SimpleNamespace(world=self.world)
        return Watch(daemon, config, lambda: self.size)

    def holder(self):
        return FleetJudge(self.store, self.rated)

    def record(self):
        return decode_rollout(self.store.get("rollouts", "m"))

    def round(self):
        """Have each entry publish, and the holder judge."""
        for entry in self.entries:
            entry.publish_all()
        record = self.record()
        verdict = self.judge.verdict(record)
        levels = self.judge.levels(record)
        if levels != record.levels:
            stored = self.store.get("rollouts", "m")
            record.levels = levels
            value = msgspec.to_builtins(record)
            self.store.put("rollouts", "m", value, stored.revision)
        return verdict

    def know_old(self, rating=0.9):
        """Have the old version rated until its level is published."""
        for entry in self.entries:
            for _ in range(60):
                entry.add_request("v1", False)
                entry.add_rating("v1", rating)
        self.round()
        self.round()

    def seen(self):
        return self.holder().refresh(self.record())


def test_evidence_of_several_entries_suffices_together():
    fleet = Fleet(entries=4)
    fleet.know_old()
    for entry in fleet.entries[:3]:
        entry.add_request("v2", True)
    assert isinstance(fleet.round(), Return)
    for stored in fleet.store.objects["exposure"].values():
        assert not msgspec.convert(stored.value, Increments).reason()


@pytest.mark.parametrize(
    ("rating", "answers", "expected"),
    [
        (0.9, 200, GoOn),
        (0.9, 20, Hold),
        (0.6, 200, Return),
        # The rating service is down: missing ratings are not good ratings.
        (None, 200, Hold),
    ],
)
def test_verdict(rating, answers, expected):
    fleet = Fleet(evidence=400)
    fleet.know_old()
    for _ in range(2):
        for entry in fleet.entries:
            for index in range(answers // 2):
                entry.add_request("v2", False)
                if index % 10 == 0 and rating is not None:
                    entry.add_rating("v2", rating)
        verdict = fleet.round()
    assert isinstance(verdict, expected)


def test_an_old_version_that_is_always_poor_is_known_too():
    fleet = Fleet(evidence=20)
    fleet.know_old(rating=0.0)
    for _ in range(20):
        fleet.entries[0].add_request("v2", False)
        fleet.entries[0].add_rating("v2", 0.0)
    assert isinstance(fleet.round(), GoOn)


def test_without_a_rating_service_errors_decide():
    fleet = Fleet(evidence=100, rated=False)
    for _ in range(100):
        fleet.entries[0].add_request("v2", False)
    assert isinstance(fleet.round(), GoOn)


def test_crashed_engine_is_not_attributed_to_the_new_version():
    """Guards against the rollback of a healthy version by an engine's crash.

    The engine serves both versions. Within one publication most answers of
    both fail, while the level is still the one from before.
    """
    fleet = Fleet()
    fleet.know_old()
    for index in range(20):
        fleet.entries[0].add_request("v1", index > 2)
        if index % 5 == 4:
            fleet.entries[0].add_request("v2", True)
    assert not isinstance(fleet.round(), Return)


def test_next_holder_has_all_evidence_of_the_last():
    """Guards against evidence that is lost or counted twice.

    Entries publish and the holder judges; then another daemon takes the lease
    and the entries publish again.
    """
    fleet = Fleet()
    fleet.know_old()
    for entry in fleet.entries:
        entry.add_request("v2", False)
    fleet.round()
    before = fleet.judge.refresh(fleet.record())
    fleet.judge = fleet.holder()
    fleet.entries[0].add_request("v2", True)
    assert not isinstance(fleet.round(), Return)
    after = fleet.judge.refresh(fleet.record())
    assert (after.answered, after.failed) == (before.answered + 1, 1)
    assert after == fleet.seen()
    fleet.entries[1].add_request("v2", True)
    fleet.entries[1].add_request("v2", True)
    assert isinstance(fleet.round(), Return)


def test_restarted_entry_loses_only_unpublished_evidence():
    """Guards against a sum that starts at zero and replaces an earlier one.

    An entry publishes, gets one more answer, is killed, restarts under its name
    and publishes again.
    """
    fleet = Fleet()
    for _ in range(5):
        fleet.entries[0].add_request("v2", False)
    fleet.round()
    fleet.entries[0].add_request("v2", False)
    fleet.entries[0] = fleet.entry("entry-0", "again")
    fleet.round()
    assert fleet.seen().answered == 5
    fleet.entries[0].add_request("v2", False)
    fleet.round()
    assert fleet.seen().answered == 6


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.sampled_from(
            ["add", "publish", "lost", "dropped", "late", "arrive", "restart"]
        ),
        max_size=30,
    )
)
def test_any_fates_of_writes_count_each_answer_once(events):
    """Guards against an increment that is counted twice or not at all.

    Writes are lost, late or never arrive, and entries restart, in any order.
    """
    fleet, seen, base = Fleet(entries=1), 0, 0
    for number, event in enumerate(events):
        match event:
            case "add":
                fleet.entries[0].add_request("v2", False)
                seen += 1
            case "publish" | "lost" | "dropped" | "late":
                if event != "publish":
                    fleet.store.write_outcomes.append(event)
                fleet.entries[0].publish_all()
                fleet.store.write_outcomes.clear()
            case "arrive" if fleet.store.late:
                fleet.store.apply_late_write()
            case "restart":
                fleet.store.late.clear()
                base = seen = fleet.seen().answered
                fleet.entries[0] = fleet.entry("entry-0", str(number))
        assert base <= fleet.seen().answered <= seen
    # Two rounds resolve conflicts with writes that arrived late.
    fleet.store.late.clear()
    for _ in range(3):
        fleet.entries[0].publish_all()
    assert fleet.seen().answered == seen


def test_outage_loses_no_evidence():
    fleet = Fleet()
    fleet.entries[0].add_request("v2", False)
    fleet.store.down = True
    fleet.entries[0].publish_all()
    fleet.store.down = False
    fleet.round()
    assert fleet.seen().answered == 1


def test_evidence_of_one_rollout_does_not_judge_the_next():
    """Guards against a rollback by the evidence on an earlier roll-out.

    A version fails and is rolled back, fixed and rolled out again, while an
    entry has not learned yet that the first roll-out ended.
    """
    fleet = Fleet()
    for _ in range(4):
        fleet.entries[0].add_request("v2", True)
    assert isinstance(fleet.round(), Return)
    fleet.entries[0].add_request("v2", True)
    fleet.begin("r-2")
    assert isinstance(fleet.round(), GoOn)
    assert fleet.seen().answered == 0


def test_ended_evidence_is_removed_and_running_evidence_never():
    """Guards against the removal of evidence on an active roll-out.

    A holder is paused after it listed the active roll-outs. Another roll-out
    begins and entries publish; then the holder removes evidence.
    """
    fleet = Fleet()
    fleet.entries[0].add_request("v2", False)
    fleet.round()
    frozen = fleet.holder()
    fleet.begin("r-2")
    fleet.entries[1].add_request("v2", False)
    fleet.round()
    # The holder listed the roll-outs before r-2 began.
    frozen.clean({"r-1"})
    assert fleet.seen().answered == 1
    for _ in range(3):
        fleet.judge.clean({"r-2"})
    left = [o.name for o in fleet.store.objects["exposure"].values() if o.value]
    assert left == ["r-2/entry-1-run"]


def test_no_more_writes_than_the_platform_takes():
    fleet = Fleet(entries=1)
    for size in (2, 100, 1200):
        fleet.size = size
        every = fleet.entries[0].interval_s()
        assert every >= PUBLISH_S
        assert size / every <= FLEET_WRITES_PER_S
    # Two concurrent roll-outs share the writes.
    fleet.entries[0].watched = {("m", "v2"): None, ("n", "w2"): None}
    assert 2 * size / fleet.entries[0].interval_s() <= FLEET_WRITES_PER_S
    fleet.entries[0].watched = {}
    # Without new evidence nothing is written.
    fleet.entries[0].add_request("v2", False)
    fleet.round()
    written = len(fleet.store.history)
    fleet.round()
    assert len(fleet.store.history) == written


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 1)), max_size=20))
@settings(derandomize=True, deadline=None, max_examples=50)
def test_shared_bets_multiply_to_the_bets_of_one(seen):
    """The sums of two entries equal those of one with all observations."""
    errors, ratings = ErrorEvidence(), RatingEvidence()
    parts = [Increments(), Increments()]
    for index, (is_error, rating) in enumerate(seen):
        errors.add(is_error, 0.05)
        ratings.add(rating, 0.8)
        parts[index % 2].add_requests(1, int(is_error), 0.05)
        parts[index % 2].add_rating(rating, 0.8)
    whole = sum_up(parts)
    for logs, wealths in (
        (whole.error_logs, errors.wealths),
        (whole.rating_logs, ratings.wealths),
    ):
        for log, wealth in zip(logs, wealths, strict=True):
            assert math.isclose(log, math.log(wealth), abs_tol=1e-9)
