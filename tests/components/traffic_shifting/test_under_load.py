"""Tests of a version that fails only under load that builds up slowly."""

import heapq
import random
import time

import pytest

from tests.components.traffic_shifting.fakes import (
    DURATION_S,
    Store,
    call,
    router,
    sample,
    sync,
)

# A service of nine engines, each with twenty concurrent streams of 4 s.
ENGINES = 9
STREAM_S = 4.0
REQUESTS_PER_S = 45
# The version fails half of the requests that begin at an engine with more
# running requests than this.
SOUND_UP_TO = 12
FAILED_S = 0.1
ROUND_S = 0.25
# The rollback bound: no request to the version later than this many seconds
# after its fiftieth bad answer.
BAD_ANSWERS = 50
ROLLBACK_S = 5.0


def roll_out(clock, monkeypatch, routers, bad_part):
    """Roll a version out under full load.

    Args:
        clock: The fake clock.
        monkeypatch: The test's fixture.
        routers: Number of routers that share the requests.
        bad_part: Share of the requests that the version fails under overload.

    Returns:
        For each request to the version after its fiftieth bad answer, the
        seconds by which it missed the rollback bound, and the store.
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
                sync(shifts, store)
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


def test_version_that_fails_under_full_load_gets_no_late_requests(
    clock, monkeypatch
):
    """Guards against requests 5.1 s after a version's 50th bad answer.

    The version has two bad answers of 58 during the canary. All requests move
    in the last eighth of the order's time, 0.7 s with half and 0.6 s with all
    of them, until the order is completed. Streams last four seconds, so an
    engine has five of them then, where the old version's engines have twenty.
    The version fails from one second after the completion on.

    The move is shorter than the time in which load builds up, and the canary's
    share is spread over all engines of the new version.
    """
    late, store = roll_out(clock, monkeypatch, routers=1, bad_part=0.5)
    assert max(late, default=-ROLLBACK_S) <= 0.0, (
        f"{sum(one > 0 for one in late)} requests, {store.order.status}"
    )


@pytest.mark.parametrize("routers", [4, 68])
def test_version_that_fails_under_full_load_is_rolled_back_by_all(
    clock, monkeypatch, routers
):
    """Each router sees only a part of the answers."""
    late, store = roll_out(clock, monkeypatch, routers, bad_part=0.5)
    assert max(late, default=-ROLLBACK_S) <= 0.0
    assert store.order.status["state"] == "rolled_back"


@pytest.mark.parametrize("routers", [1, 4, 68])
def test_good_version_is_completed_in_its_time(clock, monkeypatch, routers):
    """The full-load stage must not delay a good version."""
    _, store = roll_out(clock, monkeypatch, routers, bad_part=0.0)
    assert store.order.status["state"] == "completed"
