"""Support for looking at an answer's pieces as they come."""

import time
from typing import Final

# Longer answers are left out of the rated sample: its memory is bounded.
MAX_KEPT_BYTES: Final = 256 * 1024


class Tap:
    """What is seen of an answer's pieces; most never meet the caller's task.

    Attributes:
        size: Bytes of the pieces.
        largest_gap_s: Longest pause between two pieces.
        kept: The pieces when they are to be rated; else None.
    """

    __slots__ = ("_last", "kept", "largest_gap_s", "size")

    def __init__(self, keep: bool) -> None:
        """Start before the first piece."""
        self.size = 0
        self.largest_gap_s = 0.0
        self.kept: list[bytes] | None = [] if keep else None
        self._last = 0.0

    def see(self, data: bytes) -> None:
        """Look at one piece; called for each token, so it does little."""
        now = time.monotonic()
        if self._last and now - self._last > self.largest_gap_s:
            self.largest_gap_s = now - self._last
        self._last = now
        self.size += len(data)
        if self.kept is not None:
            self.kept.append(data)
            if self.size > MAX_KEPT_BYTES:
                self.kept = None
