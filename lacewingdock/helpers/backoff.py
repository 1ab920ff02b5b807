"""Exponential backoff with jitter."""

import random
from typing import Final

# Growth of the pause with each consecutive failure.
FACTOR: Final = 2.0


class Backoff:
    """Pauses that double up to a limit, with jitter of up to half of each.

    After an outage all daemons can reach the platform again at the same
    moment; with fixed pauses their calls would stay synchronized and overload
    it again.

    Attributes:
        first_s: Upper bound of the first pause, in seconds.
        limit_s: Upper bound of any pause, in seconds.
        failures: Consecutive failures, counted until the limit is reached.
        source: Random source of the jitter.
    """

    __slots__ = ("failures", "first_s", "limit_s", "source")

    def __init__(
        self, first_s: float, limit_s: float, source: random.Random
    ) -> None:
        """Start with no failures counted."""
        self.first_s = first_s
        self.limit_s = limit_s
        self.source = source
        self.failures = 0

    def failed(self) -> float:
        """Count a failure and return the seconds to pause."""
        limit = min(self.limit_s, self.first_s * FACTOR**self.failures)
        # Stops counting at the limit: a growing exponent would overflow in a
        # long outage.
        if limit < self.limit_s:
            self.failures += 1
        return limit * self.source.uniform(0.5, 1.0)

    def succeeded(self) -> None:
        """Reset to the first pause."""
        self.failures = 0
