"""Support for telling how long a frame was on its way.

Two machines' clocks have nothing in common but their pace. A frame bears its
sender's time; the least difference to the receiver's, over a while, is that
of the fastest frame, and what a frame exceeds it by is its delay.
"""

from typing import Final

from lacewingdock.helpers.clock import MS_PER_S, since_boot

# Clocks drift apart by up to 0.1 ms a second, so an old difference is
# forgotten: after two windows at the latest.
WINDOW_S: Final = 30.0
_UNKNOWN: Final = float("inf")


class DelayEstimator:
    """The delay of one peer's frames, without that of the fastest one."""

    __slots__ = ("_before", "_began", "_least")

    def __init__(self) -> None:
        """Start without any frame."""
        self._before = self._least = _UNKNOWN
        self._began = since_boot()

    def record_stamp(self, sent_ms: int) -> None:
        """Take the stamp of a frame that was just read; 0 is none."""
        if not sent_ms:
            return
        now = since_boot()
        if now - self._began > WINDOW_S:
            self._before, self._least = self._least, _UNKNOWN
            self._began = now
        self._least = min(self._least, now - sent_ms / MS_PER_S)

    def estimate_s(self, sent_ms: int) -> float:
        """Return how many seconds ago a frame should have been here.

        Args:
            sent_ms: The frame's stamp; 0 when it has none, which tells
                nothing: 0.0.
        """
        least = min(self._least, self._before)
        if not sent_ms or least == _UNKNOWN:
            return 0.0
        return max(0.0, since_boot() - sent_ms / MS_PER_S - least)
