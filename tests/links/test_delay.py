"""Tests for telling how long a frame was on its way."""

import pytest

from lacewingdock.links import delay as delay_module
from lacewingdock.links.delay import WINDOW_S, DelayEstimator


@pytest.fixture
def clock(monkeypatch):
    """Seconds since boot at the receiver, in a list to be changed."""
    now = [1000.0]
    monkeypatch.setattr(delay_module, "since_boot", lambda: now[0])
    return now


@pytest.mark.parametrize("ahead_s", [-900.0, 0.0, 5000.0])
@pytest.mark.parametrize(
    ("sent_at", "read_at", "late_s"),
    [
        (2.0, 2.001, 0.0),
        # Read after a pause of the receiver, or held up on the way.
        (2.0, 5.001, 3.0),
        # Stamped, then held up at the sender.
        (1.0, 5.001, 4.0),
    ],
)
def test_delay_is_told_whatever_the_sender_s_clock_shows(
    clock, ahead_s, sent_at, read_at, late_s
):
    delay = DelayEstimator()
    clock[0] = 1000.001
    delay.record_stamp(int((1000.0 + ahead_s) * 1000))
    stamp = int((1000.0 + ahead_s + sent_at) * 1000)
    clock[0] = 1000.0 + read_at
    delay.record_stamp(stamp)
    assert delay.estimate_s(stamp) == pytest.approx(late_s, abs=0.002)


def test_clocks_that_drift_apart_make_nothing_late(clock):
    """Requests come to look late, hours after a link was opened.

    Symptom: an entry's attempts are all refused as given up.
    Events: the two clocks drift apart by 0.1 ms each second.
    Cause: the first frames' difference is held against all later ones.
    """
    delay = DelayEstimator()
    for second in range(0, 36_000, 5):
        clock[0] = 1000.0 + second
        stamp = int((1000.0 + second * (1 - 1e-4)) * 1000)
        delay.record_stamp(stamp)
        assert delay.estimate_s(stamp) < 2 * WINDOW_S * 1e-4 + 0.002


def test_frame_without_a_stamp_is_not_late(clock):
    delay = DelayEstimator()
    delay.record_stamp(0)
    assert delay.estimate_s(0) == 0.0
    delay.record_stamp(1000)
    clock[0] += 60
    assert delay.estimate_s(0) == 0.0
