"""Tests of routers before engines that one request ends."""

import pytest

from tests.daemons.crash_engines import Form
from tests.daemons.crash_site import CRASHES, CrashSite

# The third engine ends within a second, the rest is beyond the contact time.
PLAY_S = 8.0


@pytest.mark.parametrize(
    "form",
    [
        pytest.param(Form(first="event"), id="an event first"),
        pytest.param(
            Form(first="event", soft=True), id="an event first, closed"
        ),
        pytest.param(
            Form(first="bare head"), id="a head without a length, closed"
        ),
    ],
)
def test_request_that_ended_three_engines_is_held_back(tmp_path, form):
    """Guards against a crash that leaves no trace, as it isn't a reset alone.

    Symptom: one request ends engine after engine, and a third of all others
    are not served. Sequence: the engine begins to answer it and ends. Cause:
    what was answered in part, or closed, did not count as a loss.
    """
    site = CrashSite(tmp_path, form)
    try:
        found = site.play(PLAY_S)
    finally:
        site.close()
    assert found.ended >= CRASHES
    assert found.late == 0
    assert not found.harmless[429]
