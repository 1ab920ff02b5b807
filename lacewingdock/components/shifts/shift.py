"""Support for one roll-out: how far it is and what it allows."""

import functools
import hashlib
import time
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.gossip import REPEAT_S
from lacewingdock.components.shifts.const import (
    BAD_WEALTH,
    CANARY_PART,
    FORCE_BEFORE_S,
    MIN_ANSWERS,
    MIN_BAD,
    MOVE_PART,
    RAMP_PART,
    RAMP_SHARE,
    SUSPECT_WEALTH,
)
from lacewingdock.components.shifts.evidence import (
    ChangeDetector,
    Evidence,
    tolerated,
)
from lacewingdock.components.shifts.report import Report, Stage
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.backend import ShiftOrder
from lacewingdock.world.call import Call

# A router that has just seen an order, or started, moves no session before it
# could hear from the others which must stay.
SETTLE_S: Final = 2 * REPEAT_S

_BUCKETS: Final = 10_000
# Draws that are remembered, for the sessions of some seconds: while a canary
# runs they are asked for with each message to the other routers.
DRAWS_KEPT: Final = 1024

log = get_logger("shifts")


@dataclass(slots=True, frozen=True)
class VersionRule:
    """Which versions may run a request.

    Attributes:
        only: The one version that may; empty for any.
        never: A version that may not; empty for none.
    """

    only: str = ""
    never: str = ""

    def allows(self, version: str) -> bool:
        """Whether a version may run the request."""
        if self.only:
            return version == self.only
        return version != self.never or not self.never


class Shift:
    """One order and what this router knows of it.

    Attributes:
        order: The order.
        seen_at: Boot time at which it was seen here.
        known_s: Seconds since the order at that moment, by others' reports.
        stage: How far requests are moved.
        evidence: What this router saw of the new version.
        detector: Tells when the sum over all routers speaks against it.
        found_bad: Why the version counts as bad; empty while it does not.
        reports: Other routers' newest reports by object name, with the
            monotonic time at which each came.
        canary_share: Share of the requests that the new version gets first.
        move_at: Part of the order's time after which requests move.
    """

    __slots__ = (
        "canary_share",
        "detector",
        "evidence",
        "found_bad",
        "known_s",
        "move_at",
        "order",
        "reports",
        "seen_at",
        "stage",
    )

    def __init__(self, order: ShiftOrder, exposure_share: float) -> None:
        """Take an order that was just seen."""
        self.order = order
        self.seen_at = _now()
        self.known_s = 0.0
        self.stage = Stage.CANARY
        self.evidence = Evidence()
        self.detector = ChangeDetector()
        self.found_bad = ""
        self.reports: dict[str, tuple[float, Report]] = {}
        self.canary_share = exposure_share * CANARY_PART
        self.move_at = 1.0 - exposure_share * MOVE_PART

    @property
    def elapsed_s(self) -> float:
        """Seconds since the order."""
        return self.known_s + _now() - self.seen_at

    @property
    def part(self) -> float:
        """Part of the order's time that has passed."""
        return self.elapsed_s / max(self.order.duration_s, 1e-3)

    @property
    def due(self) -> bool:
        """Whether the order must be completed, whatever still runs."""
        return self.elapsed_s >= self.order.duration_s - FORCE_BEFORE_S

    @property
    def suspect(self) -> bool:
        """Whether answers speak against the version, if not enough."""
        return self.detector.wealth >= SUSPECT_WEALTH

    def takes(self, call: Call) -> bool:
        """Whether a request that is free to move goes to the new version.

        All routers agree on a session: they draw by its name.
        """
        if self.found_bad:
            return False
        is_new = _now() < self.seen_at + SETTLE_S
        if is_new and self.stage is Stage.CANARY:
            return False
        return self.draws(call.session or call.id)

    def draws(self, name: str) -> bool:
        """Whether a session is among those that the new version gets."""
        bucket = _bucket(self.order.target, name)
        return bucket < self.share * _BUCKETS

    @property
    def share(self) -> float:
        """Share of the sessions that the new version gets."""
        match self.stage:
            case Stage.CANARY:
                return self.canary_share
            case Stage.RAMP:
                return RAMP_SHARE
        return 1.0

    def take_report(self, report: Report) -> None:
        """Take another router's report."""
        self.reports[report.name] = (time.monotonic(), report)
        ahead = report.elapsed_s - self.elapsed_s
        if ahead > 0:
            # It saw the order earlier: this router started since.
            self.known_s += ahead

    def living_reports(self, lost_s: float) -> list[Report]:
        """Return the reports of routers that live.

        Args:
            lost_s: Age from which a report is of a router that is gone.
        """
        since = time.monotonic() - lost_s
        return [report for at, report in self.reports.values() if at >= since]

    def hear_bad(self, router: str) -> None:
        """Take another router's word that the version is bad."""
        if self.found_bad:
            return
        self.found_bad = "another router's word"
        log.warning(
            "version is bad by another's word",
            service=self.order.service,
            target=self.order.target,
            router=router,
            elapsed_s=round(self.elapsed_s, 2),
        )

    def advance(self) -> None:
        """Judge the version and move on if it is time."""
        if self.found_bad:
            return
        self._judge()
        stage = self._due()
        if self.found_bad or stage <= self.stage:
            return
        self.stage = Stage(self.stage + 1)
        log.info(
            "roll-out moves on",
            service=self.order.service,
            target=self.order.target,
            stage=self.stage.name,
            elapsed_s=round(self.elapsed_s, 2),
            answers=self._sum("answers"),
            bad=self._sum("bad"),
        )

    def _due(self) -> Stage:
        if self._sum("answers") < MIN_ANSWERS or self.suspect:
            return self.stage
        if self.part < self.move_at:
            return Stage.CANARY
        moved = (self.part - self.move_at) / (1.0 - self.move_at)
        return Stage.RAMP if moved < RAMP_PART else Stage.ALL

    def _judge(self) -> None:
        answers, bad = self._sum("answers"), self._sum("bad")
        level = tolerated(self.evidence.control)
        self.detector.see(answers, bad, level)
        instances = set(self.evidence.bad_instances)
        by_report = False
        for _, report in self.reports.values():
            instances.update(report.bad_instances)
            by_report = by_report or report.found_bad
        # One instance that fails is a bad instance, not a bad version.
        wealth = self.detector.wealth if len(instances) > 1 else 1.0
        if by_report:
            self.found_bad = "another router's report"
        elif wealth >= BAD_WEALTH and bad >= MIN_BAD:
            self.found_bad = "answers"
        elif wealth >= SUSPECT_WEALTH and self.due:
            self.found_bad = "suspect at the deadline"
        else:
            return
        log.warning(
            "version is bad",
            service=self.order.service,
            target=self.order.target,
            answers=answers,
            bad=bad,
            level=round(level, 4),
            wealth=round(self.detector.wealth, 1),
            instances=len(instances),
            by=self.found_bad,
            elapsed_s=round(self.elapsed_s, 2),
        )

    def _sum(self, name: str) -> int:
        """Add a count up over all routers, those that are gone too."""
        reports = (report for _, report in self.reports.values())
        own = int(getattr(self.evidence, name))
        return own + sum(int(getattr(report, name)) for report in reports)


@functools.lru_cache(maxsize=DRAWS_KEPT)
def _bucket(target: str, name: str) -> int:
    draw = hashlib.blake2b(f"{target}/{name}".encode(), digest_size=8)
    return int.from_bytes(draw.digest(), "big") % _BUCKETS


def _now() -> float:
    """Return the time since boot, which goes on while a machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
