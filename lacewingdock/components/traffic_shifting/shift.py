"""Support for the progress of one roll-out and its version rules."""

import functools
import hashlib
import time
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.gossip import REPEAT_S
from lacewingdock.components.traffic_shifting.const import (
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
from lacewingdock.components.traffic_shifting.evidence import (
    ChangeDetector,
    VersionEvidence,
    tolerated_share,
)
from lacewingdock.components.traffic_shifting.report import Report, Stage
from lacewingdock.components.traffic_shifting.schedule import Schedule, schedule
from lacewingdock.helpers.clock import since_boot
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.backend import ShiftOrder, UpstreamEntry
from lacewingdock.world.call import Call

# Seconds after a router starts or first sees an order during which it moves no
# session: the other routers' gossip must first name the sessions to keep.
SESSION_WAIT_S: Final = 2 * REPEAT_S

_BUCKETS: Final = 10_000
# Number of cached hash buckets, for the sessions of some seconds: while a
# canary runs, each gossip message looks them up.
MAX_CACHED_BUCKETS: Final = 1024

log = get_logger("shifts")


@dataclass(slots=True, frozen=True)
class VersionRule:
    """Which versions and instances may run a request.

    Attributes:
        only: The only version that may run it; empty for any.
        never: A version that must not run it; empty for none.
        instances: Ids of the instances that may run it; empty for all.
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
    """One roll-out as this router sees it.

    Attributes:
        order: The operator's order.
        seen_at: Boot time at which this router first saw the order.
        initial_age_s: Age of the order in seconds at that moment, from other
            routers' reports or from how long the order may have been unseen.
        stage: How far this router has moved its requests.
        evidence: Answers to this router.
        detector: Detects a bad version from the sums over all routers.
        found_bad: Why the version counts as bad; empty while it does not.
        reports: Other routers' newest reports by object name, with the
            monotonic time at which each was received.
        exposure_share: Share of the requests that a bad version may get.
        instances: Ids of the new version's instances.
        plan: Schedule in force since the full-load stage began; None before.
            It is fixed while instances come and go: computed anew, it could
            spend the exposure of this stage on the move again.
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
        """Initialize a roll-out at its canary stage.

        Args:
            order: The order, just seen by this router.
            exposure_share: Share of the requests that a bad version may get.
            age_s: Age of the order in seconds.
        """
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
        """The new version's share of the requests over the order's time."""
        return self.plan or schedule(
            self.order.duration_s, self.exposure_share, len(self.instances)
        )

    @property
    def deadline_reached(self) -> bool:
        """Whether the order must end now, even if requests still run."""
        return self.elapsed_s >= self.order.duration_s - FORCE_BEFORE_S

    @property
    def suspect(self) -> bool:
        """Whether the evidence against the version makes it suspect."""
        return self.detector.wealth >= SUSPECT_WEALTH

    @property
    def hurried(self) -> bool:
        """Whether reports are needed at the faster pace.

        Bad answers are reported sooner than good ones. When reports of the good
        answers came late, two slow answers of 214 made a good version suspect
        while its requests moved.
        """
        if self.stage is not Stage.CANARY or self.at_full_load:
            return True
        return self._fleet_total("bad") > 0

    def moves(self, call: Call) -> bool:
        """Whether a request that may move goes to the new version.

        All routers agree on a session, since they hash its name.
        """
        if self.found_bad:
            return False
        is_new = since_boot() < self.seen_at + SESSION_WAIT_S
        if is_new and self.stage is Stage.CANARY:
            return False
        return self.selects(call.session or call.id)

    def selects(self, name: str) -> bool:
        """Whether a session or request falls into the new version's share."""
        bucket = _bucket(self.order.target, name)
        return bucket < self.share * _BUCKETS

    @property
    def at_full_load(self) -> bool:
        """Whether the full-load stage on a few instances is under way."""
        return self.plan is not None and self.stage is Stage.CANARY

    @property
    def keeps_sessions(self) -> bool:
        """Whether sessions stay on the old version."""
        return self.stage is Stage.CANARY and not self.at_full_load

    @property
    def full_load_instances(self) -> frozenset[str]:
        """Ids of the instances at full load; empty outside of that stage.

        All routers choose the same instances. Otherwise the load would be
        spread over more instances, each with a part of it.
        """
        if not self.at_full_load:
            return frozenset()
        ranked = sorted(
            self.instances, key=lambda one: _bucket(self.order.target, one)
        )
        return frozenset(ranked[:FULL_LOAD_INSTANCES])

    @property
    def share(self) -> float:
        """Share of the sessions and requests that the new version gets."""
        match self.stage:
            case Stage.CANARY if self.at_full_load:
                return self.schedule.full_load_share
            case Stage.CANARY:
                return self.exposure_share * CANARY_PART
            case Stage.RAMP:
                return RAMP_SHARE
        return 1.0

    def apply_report(self, report: Report) -> None:
        """Apply another router's report unless it is outdated.

        A restored store may return an older report, in which the router counts
        as behind and would delay the completion.
        """
        _, known = self.reports.get(report.name, (0.0, report))
        is_same_start = known.incarnation == report.incarnation
        if is_same_start and report.elapsed_s < known.elapsed_s:
            return
        self.reports[report.name] = (time.monotonic(), report)
        ahead = report.elapsed_s - self.elapsed_s
        if ahead > 0:
            # The other router saw the order earlier; this one may have started
            # since.
            self.initial_age_s += ahead

    def live_reports(self, lost_s: float) -> list[Report]:
        """Return the reports of live routers.

        Args:
            lost_s: Age in seconds from which a report's router counts as gone.
        """
        since = time.monotonic() - lost_s
        return [report for at, report in self.reports.values() if at >= since]

    def mark_bad(self, router: str) -> None:
        """Mark the version as bad because another router reported it."""
        if self.found_bad:
            return
        self.found_bad = "another router's message"
        log.warning(
            "version is bad according to another router",
            service=self.order.service,
            target=self.order.target,
            router=router,
            elapsed_s=round(self.elapsed_s, 2),
        )

    def advance(self) -> None:
        """Evaluate the version, and advance the stage by one if it is due."""
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
            "roll-out stage advanced",
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
        """Whether the full-load stage is to begin now."""
        if self.plan or self.stage is not Stage.CANARY or self.suspect:
            return False
        if self._fleet_total("answers") < MIN_ANSWERS:
            return False
        plan = self.schedule
        return plan.full_load_at_s <= self.elapsed_s < plan.move_at_s

    def _start_full_load(self) -> None:
        self.plan = self.schedule
        log.info(
            "roll-out full load started",
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
        # A single failing instance is a bad instance, not a bad version.
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
        """Return a count's sum over all routers, including gone ones."""
        reports = (report for _, report in self.reports.values())
        own = int(getattr(self.evidence, name))
        return own + sum(int(getattr(report, name)) for report in reports)


@functools.lru_cache(maxsize=MAX_CACHED_BUCKETS)
def _bucket(target: str, name: str) -> int:
    draw = hashlib.blake2b(f"{target}/{name}".encode(), digest_size=8)
    return int.from_bytes(draw.digest(), "big") % _BUCKETS
