"""Tests for process pauses with crashing requests, in virtual time.

To run other seeds, set TEST_PAUSE_SEEDS="0-199".
"""

import random

import pytest

from lacewingdock.const import RAN_NO
from tests.components.quarantine.seeds import seeds
from tests.components.quarantine.virtual_fleet import CRASHING, Fleet

HARMLESS = 20
START_S = 2.0
SPAN_S = 3.0
END_S = 30.0


def draw(monkeypatch, seed):
    """Return a fleet with pauses and requests drawn from a seed."""
    rng = random.Random(seed)
    fleet = Fleet(
        monkeypatch,
        workers=rng.randint(1, 12),
        entries=rng.randint(1, 4),
        crash_after_s=rng.choice([0.0, 0.0, rng.uniform(0.0, 1.0)]),
        restart_s=rng.choice([None, 1.0]),
    )
    processes = fleet.processes()
    for process in rng.sample(
        processes, min(len(processes), rng.randint(1, 2))
    ):
        begin = START_S + rng.uniform(-0.5, 2.0)
        process.pauses.append((begin, begin + rng.uniform(0.0, 10.0)))
    spread_s = rng.choice([0.0, 0.05, 1.5])
    begin = START_S + rng.uniform(0.0, 1.0)
    for number in range(rng.choice([1, 2, 5, 20, 50, 100])):
        at_s = begin + rng.uniform(0.0, spread_s)
        entry = rng.choice(fleet.entries)
        fleet.send(at_s, entry, f"crash-{number}", CRASHING)
    for number in range(HARMLESS):
        at_s = START_S + rng.uniform(0.0, SPAN_S)
        entry = rng.choice(fleet.entries)
        # In each group of four, the last two requests have equal bodies.
        body = b"plan %d" % (number - number % 4 // 3)
        fleet.send(at_s, entry, f"plan-{number}", body)
    return fleet


@pytest.mark.parametrize("seed", seeds("0-7"))
def test_pauses_in_a_fleet_cost_two_engines_at_most(monkeypatch, seed):
    """Symptom: more engines crash, or harmless requests are quarantined.

    Events: any one or two processes are paused for up to 10 s at any moment
    while copies of a crashing request and harmless requests are sent.
    """
    fleet = draw(monkeypatch, seed)
    fleet.vt.run(until=END_S)
    assert len(fleet.crashed()) <= 2, fleet.crashed()
    refusals = {name: reply for name, reply in fleet.replies.items() if reply}
    false_refusals = [
        name
        for name, reply in refusals.items()
        if reply[1] == RAN_NO and name in fleet.started_requests
    ]
    assert not false_refusals
    assert "waits" not in refusals.values()
    harmless = {n: r for n, r in refusals.items() if n.startswith("plan")}
    assert not [n for n, r in harmless.items() if r[0] == "quarantined"]
