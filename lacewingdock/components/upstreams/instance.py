"""Support for one upstream instance and how it fares."""

import math
import zlib
from enum import StrEnum
from typing import Final

from lacewingdock.components.upstreams.limits import RateLimit
from lacewingdock.components.upstreams.rest import Rest
from lacewingdock.components.upstreams.signals import Signals
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.world.backend import UpstreamEntry

# Failures are forgotten by half in this time: an upstream that crashed is back
# after some seconds, and its first good answers shall weigh more than that.
FAILURE_HALF_LIFE_S: Final = 2.0
# Recent failures from which an instance gets no request while others can.
EJECTION_FAILURES: Final = 1.5
# An instance passed over is tried again with one request after this, since
# only a request shows that it is back: health checks cost as much and say
# less.
TRIAL_AFTER_S: Final = 1.0


class InstanceState(StrEnum):
    """What speaks against an upstream instance.

    Attributes:
        SOUND: Nothing.
        PASSED_OVER: It failed lately.
        COLD: It started lately, or may have.
        RESTING: It wants no request of this router for a while.
        LIMITED: It names a limit on the requests that it takes.
        LAPSED: Its entry is missing since an outage of the store.
        SUPERSEDED: A later entry names the same address.
        CORDONED: An operator cordoned its failure domain.
        LEAVING: It says that it leaves, or the platform does.
        GONE: It left.
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
    """Return the digest by which routers name a start to each other."""
    return zlib.crc32(incarnation.encode())


class UpstreamInstance:
    """An upstream instance and what this router saw of it.

    Attributes:
        clock: The time it goes by.
        entry: What the platform says of it.
        mark: Digest of its start, by which routers name it to each other.
        signals: What it says of itself in its answers.
        running: Requests of this router that are at it now.
        unread: Work of those whose answers have not begun.
        failures: Recent failures, halved again and again.
        heard_at: Monotonic time of the last bytes that came from it.
        others_heard_at: The same as other routers told it.
        answered_at: Monotonic time at which the latest request was sent that
            this very start answered, or a question whether it lives.
        unreached_at: Monotonic time at which it last took no connection.
        failed_at: Monotonic time up to which `failures` is reckoned.
        trial_at: Monotonic time from which one request may try it again.
        cold_from: Monotonic time from which it was cold, as seen here.
        cold_until: Monotonic time up to which it is cold, or may be.
        lapsed: Whether its entry is missing since an outage of the store.
        superseded: Whether a later entry names the same address.
        cordoned: Whether an operator cordoned its failure domain.
        gone: Whether it left.
    """

    __slots__ = (
        "answered_at",
        "clock",
        "cold_from",
        "cold_until",
        "connect_failed_at",
        "cordoned",
        "entry",
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
        """Take an entry; nothing is known against it but its word."""
        self.clock = clock
        self.entry = entry
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
        self.lapsed = False
        self.superseded = False
        self.cordoned = False
        self.gone = False

    @property
    def open(self) -> bool:
        """Whether new requests may go to it at all."""
        return not (
            self.leaving or self.superseded or self.cordoned or self.gone
        )

    @property
    def leaving(self) -> bool:
        """Whether it leaves, by its entry or by its own word.

        While the store is away no entry can say it.
        """
        return self.entry.leaving or self.signals.leaving

    @property
    def limit(self) -> RateLimit:
        """What is believed of the limit that it names."""
        return self.signals.limit

    @property
    def rest(self) -> Rest:
        """What is believed of the rest that it asked for."""
        return self.signals.rest

    @property
    def alive_at(self) -> float:
        """Monotonic time at which it last showed life to any router.

        In a large fleet a router has no other stream at most instances. By
        what it heard itself it would take requests that wait in an instance's
        queue for lost, and have their prompts read once more elsewhere.
        """
        return max(self.last_received_at, self.peers_received_at)

    def state(self, now: float) -> InstanceState:
        """Return what speaks against it, the gravest only."""
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
        """Whether a request may be sent to it now, in its turn."""
        return self.open and now >= self.rest.until

    def is_cold(self, now: float) -> bool:
        """Whether it is cold, or may be."""
        return now < self.cold_until

    def is_limited(self, now: float) -> bool:
        """Whether it names a limit."""
        return now < self.limit.until

    def is_paced(self, now: float) -> bool:
        """Whether requests to it need a turn.

        It is cold, or may be, names a limit, rests, or has rested lately.
        """
        return (
            self.is_cold(now)
            or self.is_limited(now)
            or now < self.rest.careful_until
        )

    def assume_cold(self, for_s: float) -> None:
        """Reckon with its being cold from now on."""
        left_s = self.cold_until - self.clock.now()
        self.set_cold_for(max(left_s, for_s))

    def set_cold_for(self, left_s: float) -> None:
        """Take for how many seconds it stays cold; 0 or less if it is warm."""
        if left_s <= 0.0:
            self.cold_until = 0.0
            return
        now = self.clock.now()
        if not self.is_cold(now):
            self.cold_from = now
        self.cold_until = now + left_s

    def recent_failures(self, now: float) -> float:
        """Return the failures, older ones counting less."""
        age = max(now - self.failed_at, 0.0)
        return float(self.failures * 0.5 ** (age / FAILURE_HALF_LIFE_S))

    def failed(self, weight: float) -> None:
        """Count a failure."""
        now = self.clock.now()
        self.failures = self.recent_failures(now) + weight
        self.failed_at = now
        self.trial_at = now + TRIAL_AFTER_S

    def answered(self, sent_at: float) -> None:
        """Note that it answered what was sent at a monotonic time."""
        self.answered_at = max(self.answered_at, sent_at)

    def record_connect_failure(self) -> None:
        """Count a connection that it did not take."""
        self.connect_failed_at = self.clock.now()
        self.failed(1.0)

    def succeeded(self) -> None:
        """Count a good answer: it takes the last failure back."""
        now = self.clock.now()
        self.failures = max(self.recent_failures(now) - 1.0, 0.0)
        self.failed_at = now
