"""Support for waiting longer after each failure in a row."""

import random
from typing import Final

FACTOR: Final = 2.0


class Backoff:
    """Pauses that double up to a limit, each drawn at random below it.

    After an outage all daemons find the platform back at the same moment; a
    fixed pause would let them call in step and bring it down again.

    Attributes:
        first_s: Longest first pause, in seconds.
        limit_s: Longest pause, in seconds.
        failures: Failures in a row.
        source: Source of the draw.
    """

    __slots__ = ("failures", "first_s", "limit_s", "source")

    def __init__(
        self, first_s: float, limit_s: float, source: random.Random
    ) -> None:
        """Start without a failure."""
        self.first_s = first_s
        self.limit_s = limit_s
        self.source = source
        self.failures = 0

    def failed(self) -> float:
        """Count a failure and return the seconds to pause."""
        limit = min(self.limit_s, self.first_s * FACTOR**self.failures)
        # The exponent stays small however long the outage lasts.
        if limit < self.limit_s:
            self.failures += 1
        return limit * self.source.uniform(0.5, 1.0)

    def succeeded(self) -> None:
        """Start again from the first pause."""
        self.failures = 0
