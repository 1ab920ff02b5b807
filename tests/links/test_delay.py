"""Tests for the estimate of the delay of frames."""

import pytest

from lacewingdock.links import delay as delay_module
from lacewingdock.links.delay import WINDOW_S, DelayEstimator


@pytest.fixture
def clock(monkeypatch):
    """Provides the receiver's time since boot in a list that tests modify."""
    now = [1000.0]
    monkeypatch.setattr(delay_module, "since_boot", lambda: now[0])
    return now


@pytest.mark.parametrize("ahead_s", [-900.0, 0.0, 5000.0])
@pytest.mark.parametrize(
    ("sent_at", "read_at", "late_s"),
    [
        (2.0, 2.001, 0.0),
        # The receiver was paused, or the frame was delayed in transit.
        (2.0, 5.001, 3.0),
        # The frame was delayed at the sender after its timestamp was set.
        (1.0, 5.001, 4.0),
    ],
)
def test_estimate_is_independent_of_the_sender_clock_offset(
    clock, ahead_s, sent_at, read_at, late_s
):
    delay = DelayEstimator()
    clock[0] = 1000.001
    delay.record_stamp(int((1000.0 + ahead_s) * 1000))
    stamp = int((1000.0 + ahead_s + sent_at) * 1000)
    clock[0] = 1000.0 + read_at
    delay.record_stamp(stamp)
    assert delay.estimate_s(stamp) == pytest.approx(late_s, abs=0.002)


def test_clock_drift_does_not_make_frames_late(clock):
    """Guards against clock drift counting as delay on old links.

    The clocks drift apart by 0.1 ms per second. Hours after a link was opened,
    all attempts of an entry were rejected as abandoned, because later frames
    were compared with the clock difference of the first frames.
    """
    delay = DelayEstimator()
    for second in range(0, 36_000, 5):
        clock[0] = 1000.0 + second
        stamp = int((1000.0 + second * (1 - 1e-4)) * 1000)
        delay.record_stamp(stamp)
        assert delay.estimate_s(stamp) < 2 * WINDOW_S * 1e-4 + 0.002


def test_frame_without_timestamp_is_not_late(clock):
    delay = DelayEstimator()
    delay.record_stamp(0)
    assert delay.estimate_s(0) == 0.0
    delay.record_stamp(1000)
    clock[0] += 60
    assert delay.estimate_s(0) == 0.0
