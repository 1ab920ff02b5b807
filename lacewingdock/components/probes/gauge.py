"""Support for the current load of an engine."""

import threading
from dataclasses import dataclass

from lacewingdock.components.probes import Load, RequestNotice
from lacewingdock.components.probes.const import (
    EXPECTED_TTL_S,
    MAX_EXPECTED_REQUESTS,
    MAX_REPORT_AGE_S,
    MAX_UNREAD,
)
from lacewingdock.helpers.clock import STEADY, Clock
from lacewingdock.world.engine_load import EngineLoad


@dataclass(slots=True)
class _ExpectedRequest:
    """A request that a router announced.

    Attributes:
        unread: Its unread prompt tokens, in thousands.
        until: Moment until which it counts if it does not arrive.
        arrived: Whether the engine reported it.
    """

    unread: float
    until: float
    arrived: bool = False


class EngineGauge:
    """The load of an engine: its last report and the requests announced since.

    Attributes:
        clock: Source of the current time.
        report: The last report; None if it can't be read.
        read_at: Moment at which the read of it began.
    """

    __slots__ = ("_expected", "_lock", "clock", "read_at", "report")

    def __init__(self, clock: Clock = STEADY) -> None:
        """Start without a report."""
        self.clock = clock
        self.report: EngineLoad | None = None
        self.read_at = 0.0
        self._expected: dict[str, _ExpectedRequest] = {}
        self._lock = threading.Lock()

    def load(self, number: int) -> Load:
        """Return the answer to the query with a number."""
        now = self.clock.now()
        with self._lock:
            if self.report is None or now - self.read_at > MAX_REPORT_AGE_S:
                return Load(number, 0, 0.0, lost=True)
            expected = list(self._expected.values())
            coming = sum(
                not one.arrived and one.until >= now for one in expected
            )
            unread = sum(
                one.unread
                for one in expected
                if one.arrived or one.until >= now
            )
            running = self.report.running + self.report.waiting + coming
        return Load(number, running, min(unread, MAX_UNREAD))

    def expect(self, notice: RequestNotice) -> None:
        """Count an announced request until it arrives or expires."""
        until = self.clock.now() + EXPECTED_TTL_S
        with self._lock:
            if len(self._expected) < MAX_EXPECTED_REQUESTS:
                self._expected[notice.request] = _ExpectedRequest(
                    notice.unread, until
                )

    def update(self, report: EngineLoad | None, asked_at: float) -> None:
        """Store a report, and update the announced requests by it.

        Args:
            report: The report; None if it can't be read.
            asked_at: Moment at which the read began.
        """
        now = self.clock.now()
        with self._lock:
            self.report, self.read_at = report, asked_at
            if report is None:
                self._expected.clear()
                return
            for request, one in list(self._expected.items()):
                events = report.events.get(request)
                if events is not None:
                    one.arrived = True
                    one.unread = 0.0 if events else one.unread
                elif one.arrived or one.until < now:
                    del self._expected[request]
