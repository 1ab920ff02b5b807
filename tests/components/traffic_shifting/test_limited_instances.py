"""Tests of a roll-out to instances with limited request rates."""

import pytest

from lacewingdock.components.traffic_shifting.shift import SESSION_WAIT_S
from tests.components.traffic_shifting.fakes import Store, call, router


@pytest.mark.parametrize(
    ("taking", "goes_to_new"),
    [
        ({"i-0", "i-1", "i-2", "i-3"}, True),
        # A single available instance of the new version suffices.
        ({"i-0", "i-1", "i-3"}, True),
        ({"i-0", "i-1"}, False),
    ],
)
def test_new_version_without_a_turn_leaves_requests_to_the_old(
    clock, taking, goes_to_new
):
    """Guards against refusals while the old version has free slots.

    The new version's instances limit their request rates. A request selected
    for the new version finds all of them at their limit, and used to be allowed
    nowhere else.
    """
    shifts = router(Store())
    shift = shifts.running["svc"]
    drawn = next(f"s-{n}" for n in range(999) if shift.selects(f"s-{n}"))
    clock.now += SESSION_WAIT_S
    shifts.admits = taking.__contains__
    found = shifts.version("svc", call(1, drawn))
    assert found.allows("v2") is goes_to_new
    assert found.allows("v1") is not goes_to_new


def test_session_that_is_on_the_new_version_stays_there(clock):
    shifts = router(Store())
    clock.now += SESSION_WAIT_S
    shifts.admits = lambda _: False
    shifts.pins.pin("svc", "s", "v2")
    assert not shifts.version("svc", call(1, "s")).allows("v1")
