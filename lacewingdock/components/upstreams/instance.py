"""Support for the state of one upstream instance."""

import math
import zlib
from enum import StrEnum
from typing import Final

from lacewingdock.components.upstreams.limits import RateLimit
from lacewingdock.components.upstreams.rest import Rest
from lacewingdock.components.upstreams.signals import Signals
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.world.backend import UpstreamEntry

# Half-life in seconds of the failure count: an upstream that crashed is back
# after some seconds, and its first good answers must then outweigh the crash.
FAILURE_HALF_LIFE_S: Final = 2.0
# Recent failures from which an instance is ejected as an outlier: it gets no
# request while others can.
EJECTION_FAILURES: Final = 1.5
# Seconds after which an ejected instance gets one trial request. Only a request
# shows that it serves again: a health check costs as much and proves less.
TRIAL_AFTER_S: Final = 1.0


class InstanceState(StrEnum):
    """State of an upstream instance, as the reason that restricts its use.

    Attributes:
        SOUND: No restriction.
        PASSED_OVER: Ejected as an outlier after recent failures.
        COLD: Started recently, or may have.
        RESTING: Asked this router for no requests for a while.
        LIMITED: Announces a limit on the rate of requests.
        LAPSED: The entry is missing since an outage of the store.
        SUPERSEDED: A later entry names the same address.
        CORDONED: An operator cordoned the failure domain.
        LEAVING: Draining, as announced by the instance or the platform.
        GONE: No longer listed, or replaced.
    """

    SOUND = "sound"
    PASSED_OVER = "passed_over"
    COLD = "cold"
    RESTING = "resting"
    LIMITED = "limited"
    LAPSED = "lapsed"
    SUPERSEDED = "superseded"
    CORDONED = "cordoned"
    LEAVING = "leaving"
    GONE = "gone"


def mark_of(incarnation: str) -> int:
    """Return the digest of an incarnation that routers exchange."""
    return zlib.crc32(incarnation.encode())


class UpstreamInstance:
    """One start of an upstream instance, with its state at this router.

    Attributes:
        clock: Source of monotonic time.
        entry: The entry in the platform's store.
        entry_created: Revision that created the entry that is listed now; it
            may have been removed and created again since the first one.
        mark: Digest of the incarnation, by which routers name the start to
            each other.
        signals: The signals that this start sent in its answers.
        running: Requests of this router that the instance has now.
        unread: Prompt tokens, in thousands, of those requests whose answers
            have not begun.
        failures: Recent failures, decaying with `FAILURE_HALF_LIFE_S`.
        last_received_at: Monotonic time of the last bytes received from the
            instance.
        peers_received_at: The same as reported by other routers.
        answered_at: Monotonic time at which the latest request, or liveness
            check, was sent that this very start answered.
        connect_failed_at: Monotonic time of the last failed connection.
        failed_at: Monotonic time for which `failures` was computed.
        trial_at: Monotonic time from which one trial request may be sent.
        cold_from: Monotonic time since which the instance is cold, as seen
            here.
        cold_until: Monotonic time until which the instance is cold, or may
            be.
        confirmed: Whether the instance said that it serves after its entry came
            back.
        lapsed: Whether the entry is missing since an outage of the store.
        superseded: Whether a later entry names the same address.
        cordoned: Whether an operator cordoned the failure domain.
        gone: Whether the instance is no longer listed, or was replaced.
    """

    __slots__ = (
        "answered_at",
        "clock",
        "cold_from",
        "cold_until",
        "confirmed",
        "connect_failed_at",
        "cordoned",
        "entry",
        "entry_created",
        "failed_at",
        "failures",
        "gone",
        "lapsed",
        "last_received_at",
        "mark",
        "peers_received_at",
        "running",
        "signals",
        "superseded",
        "trial_at",
        "unread",
    )

    def __init__(
        self,
        entry: UpstreamEntry,
        clock: Clock = STEADY,
        signals: Signals | None = None,
    ) -> None:
        """Create the state of a start from its entry and earlier signals."""
        self.clock = clock
        self.entry = entry
        self.entry_created = entry.created
        self.mark = mark_of(entry.incarnation)
        self.running = 0
        self.unread = 0.0
        self.failures = 0.0
        self.failed_at = self.clock.now()
        self.trial_at = 0.0
        self.last_received_at = 0.0
        self.peers_received_at = 0.0
        self.answered_at = -math.inf
        self.connect_failed_at = 0.0
        self.cold_from = 0.0
        self.cold_until = 0.0
        self.signals = signals or Signals()
        self.confirmed = False
        self.lapsed = False
        self.superseded = False
        self.cordoned = False
        self.gone = False

    @property
    def open(self) -> bool:
        """Whether the instance may get new requests at all."""
        return not (
            self.leaving or self.superseded or self.cordoned or self.gone
        )

    @property
    def leaving(self) -> bool:
        """Whether the instance is leaving, by its entry or its answers.

        While the store is away, only an answer can announce this.
        """
        return self.entry.leaving or self.signals.leaving

    @property
    def limit(self) -> RateLimit:
        """State of the rate limit that the instance announces."""
        return self.signals.limit

    @property
    def rest(self) -> Rest:
        """State of the rest that the instance asked for."""
        return self.signals.rest

    @property
    def alive_at(self) -> float:
        """Monotonic time at which any router last received bytes from it.

        In a large fleet a router has no other stream at most instances. By
        its own observations alone it would treat requests that wait in an
        instance's queue as lost, and their prompts would be read once more
        elsewhere.
        """
        return max(self.last_received_at, self.peers_received_at)

    def state(self, now: float) -> InstanceState:
        """Return the state, the most severe where several apply."""
        if self.gone:
            return InstanceState.GONE
        if self.leaving:
            return InstanceState.LEAVING
        if self.cordoned:
            return InstanceState.CORDONED
        if self.superseded:
            return InstanceState.SUPERSEDED
        if self.lapsed:
            return InstanceState.LAPSED
        if now < self.rest.until:
            return InstanceState.RESTING
        if self.recent_failures(now) >= EJECTION_FAILURES:
            return InstanceState.PASSED_OVER
        if self.is_cold(now):
            return InstanceState.COLD
        if self.is_limited(now):
            return InstanceState.LIMITED
        return InstanceState.SOUND

    def accepts_requests(self, now: float) -> bool:
        """Whether the instance is open and not resting; it may be paced."""
        return self.open and now >= self.rest.until

    def is_cold(self, now: float) -> bool:
        """Whether the instance is cold, or may be."""
        return now < self.cold_until

    def is_limited(self, now: float) -> bool:
        """Whether a rate limit of the instance is in effect."""
        return now < self.limit.until

    def is_paced(self, now: float) -> bool:
        """Whether requests to the instance are paced.

        They are while it is cold, or may be, has a rate limit, rests, or has
        rested recently.
        """
        return (
            self.is_cold(now)
            or self.is_limited(now)
            or now < self.rest.careful_until
        )

    def assume_cold(self, for_s: float) -> None:
        """Treat the instance as cold for at least `for_s` seconds from now."""
        left_s = self.cold_until - self.clock.now()
        self.set_cold_for(max(left_s, for_s))

    def set_cold_for(self, left_s: float) -> None:
        """Set the seconds for which it stays cold; 0 or less if warm."""
        if left_s <= 0.0:
            self.cold_until = 0.0
            return
        now = self.clock.now()
        if not self.is_cold(now):
            self.cold_from = now
        self.cold_until = now + left_s

    def recent_failures(self, now: float) -> float:
        """Return the failure count, decayed to a monotonic time."""
        age = max(now - self.failed_at, 0.0)
        return float(self.failures * 0.5 ** (age / FAILURE_HALF_LIFE_S))

    def failed(self, weight: float) -> None:
        """Count a failure and postpone the next trial request."""
        now = self.clock.now()
        self.failures = self.recent_failures(now) + weight
        self.failed_at = now
        self.trial_at = now + TRIAL_AFTER_S

    def answered(self, sent_at: float) -> None:
        """Record that it answered a request sent at a monotonic time."""
        self.answered_at = max(self.answered_at, sent_at)

    def record_connect_failure(self) -> None:
        """Record a failed connection and count it as a failure."""
        self.connect_failed_at = self.clock.now()
        self.failed(1.0)

    def succeeded(self) -> None:
        """Count a good answer, which cancels one failure."""
        now = self.clock.now()
        self.failures = max(self.recent_failures(now) - 1.0, 0.0)
        self.failed_at = now
