"""Tests of telling whether an instance crashed when it lost a request."""

import pytest

from lacewingdock.components.suspects.verdict import Fate, fate_of
from lacewingdock.components.upstreams.instance import UpstreamInstance
from tests.components.suspects.fleet import entry

LOST_AT = 100.0


@pytest.mark.parametrize(
    ("signs", "fate"),
    [
        ({}, Fate.UNKNOWN),
        ({"answered_at": LOST_AT}, Fate.PROVED),
        # Sent before the loss: the start may have ended since.
        ({"answered_at": LOST_AT - 0.01}, Fate.UNKNOWN),
        (
            {"answered_at": LOST_AT + 1, "connect_failed_at": LOST_AT + 2},
            "proved",
        ),
        ({"connect_failed_at": LOST_AT}, Fate.CRASHED),
        ({"connect_failed_at": LOST_AT - 0.01}, Fate.UNKNOWN),
        # Bytes that came before the loss may be read a little after it.
        ({"last_received_at": LOST_AT + 0.05}, Fate.UNKNOWN),
        ({"last_received_at": LOST_AT + 0.2}, Fate.LIVES),
        (
            {"last_received_at": LOST_AT + 0.2, "connect_failed_at": LOST_AT},
            Fate.LIVES,
        ),
        # They were read late by a router without processor time.
        (
            {
                "last_received_at": LOST_AT + 0.2,
                "connect_failed_at": LOST_AT + 1,
            },
            "crashed",
        ),
    ],
)
def test_what_became_of_an_instance(signs, fate):
    instance = UpstreamInstance(entry("i-1"))
    for name, value in signs.items():
        setattr(instance, name, value)
    assert fate_of(instance, LOST_AT) == fate


def test_what_is_gone_crashed():
    assert fate_of(None, LOST_AT) is Fate.CRASHED
