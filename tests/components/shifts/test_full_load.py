"""Test of a version whose fault shows under a load that builds up slowly."""

import heapq
import random
import time

import pytest

from tests.components.shifts.fakes import (
    DURATION_S,
    Store,
    call,
    router,
    sample,
    see,
)

# A service of nine engines, with twenty streams of four seconds at each.
ENGINES = 9
STREAM_S = 4.0
REQUESTS_PER_S = 45
# The version fails half of what begins at an engine with more than this.
SOUND_UP_TO = 12
FAILED_S = 0.1
ROUND_S = 0.25
# The promise: nothing so long after the version's fiftieth bad answer.
BAD_ANSWERS = 50
ROLLBACK_S = 5.0


def roll_out(clock, monkeypatch, routers, bad_part):
    """Roll a version out under full load.

    Args:
        clock: The time.
        monkeypatch: Of the test.
        routers: How many share the requests.
        bad_part: Part of the answers that it fails beyond its load.

    Returns:
        By how many seconds each of its requests came after the end of the
        promise's time, and the store.
    """
    draw = random.Random(1)
    store = Store()
    entries = ("v1",) * ENGINES + ("v2",) * ENGINES
    fleet = [router(store, f"r-{n}", entries) for n in range(routers)]
    monkeypatch.setattr(time, "monotonic", lambda: clock.now)
    start, running, bad_at, ends, late = clock.now, {}, [], [], []
    for number in range(int(1.6 * DURATION_S * REQUESTS_PER_S)):
        clock.now = start + number / REQUESTS_PER_S
        while ends and ends[0][0] <= clock.now:
            at, _, shifts, instance, version, bad = heapq.heappop(ends)
            running[instance] -= 1
            fleet[shifts].add(sample(version, instance, bad), "")
            if bad:
                bad_at.append(at)
        if number % int(ROUND_S * REQUESTS_PER_S) == 0:
            for shifts in fleet:
                shifts.round()
            for shifts in fleet:
                see(shifts, store)
        shifts = fleet[number % routers]
        rule = shifts.version("svc", call(number))
        chosen = min(
            (
                one.entry
                for one in shifts.directory.of_service("svc")
                if rule.admits(one.entry)
            ),
            key=lambda one: (running.get(one.id, 0), draw.random()),
        )
        known = running.get(chosen.id, 0)
        running[chosen.id] = known + 1
        is_new = chosen.version == "v2"
        bad = is_new and known > SOUND_UP_TO and draw.random() < bad_part
        ends_at = clock.now + (FAILED_S if bad else STREAM_S)
        end = (number % routers, chosen.id, chosen.version, bad)
        heapq.heappush(ends, (ends_at, number, *end))
        if is_new and len(bad_at) >= BAD_ANSWERS:
            late.append(clock.now - bad_at[BAD_ANSWERS - 1] - ROLLBACK_S)
        if clock.now > start + DURATION_S and bad_part == 0.0:
            break
    return late, store


def test_version_that_fails_under_full_load_is_left(clock, monkeypatch):
    """Symptom: a bad version gets requests 5.1 s after its 50th bad answer.

    Sequence: the version has two bad answers of fifty-eight while it gets its
    first share. All requests move in the last eighth of the order's time: 0.7
    s at half, 0.6 s at all of them, until the order is completed. Streams
    last four seconds, so an engine has five of them then, where the old
    version's have twenty. It fails from one second after the completion on.

    Cause: the move is shorter than the time in which load builds up, and the
    share before it is spread over all engines of the new version.
    """
    late, store = roll_out(clock, monkeypatch, routers=1, bad_part=0.5)
    assert max(late, default=-ROLLBACK_S) <= 0.0, (
        f"{sum(one > 0 for one in late)} requests, {store.order.status}"
    )


@pytest.mark.parametrize("routers", [4, 68])
def test_version_that_fails_under_full_load_is_left_by_all(
    clock, monkeypatch, routers
):
    """The same, where each router sees a part of the answers only."""
    late, store = roll_out(clock, monkeypatch, routers, bad_part=0.5)
    assert max(late, default=-ROLLBACK_S) <= 0.0
    assert store.order.status["state"] == "rolled_back"


@pytest.mark.parametrize("routers", [1, 4, 68])
def test_good_version_is_completed_in_its_time(clock, monkeypatch, routers):
    """What is loaded ahead must not hold a good version up."""
    _, store = roll_out(clock, monkeypatch, routers, bad_part=0.0)
    assert store.order.status["state"] == "completed"
