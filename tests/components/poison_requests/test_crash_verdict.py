"""Tests of deciding whether an instance crashed when it lost a request."""

import pytest

from lacewingdock.components.poison_requests.crash_verdict import (
    CrashVerdict,
    judge_crash,
)
from lacewingdock.components.upstreams.instance import UpstreamInstance
from tests.components.poison_requests.fleet import entry

LOST_AT = 100.0


@pytest.mark.parametrize(
    ("signs", "verdict"),
    [
        ({}, CrashVerdict.UNKNOWN),
        ({"answered_at": LOST_AT}, CrashVerdict.SURVIVED),
        # Sent before the loss: the instance may have ended since.
        ({"answered_at": LOST_AT - 0.01}, CrashVerdict.UNKNOWN),
        (
            {"answered_at": LOST_AT + 1, "connect_failed_at": LOST_AT + 2},
            "proved",
        ),
        ({"connect_failed_at": LOST_AT}, CrashVerdict.CRASHED),
        ({"connect_failed_at": LOST_AT - 0.01}, CrashVerdict.UNKNOWN),
        # Bytes that arrived before the loss may be read a little after it.
        ({"last_received_at": LOST_AT + 0.05}, CrashVerdict.UNKNOWN),
        ({"last_received_at": LOST_AT + 0.2}, CrashVerdict.LIKELY_ALIVE),
        (
            {"last_received_at": LOST_AT + 0.2, "connect_failed_at": LOST_AT},
            CrashVerdict.LIKELY_ALIVE,
        ),
        # A router without processor time may read bytes late.
        (
            {
                "last_received_at": LOST_AT + 0.2,
                "connect_failed_at": LOST_AT + 1,
            },
            "crashed",
        ),
    ],
)
def test_crash_verdict(signs, verdict):
    instance = UpstreamInstance(entry("i-1"))
    for name, value in signs.items():
        setattr(instance, name, value)
    assert judge_crash(instance, LOST_AT) == verdict


def test_missing_instance_has_crashed():
    assert judge_crash(None, LOST_AT) is CrashVerdict.CRASHED
