"""Tests of routers whose engines are crashed by a part of a prompt."""

import os
import signal
import time

import pytest

from tests.daemons.crash_engines import CrashMode
from tests.daemons.crash_part_site import CRASHES, CrashPartSite

# Seconds of sound requests alone, and of bad requests beside them.
CALM_S = 2.0
TROUBLE_S = 12.0
# Requests with a bad part that may reach engines after the contact time.
MAX_LATE = 3
# Seconds for which the store is away, and for which a router is paused.
AWAY_S = 6.0
PAUSE_S = 0.6


def store_away(site):
    """Stop the store's process for a while."""
    os.kill(site.platform.pid, signal.SIGSTOP)
    time.sleep(AWAY_S)
    os.kill(site.platform.pid, signal.SIGCONT)


def routers_paused(site):
    """Pause the routers in turn."""
    for router in site.routers * 2:
        os.kill(router.popen.pid, signal.SIGSTOP)
        time.sleep(PAUSE_S)
        os.kill(router.popen.pid, signal.SIGCONT)


def check(site, disturb=lambda _: None):
    """Run bad requests beside sound ones, and check who is refused."""
    try:
        found = site.run(CALM_S, TROUBLE_S, disturb)
    finally:
        site.close()
    assert found.crashes >= CRASHES - 1
    assert found.late <= MAX_LATE
    assert found.served_ratio >= 0.5
    assert not found.refused


@pytest.mark.parametrize(
    ("crash_mode", "options"),
    [
        pytest.param(CrashMode(), {}, id="reset"),
        pytest.param(CrashMode(), {"gossip": True}, id="reset, gossip"),
        pytest.param(
            CrashMode(first="event", soft=True),
            {"gossip": True},
            id="an event first, closed",
        ),
        pytest.param(
            CrashMode(first="bare event"),
            {},
            id="an event without a length, closed",
        ),
        pytest.param(
            CrashMode(port_s=0.3), {"kind": "idempotent"}, id="whole answers"
        ),
        pytest.param(
            CrashMode(port_s=1.2, hangs_s=1.0), {}, id="a port that hangs"
        ),
        pytest.param(
            CrashMode(),
            {"kind": "non_idempotent", "part_first": True},
            id="run once, the part first",
        ),
        pytest.param(CrashMode(), {"parts": 80}, id="rare sound parts"),
    ],
)
def test_part_that_crashed_five_engines_is_held_back(
    tmp_path, crash_mode, options
):
    """Guards against crashes by requests that share only a prompt part."""
    check(CrashPartSite(tmp_path, crash_mode, **options))


@pytest.mark.parametrize("disturb", [store_away, routers_paused])
def test_part_is_held_back_while_routers_are_out_of_touch(tmp_path, disturb):
    """Guards against evidence that waits for the store or for one router."""
    check(CrashPartSite(tmp_path, CrashMode(), gossip=True), disturb)
