"""Observation of an answer's pieces as they arrive."""

import time
from typing import Final

# Bytes of the longest answer kept for rating; bounds the memory of the sample.
MAX_KEPT_BYTES: Final = 256 * 1024


class Tap:
    """Size, gaps and content of an answer, observed piece by piece.

    Most pieces do not pass through the task that serves the caller.

    Attributes:
        size: Total bytes of the pieces.
        largest_gap_s: Longest time between two pieces, in seconds.
        kept: The pieces if the answer is to be rated; else None.
    """

    __slots__ = ("_last", "kept", "largest_gap_s", "size")

    def __init__(self, keep: bool) -> None:
        """Create a tap; `keep` keeps the pieces for rating."""
        self.size = 0
        self.largest_gap_s = 0.0
        self.kept: list[bytes] | None = [] if keep else None
        self._last = 0.0

    def observe_piece(self, data: bytes) -> None:
        """Record one piece; called for each token, so it must be cheap."""
        now = time.monotonic()
        if self._last and now - self._last > self.largest_gap_s:
            self.largest_gap_s = now - self._last
        self._last = now
        self.size += len(data)
        if self.kept is not None:
            self.kept.append(data)
            if self.size > MAX_KEPT_BYTES:
                self.kept = None
