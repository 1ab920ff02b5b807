"""Support for reporting this router's evidence to the other routers."""

import threading
from collections.abc import Callable

from lacewingdock.components.poison_requests.const import (
    CLEARED_S,
    CRASHES_TO_HOLD,
    GOSSIP_S,
    MAX_CLEARED_CRASHES,
    MAX_CLEARED_PUBLISHED,
    MAX_GOSSIPED,
    MAX_GOSSIPED_CRASHES,
    MAX_PUBLISHED,
)
from lacewingdock.components.poison_requests.evidence import Evidence, Suspect
from lacewingdock.components.poison_requests.report import CrashReport, Losses
from lacewingdock.components.poison_requests.traits import is_part
from lacewingdock.helpers.lru import insert_lru


class Publication:
    """What this router reports, through the store and in messages.

    Attributes:
        evidence: The suspect traits.
        write: Publishes a report to the other routers; returns whether the
            publication was stored.
        due: Set when there is something to publish without delay.
        published: The latest publication.
        gossiped: What messages report, which arrive before publications do.
        on_change: Called when `gossiped` has changed.
        cleared: Instances whose loss of a request with a trait does not count
            any more, by trait, the latest last.
        cleared_at: Monotonic time at which each of these traits was cleared.
    """

    __slots__ = (
        "cleared",
        "cleared_at",
        "due",
        "evidence",
        "gossiped",
        "on_change",
        "published",
        "write",
    )

    def __init__(
        self, evidence: Evidence, write: Callable[[CrashReport], bool]
    ) -> None:
        """Initialize without reports.

        Args:
            evidence: The suspect traits.
            write: Publishes a report to the other routers; returns whether
                the publication was stored.
        """
        self.evidence = evidence
        self.write = write
        self.due = threading.Event()
        self.published = CrashReport()
        self.gossiped = CrashReport()
        self.on_change: Callable[[], None] = lambda: None
        self.cleared: Losses = {}
        self.cleared_at: dict[str, float] = {}

    def add_cleared(self, trait: str, suspect: Suspect, now: float) -> None:
        """Report a trait as cleared if other routers may count its losses."""
        if not suspect.peer_losses and trait not in self.published.losses:
            return
        lost = sorted(suspect.instances)[-MAX_CLEARED_CRASHES:]
        insert_lru(self.cleared, trait, lost, MAX_CLEARED_PUBLISHED)
        insert_lru(self.cleared_at, trait, now, MAX_CLEARED_PUBLISHED)
        if len(lost) >= CRASHES_TO_HOLD:
            self.due.set()

    def report(self, now: float) -> CrashReport:
        """Return the report to publish, with the most accused traits."""
        for trait, at in list(self.cleared_at.items()):
            if at < now - CLEARED_S:
                del self.cleared[trait], self.cleared_at[trait]
        found = sorted(
            self.evidence.publishable(now).items(),
            key=lambda one: self.evidence.suspects[one[0]].losses,
        )
        return self._report(dict(found[-MAX_PUBLISHED:]), dict(self.cleared))

    def publish(self, report: CrashReport) -> None:
        """Publish a report if it has anything new.

        Losses that were cleared since are withdrawn with the next publication.
        A publication for that alone would cost a call and change nothing,
        unless other routers may hold back a request for them.
        """
        urgent = {
            trait: instances
            for trait, instances in report.cleared.items()
            if len(instances) >= CRASHES_TO_HOLD
        }
        if not (
            _has_more(report.losses, self.published.losses)
            or _has_more(urgent, self.published.cleared)
        ):
            return
        if self.write(report):
            self.published = report

    def republish(self) -> None:
        """Publish everything again, since the store may have lost it."""
        self.published = CrashReport()

    def update_gossip(self, now: float) -> None:
        """Update what messages report: the parts that were lost just now."""
        recent = [
            trait
            for trait, at in self.cleared_at.items()
            if is_part(trait) and at > now - GOSSIP_S
        ]
        report = self._report(
            self.evidence.recent_part_crashes(now),
            {
                trait: self.cleared[trait][-MAX_GOSSIPED_CRASHES:]
                for trait in recent[-MAX_GOSSIPED:]
            },
        )
        if report != self.gossiped:
            self.gossiped = report
            self.on_change()

    def _report(self, losses: Losses, cleared: Losses) -> CrashReport:
        suspects = self.evidence.suspects
        recurrent = [trait for trait in losses if suspects[trait].recurrent]
        return CrashReport(losses, recurrent, cleared)


def _has_more(found: Losses, known: Losses) -> bool:
    return any(
        set(instances) - set(known.get(trait, ()))
        for trait, instances in found.items()
    )
