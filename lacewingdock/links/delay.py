"""Support for estimating the one-way delay of frames.

The clocks of two machines share only their rate. Each frame carries the
sender's timestamp. The minimum difference between the receive time and the
timestamp over a window belongs to the fastest frame; the delay of any other
frame is its difference in excess of that minimum.
"""

from typing import Final

from lacewingdock.helpers.clock import MS_PER_S, since_boot

# Seconds of a window of the minimum. Clocks drift apart by up to 0.1 ms per
# second, so a minimum expires after two windows at the latest.
WINDOW_S: Final = 30.0
_UNKNOWN: Final = float("inf")


class DelayEstimator:
    """Estimates the delay of a peer's frames relative to the fastest frame."""

    __slots__ = ("_current_min_s", "_previous_min_s", "_window_start_s")

    def __init__(self) -> None:
        """Build an estimator that has no samples yet."""
        self._previous_min_s = self._current_min_s = _UNKNOWN
        self._window_start_s = since_boot()

    def record_stamp(self, sent_ms: int) -> None:
        """Record the timestamp of a frame that was just received.

        Args:
            sent_ms: Timestamp of the frame; 0 if it has none.
        """
        if not sent_ms:
            return
        now = since_boot()
        if now - self._window_start_s > WINDOW_S:
            self._previous_min_s, self._current_min_s = (
                self._current_min_s,
                _UNKNOWN,
            )
            self._window_start_s = now
        self._current_min_s = min(self._current_min_s, now - sent_ms / MS_PER_S)

    def estimate_s(self, sent_ms: int) -> float:
        """Return by how many seconds a frame is late now.

        Args:
            sent_ms: Timestamp of the frame; 0 if it has none, for which the
                result is 0.0.
        """
        least = min(self._current_min_s, self._previous_min_s)
        if not sent_ms or least == _UNKNOWN:
            return 0.0
        return max(0.0, since_boot() - sent_ms / MS_PER_S - least)
