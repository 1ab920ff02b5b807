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
    FULL_LOAD_INSTANCES,
    MIN_ANSWERS,
    MIN_BAD,
    RAMP_PART,
    RAMP_SHARE,
    SUSPECT_WEALTH,
)
from lacewingdock.components.shifts.evidence import (
    ChangeDetector,
    VersionEvidence,
    tolerated_share,
)
from lacewingdock.components.shifts.report import Report, Stage
from lacewingdock.components.shifts.schedule import Schedule, schedule
from lacewingdock.helpers.clock import since_boot
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.backend import ShiftOrder, UpstreamEntry
from lacewingdock.world.call import Call

# A router that has just seen an order, or started, moves no session before it
# could hear from the others which must stay.
SESSION_WAIT_S: Final = 2 * REPEAT_S

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
        instances: Ids of the instances that may; empty for all.
    """

    only: str = ""
    never: str = ""
    instances: frozenset[str] = frozenset()

    def admits(self, entry: UpstreamEntry) -> bool:
        """Whether an instance may run the request."""
        if self.instances and entry.id not in self.instances:
            return False
        return self.allows(entry.version)

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
        known_s: Seconds since the order at that moment, by others' reports or
            by how long it may have gone unseen.
        stage: How far requests are moved.
        evidence: What this router saw of the new version.
        detector: Tells when the sum over all routers speaks against it.
        found_bad: Why the version counts as bad; empty while it does not.
        reports: Other routers' newest reports by object name, with the
            monotonic time at which each came.
        exposure_share: Share of the requests that a bad version may get.
        instances: Ids of the new version's instances.
        plan: The schedule by which a few instances get a whole instance's load
            each; None before. It stays when instances come and go, or what
            was spent on it would be spent on the move again.
    """

    __slots__ = (
        "detector",
        "evidence",
        "exposure_share",
        "found_bad",
        "initial_age_s",
        "instances",
        "order",
        "plan",
        "reports",
        "seen_at",
        "stage",
    )

    def __init__(
        self, order: ShiftOrder, exposure_share: float, age_s: float = 0.0
    ) -> None:
        """Take an order that was just seen, and how old it may be."""
        self.order = order
        self.seen_at = since_boot()
        self.initial_age_s = age_s
        self.stage = Stage.CANARY
        self.evidence = VersionEvidence()
        self.detector = ChangeDetector()
        self.found_bad = ""
        self.reports: dict[str, tuple[float, Report]] = {}
        self.exposure_share = exposure_share
        self.instances: list[str] = []
        self.plan: Schedule | None = None

    @property
    def elapsed_s(self) -> float:
        """Seconds since the order."""
        return self.initial_age_s + since_boot() - self.seen_at

    @property
    def schedule(self) -> Schedule:
        """What the new version gets, and when."""
        return self.plan or schedule(
            self.order.duration_s, self.exposure_share, len(self.instances)
        )

    @property
    def deadline_reached(self) -> bool:
        """Whether the order must be completed, whatever still runs."""
        return self.elapsed_s >= self.order.duration_s - FORCE_BEFORE_S

    @property
    def suspect(self) -> bool:
        """Whether answers speak against the version, if not enough."""
        return self.detector.wealth >= SUSPECT_WEALTH

    @property
    def hurried(self) -> bool:
        """Whether reports are waited for.

        Bad answers are reported sooner than good ones. Where reports of the
        good ones came late, two slow answers of 214 made a good version
        suspect as its requests moved.
        """
        if self.stage is not Stage.CANARY or self.at_full_load:
            return True
        return self._fleet_total("bad") > 0

    def moves(self, call: Call) -> bool:
        """Whether a request that is free to move goes to the new version.

        All routers agree on a session: they draw by its name.
        """
        if self.found_bad:
            return False
        is_new = since_boot() < self.seen_at + SESSION_WAIT_S
        if is_new and self.stage is Stage.CANARY:
            return False
        return self.selects(call.session or call.id)

    def selects(self, name: str) -> bool:
        """Whether a session is among those that the new version gets."""
        bucket = _bucket(self.order.target, name)
        return bucket < self.share * _BUCKETS

    @property
    def at_full_load(self) -> bool:
        """Whether a few instances get a whole instance's load each."""
        return self.plan is not None and self.stage is Stage.CANARY

    @property
    def keeps_sessions(self) -> bool:
        """Whether sessions on the old version stay there."""
        return self.stage is Stage.CANARY and not self.at_full_load

    @property
    def full_load_instances(self) -> frozenset[str]:
        """The instances that get the new version's requests; empty for all.

        All routers choose the same ones, or each would get a part of the load.
        """
        if not self.at_full_load:
            return frozenset()
        ranked = sorted(
            self.instances, key=lambda one: _bucket(self.order.target, one)
        )
        return frozenset(ranked[:FULL_LOAD_INSTANCES])

    @property
    def share(self) -> float:
        """Share of the sessions that the new version gets."""
        match self.stage:
            case Stage.CANARY if self.at_full_load:
                return self.schedule.full_load_share
            case Stage.CANARY:
                return self.exposure_share * CANARY_PART
            case Stage.RAMP:
                return RAMP_SHARE
        return 1.0

    def apply_report(self, report: Report) -> None:
        """Take another router's report.

        The store's copy may show an older one; as that of a router that is
        behind it would hold the order up.
        """
        _, known = self.reports.get(report.name, (0.0, report))
        is_same_start = known.incarnation == report.incarnation
        if is_same_start and report.elapsed_s < known.elapsed_s:
            return
        self.reports[report.name] = (time.monotonic(), report)
        ahead = report.elapsed_s - self.elapsed_s
        if ahead > 0:
            # It saw the order earlier: this router started since.
            self.initial_age_s += ahead

    def live_reports(self, lost_s: float) -> list[Report]:
        """Return the reports of routers that live.

        Args:
            lost_s: Age from which a report is of a router that is gone.
        """
        since = time.monotonic() - lost_s
        return [report for at, report in self.reports.values() if at >= since]

    def mark_bad(self, router: str) -> None:
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
        stage = self._target_stage()
        if self.found_bad:
            return
        if self._full_load_is_due():
            self._start_full_load()
        if stage <= self.stage:
            return
        self.stage = Stage(self.stage + 1)
        log.info(
            "roll-out moves on",
            service=self.order.service,
            target=self.order.target,
            stage=self.stage.name,
            elapsed_s=round(self.elapsed_s, 2),
            answers=self._fleet_total("answers"),
            bad=self._fleet_total("bad"),
        )

    def _target_stage(self) -> Stage:
        if self._fleet_total("answers") < MIN_ANSWERS or self.suspect:
            return self.stage
        move_at_s = self.schedule.move_at_s
        if self.elapsed_s < move_at_s:
            return Stage.CANARY
        moved_s = self.elapsed_s - move_at_s
        ramp_s = RAMP_PART * (self.order.duration_s - move_at_s)
        return Stage.RAMP if moved_s < ramp_s else Stage.ALL

    def _full_load_is_due(self) -> bool:
        """Whether a few instances shall get a whole instance's load now."""
        if self.plan or self.stage is not Stage.CANARY or self.suspect:
            return False
        if self._fleet_total("answers") < MIN_ANSWERS:
            return False
        plan = self.schedule
        return plan.full_load_at_s <= self.elapsed_s < plan.move_at_s

    def _start_full_load(self) -> None:
        self.plan = self.schedule
        log.info(
            "roll-out loads instances",
            service=self.order.service,
            target=self.order.target,
            instances=sorted(self.full_load_instances),
            share=round(self.share, 3),
            elapsed_s=round(self.elapsed_s, 2),
        )

    def _judge(self) -> None:
        answers, bad = self._fleet_total("answers"), self._fleet_total("bad")
        level = tolerated_share(self.evidence.control)
        self.detector.update(answers, bad, level)
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
        elif wealth >= SUSPECT_WEALTH and self.deadline_reached:
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

    def _fleet_total(self, name: str) -> int:
        """Add a count up over all routers, those that are gone too."""
        reports = (report for _, report in self.reports.values())
        own = int(getattr(self.evidence, name))
        return own + sum(int(getattr(report, name)) for report in reports)


@functools.lru_cache(maxsize=DRAWS_KEPT)
def _bucket(target: str, name: str) -> int:
    draw = hashlib.blake2b(f"{target}/{name}".encode(), digest_size=8)
    return int.from_bytes(draw.digest(), "big") % _BUCKETS
