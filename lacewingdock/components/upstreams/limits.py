"""Support for the rate limit that an upstream instance announces."""

import math
from dataclasses import dataclass
from typing import Final

# Seconds for which a limit reported by another router holds after that router
# observed it: routers that share the instance get the limit in an answer of
# their own within a few seconds, unless the instance accepts hardly any
# requests.
PEER_LIMIT_S: Final = 15.0


@dataclass(slots=True)
class RateLimit:
    """State of one instance's rate limit, as seen by this router.

    Answers overtake each other, so a limit ends only with an answer to a
    request that was sent after the limit was last announced. Changes require
    the lock of the signal memory that holds the limit.

    Attributes:
        own_per_s: Requests a second that the instance accepts from all routers
            together, as announced to this router; None without a limit.
        named_at: Monotonic time of the last answer that announced it.
        ended_at: Monotonic time at which the last request was sent whose
            answer announced no limit.
        peer_per_s: The same as `own_per_s`, as announced to another router;
            None where no router reported one.
        peer_observed_at: Monotonic time at which that router observed it.
        since: Monotonic time from which a limit is in effect.
        until: Monotonic time until which the limit is in effect: infinity
            where the instance announced it to this router.
        logged: The limit in requests a second that was logged last.
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
        """Return the limit in requests a second; None without a limit.

        A report of another router can lower the limit for a while, and never
        raise or end it: the message may be late, or false.
        """
        if now >= self.until:
            return None
        # Read once: another task may end the limit at any moment.
        own, peer = self.own_per_s, self.peer_per_s
        if peer is None or not self._peer_limit_holds(now):
            return own
        return peer if own is None else min(own, peer)

    def set_own(self, per_s: float, sent_at: float, now: float) -> None:
        """Set the limit that an answer announces.

        A higher limit is ignored when the request was sent before the present
        limit was announced: its answer was overtaken.

        Args:
            per_s: Requests a second.
            sent_at: Monotonic time at which the request was sent.
            now: Monotonic time.
        """
        self._begin(now)
        is_higher = self.own_per_s is not None and per_s > self.own_per_s
        if is_higher and sent_at <= self.named_at:
            return
        self.own_per_s, self.named_at = per_s, now
        self.update_until()

    def clear_own(self, sent_at: float) -> None:
        """End the own limit after an answer without one.

        Args:
            sent_at: Monotonic time at which the request was sent; ignored if it
                is not after the last announcement.
        """
        if sent_at > self.named_at:
            self.own_per_s = None
            self.ended_at = max(self.ended_at, sent_at)
            self.update_until()

    def apply_peer(self, per_s: float, observed_at: float, now: float) -> bool:
        """Apply a limit from another router; return whether it is newer."""
        if observed_at <= max(self.peer_observed_at, self.ended_at):
            return False
        self._begin(now)
        self.peer_per_s, self.peer_observed_at = per_s, observed_at
        self.update_until()
        return True

    def update_until(self) -> None:
        """Recompute `until` after a change."""
        if self.own_per_s is not None:
            self.until = math.inf
        elif self.peer_observed_at > self.ended_at:
            self.until = self.peer_observed_at + PEER_LIMIT_S
        else:
            self.until = -math.inf

    def _begin(self, now: float) -> None:
        """Set `since` if no limit is in effect yet."""
        if self.at(now) is None:
            self.since = now

    def _peer_limit_holds(self, now: float) -> bool:
        """Whether the reported limit is the newest and has not expired."""
        last = max(self.named_at, self.ended_at)
        return (
            last < self.peer_observed_at
            and now < self.peer_observed_at + PEER_LIMIT_S
        )
