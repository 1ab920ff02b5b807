"""Tests of routers whose engines are crashed by a part of a prompt."""

import pytest

from tests.daemons.crash_engines import CrashMode
from tests.daemons.crash_part_site import CRASHES, CrashPartSite

# Seconds of sound requests alone, and of bad requests beside them.
CALM_S = 2.0
TROUBLE_S = 12.0
# Requests with a bad part that may reach engines after the contact time.
MAX_LATE = 3


@pytest.mark.parametrize(
    "crash_mode",
    [pytest.param(CrashMode(), id="reset")],
)
def test_part_that_crashed_five_engines_is_held_back(tmp_path, crash_mode):
    """Guards against crashes by requests that share only a prompt part."""
    site = CrashPartSite(tmp_path, crash_mode)
    try:
        found = site.run(CALM_S, TROUBLE_S)
    finally:
        site.close()
    assert found.crashes >= CRASHES
    assert found.late <= MAX_LATE
    assert found.served_ratio >= 0.5
    assert not found.refused
