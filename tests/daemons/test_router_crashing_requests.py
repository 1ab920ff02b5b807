"""Tests of routers whose engines are crashed by a poison request."""

import pytest

from tests.daemons.crash_engines import CrashMode
from tests.daemons.crash_site import CRASHES, CrashSite
from tests.waiting import wait

# Seconds: the third engine crashes within the first, and what remains is longer
# than the contact time.
SCENARIO_S = 8.0


@pytest.mark.parametrize(
    "crash_mode",
    [
        pytest.param(CrashMode(first="event"), id="an event first"),
        pytest.param(
            CrashMode(first="event", soft=True), id="an event first, closed"
        ),
        pytest.param(
            CrashMode(first="bare head"), id="a head without a length, closed"
        ),
        pytest.param(CrashMode(port_s=0.3), id="an open port"),
        pytest.param(
            CrashMode(port_s=1.2, hangs_s=1.0), id="a port that hangs"
        ),
    ],
)
def test_request_that_ended_three_engines_is_held_back(tmp_path, crash_mode):
    """Guards against crashes that are not detected, as they are no mere reset.

    Symptom: one request crashes engine after engine, and a third of all other
    requests fail. Sequence: the engine begins to answer and crashes, or its
    port accepts connections for a while afterwards. Cause: a partial answer or
    a closed connection did not count as a loss, and an open port counted as a
    live engine.
    """
    site = CrashSite(tmp_path, crash_mode)
    try:
        found = site.run_bad_requests(SCENARIO_S)
    finally:
        site.close()
    assert found.ended >= CRASHES
    assert found.late == 0
    assert not found.harmless[429]


def test_routers_that_are_all_killed_still_hold_it_back(tmp_path):
    """Guards against losing the evidence of three crashes with the routers.

    Symptom: a request crashes four engines and more beyond the first three.
    Sequence: all routers hold the request back; all are killed and restarted.
    Cause: the evidence was in their memory only; that in the store was void.
    """
    site = CrashSite(tmp_path, CrashMode())
    try:
        before = site.run_bad_requests(3.0).ended
        for router in site.routers:
            router.stop()
            router.start()
        wait(lambda: all(router.is_ready() for router in site.routers))
        found = site.run_bad_requests(4.0)
    finally:
        site.close()
    assert before >= CRASHES
    assert found.ended == before


@pytest.mark.parametrize(
    ("times", "every_s", "action"),
    [
        pytest.param(16, 0.4, lambda e: e.end(1), id="one after the other"),
        pytest.param(3, 2.5, lambda e: e.end(4), id="half of them at once"),
        pytest.param(20, 0.3, lambda e: e.reset(), id="resets alone"),
    ],
)
def test_harmless_requests_are_not_held_back(tmp_path, times, every_s, action):
    """Guards against holding back requests for crashes that others caused."""
    site = CrashSite(tmp_path, CrashMode())
    try:
        found = site.disturb(times, every_s, lambda: action(site.engines))
    finally:
        site.close()
    assert not found.harmless[429]
    assert found.harmless[200] > 0
