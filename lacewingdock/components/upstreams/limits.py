"""Support for the limit that an upstream instance names."""

import math
from dataclasses import dataclass
from typing import Final

# What another router told counts for this long after it heard it itself: those
# that share the instance meet its limit again within a few seconds, unless it
# takes next to nothing.
PEER_LIMIT_S: Final = 15.0


@dataclass(slots=True)
class RateLimit:
    """What this router believes of one instance's limit.

    A limit ends with an answer to a request that was sent after the limit was
    last heard of, since answers overtake each other. Whoever changes it holds
    the lock of the memory that it is from.

    Attributes:
        own_per_s: Requests a second that it takes from all routers, as it
            told this one; None while it names none.
        named_at: Monotonic time of the last answer that named it.
        ended_at: Monotonic time at which the last request was sent whose
            answer named none.
        told_per_s: What it told another router; None where nobody told.
        told_at: Monotonic time at which that router had heard it.
        since: Monotonic time from which there is a limit.
        until: Monotonic time up to which there is one, as far as is known:
            infinity where the instance told this router itself.
        logged: What the log has of it.
    """

    own_per_s: float | None = None
    named_at: float = -math.inf
    ended_at: float = -math.inf
    peer_per_s: float | None = None
    peer_observed_at: float = -math.inf
    since: float = 0.0
    until: float = -math.inf
    logged: float | None = None

    def at(self, now: float) -> float | None:
        """Return the requests a second that hold now; None for any number.

        What another router tells can lower the limit, for a while, and never
        raise or end it: a message may be late, or not true.
        """
        if now >= self.until:
            return None
        # Read once: an answer may end it at any moment.
        own, told = self.own_per_s, self.peer_per_s
        if told is None or not self._holds_told(now):
            return own
        return told if own is None else min(own, told)

    def named(self, per_s: float, sent_at: float, now: float) -> None:
        """Take a limit that an answer names; one that was overtaken is old."""
        self._begin(now)
        is_higher = self.own_per_s is not None and per_s > self.own_per_s
        if is_higher and sent_at <= self.named_at:
            return
        self.own_per_s, self.named_at = per_s, now
        self.settle()

    def named_none(self, sent_at: float) -> None:
        """Take that the answer to a request names none."""
        if sent_at > self.named_at:
            self.own_per_s = None
            self.ended_at = max(self.ended_at, sent_at)
            self.settle()

    def told(self, per_s: float, heard_at: float, now: float) -> bool:
        """Take what another router heard; return whether that is news."""
        if heard_at <= max(self.peer_observed_at, self.ended_at):
            return False
        self._begin(now)
        self.peer_per_s, self.peer_observed_at = per_s, heard_at
        self.settle()
        return True

    def settle(self) -> None:
        """Reckon anew up to when there is a limit."""
        if self.own_per_s is not None:
            self.until = math.inf
        elif self.peer_observed_at > self.ended_at:
            self.until = self.peer_observed_at + PEER_LIMIT_S
        else:
            self.until = -math.inf

    def _begin(self, now: float) -> None:
        """Note a limit that is about to be there, if there was none."""
        if self.at(now) is None:
            self.since = now

    def _holds_told(self, now: float) -> bool:
        """Whether what another router told is news, and not too old."""
        last = max(self.named_at, self.ended_at)
        return (
            last < self.peer_observed_at
            and now < self.peer_observed_at + PEER_LIMIT_S
        )
