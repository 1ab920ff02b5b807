"""Test of a version whose fault shows under a load that builds up slowly."""

import heapq
import random
import time

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
    draw = random.Random(1)
    store = Store()
    shifts = router(store, entries=("v1",) * ENGINES + ("v2",) * ENGINES)
    monkeypatch.setattr(time, "monotonic", lambda: clock.now)
    start, running, bad_at, ends, late = clock.now, {}, [], [], []
    for number in range(int(1.6 * DURATION_S * REQUESTS_PER_S)):
        clock.now = start + number / REQUESTS_PER_S
        while ends and ends[0][0] <= clock.now:
            at, _, instance, version, bad = heapq.heappop(ends)
            running[instance] -= 1
            shifts.add(sample(version, instance, bad), "")
            if bad:
                bad_at.append(at)
        if number % int(ROUND_S * REQUESTS_PER_S) == 0:
            shifts.round()
            see(shifts, store)
        rule = shifts.version("svc", call(number))
        chosen = min(
            (
                one.entry
                for one in shifts.directory.of_service("svc")
                if rule.allows(one.entry.version)
            ),
            key=lambda one: (running.get(one.id, 0), draw.random()),
        )
        known = running.get(chosen.id, 0)
        running[chosen.id] = known + 1
        is_new = chosen.version == "v2"
        bad = is_new and known > SOUND_UP_TO and draw.random() < 0.5
        ends_at = clock.now + (FAILED_S if bad else STREAM_S)
        heapq.heappush(ends, (ends_at, number, chosen.id, chosen.version, bad))
        if is_new and len(bad_at) >= BAD_ANSWERS:
            late.append(clock.now - bad_at[BAD_ANSWERS - 1] - ROLLBACK_S)
    assert max(late, default=-ROLLBACK_S) <= 0.0, (
        f"{sum(one > 0 for one in late)} requests, {store.order.status}"
    )
