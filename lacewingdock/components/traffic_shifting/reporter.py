"""Support for writing this router's reports of roll-outs."""

import dataclasses
import time
from collections.abc import Callable, Collection, Iterable

from lacewingdock.components.traffic_shifting.const import (
    KIND_REPORTS,
    REPORT_BAD_S,
    REPORT_S,
)
from lacewingdock.components.traffic_shifting.report import (
    Report,
    Stage,
    read_report,
)
from lacewingdock.components.traffic_shifting.shift import Shift
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.object_api import ABSENT, ObjectApi
from lacewingdock.platform.objects import StoredObject

log = get_logger("shifts")


class Reporter:
    """Writes this router's reports within the fleet's budget of writes.

    Attributes:
        api: The platform's store.
        router: Instance name of this router.
        incarnation: Incarnation of this router.
        pace_s: Returns the least seconds between two writes of a report.
        quiet_pace_s: Returns the same for a roll-out without bad answers before
            requests move.
        revisions: Last observed revision of each report's object, by name.
        written: Last report written, by name.
        written_at: Monotonic time of the last write, by name.
    """

    __slots__ = (
        "api",
        "incarnation",
        "pace_s",
        "quiet_pace_s",
        "revisions",
        "router",
        "written",
        "written_at",
    )

    def __init__(
        self,
        api: ObjectApi,
        router: str,
        incarnation: str,
        pace_s: Callable[[], float],
        quiet_pace_s: Callable[[], float],
    ) -> None:
        """Initialize without reports.

        Args:
            api: The platform's store.
            router: Instance name of this router.
            incarnation: Incarnation of this router.
            pace_s: Returns the least seconds between two writes of a report.
            quiet_pace_s: Returns the same for a roll-out without bad answers
                before requests move.
        """
        self.api = api
        self.router = router
        self.incarnation = incarnation
        self.pace_s = pace_s
        self.quiet_pace_s = quiet_pace_s
        self.revisions: dict[str, int] = {}
        self.written: dict[str, Report] = {}
        self.written_at: dict[str, float] = {}

    def write(self, shift: Shift, old_running: int) -> None:
        """Write the report of a roll-out if it is due."""
        report = self.report(shift, old_running)
        pace_s = self.pace_s() if shift.hurried else self.quiet_pace_s()
        if not self._is_due(report, pace_s):
            return
        try:
            self._write(report)
        except LacewingdockError as error:
            log.warning("report not written", error=str(error))
            return
        self.written[report.name] = report

    def remove_gone(
        self, reports: Iterable[StoredObject], routers: Collection[str]
    ) -> None:
        """Remove invalid reports and those of routers that no longer exist.

        Args:
            reports: All stored reports.
            routers: Names of the routers that exist.
        """
        for stored in reports:
            report = read_report(stored)
            if report is not None and report.router in routers:
                continue
            try:
                self.api.remove(
                    KIND_REPORTS, stored.name, stored.revision, "remove-report"
                )
            except LacewingdockError as error:
                log.warning("report not removed", error=str(error))
                return
            log.info("report removed", report=stored.name)

    def report(self, shift: Shift, old_running: int) -> Report:
        """Return this router's report on a roll-out."""
        return Report(
            service=shift.order.service,
            target=shift.order.target,
            router=self.router,
            incarnation=self.incarnation,
            elapsed_s=round(shift.elapsed_s, 2),
            stage=shift.stage,
            answers=shift.evidence.answers,
            bad=shift.evidence.bad,
            bad_instances=sorted(shift.evidence.bad_instances),
            old_running=old_running,
            found_bad=bool(shift.found_bad),
        )

    def _is_due(self, report: Report, pace_s: float) -> bool:
        """Whether a report must be written now.

        A report that the version is bad is written at once, since all other
        routers send requests to the version until they read it. So is a report
        that all requests moved: the other routers wait for it to complete the
        order in time.
        """
        last = self.written.get(report.name)
        if last is None or last.found_bad != report.found_bad:
            return True
        if report.stage is Stage.ALL and last.stage is not Stage.ALL:
            return True
        age_s = time.monotonic() - self.written_at.get(report.name, 0.0)
        ended = last.old_running and not report.old_running
        if report.bad > last.bad or (ended and report.stage is Stage.ALL):
            pace_s = self.pace_s() * REPORT_BAD_S / REPORT_S
        return age_s >= pace_s

    def _write(self, report: Report) -> None:
        name = report.name
        self.written_at[name] = time.monotonic()
        expect = self.revisions.get(name, ABSENT)
        spec = dataclasses.asdict(report)
        # The object may exist at another revision: an earlier start of this
        # router may have written it, or a write whose answer was lost.
        _, found = self.api.overwrite(
            KIND_REPORTS, name, spec, expect, "shift-report"
        )
        self.revisions[name] = found.revision
