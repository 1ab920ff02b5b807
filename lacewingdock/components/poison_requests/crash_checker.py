"""Support for finding out whether instances crashed when they lost requests."""

import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from lacewingdock.components.poison_requests.address_check import AddressCheck
from lacewingdock.components.poison_requests.crash_verdict import (
    CrashVerdict,
    Responder,
    judge_crash,
)
from lacewingdock.components.poison_requests.decision import Decision
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.helpers.log import get_logger

_DECISION_BY_RESPONDER: Final = {
    Responder.ITSELF: Decision.MET_ITSELF,
    Responder.ANOTHER: Decision.MET_ANOTHER,
    Responder.NOTHING: Decision.MET_NOTHING,
    Responder.UNCLEAR: Decision.MET_UNCLEAR,
}

log = get_logger("suspects")


class CrashChecker:
    """Tells crashed instances from those that only lost a connection.

    Attributes:
        directory: The upstream instances.
        check_address: Checks which instance answers at an instance's address.
        counts: Decisions since the start, for the metrics.
    """

    __slots__ = ("check_address", "counts", "directory")

    def __init__(
        self,
        directory: Directory,
        check_address: Callable[[UpstreamInstance], AddressCheck],
        counts: Counter[str],
    ) -> None:
        """Initialize; the arguments are the attributes."""
        self.directory = directory
        self.check_address = check_address
        self.counts = counts

    def verdict(self, name: str, lost_at: float) -> CrashVerdict:
        """Return whether an instance crashed when it lost a request.

        Args:
            name: The instance's incarnation.
            lost_at: Monotonic time of the loss.
        """
        return judge_crash(self.directory.incarnation(name), lost_at)

    def crashed(self, losses: Mapping[str, float]) -> set[str]:
        """Return the instances that crashed when they lost the request.

        Args:
            losses: The instances, with the monotonic times of the losses.
        """
        return {
            name
            for name, lost_at in losses.items()
            if self.verdict(name, lost_at) is CrashVerdict.CRASHED
        }

    def not_alive(self, reports: Mapping[str, float]) -> set[str]:
        """Return the instances without signs of life since a report.

        Other routers report crashes only, so these count unless the instance
        shows signs of life here.

        Args:
            reports: The instances, with the monotonic times of the reports.
        """
        return {
            name
            for name, reported_at in reports.items()
            if self.verdict(name, reported_at)
            not in (CrashVerdict.SURVIVED, CrashVerdict.LIKELY_ALIVE)
        }

    def verify(self, losses: Iterable[tuple[str, float]]) -> None:
        """Check instances that lost a request and whose state is unknown.

        Without this check there is no evidence about an instance that gets no
        other request. If the result is unclear, the next round checks again.

        Args:
            losses: The instances, with the monotonic times of the losses.
        """
        for name, lost_at in losses:
            instance = self.directory.incarnation(name)
            if judge_crash(instance, lost_at) is not CrashVerdict.UNKNOWN:
                continue
            if instance is not None:
                responder = self._check(instance)
                log.info(
                    "address checked after a loss",
                    upstream=name,
                    answers=responder,
                    lost_s=round(time.monotonic() - lost_at, 3),
                )

    def _check(self, instance: UpstreamInstance) -> Responder:
        """Check an instance's address, and record the result."""
        asked_at = time.monotonic()
        found = self.check_address(instance)
        match found.responder:
            case Responder.ITSELF:
                instance.answered(asked_at)
            case Responder.ANOTHER:
                self.directory.mark_replaced(instance, found.answered_by)
            case Responder.NOTHING:
                instance.record_connect_failure()
        self.counts[_DECISION_BY_RESPONDER[found.responder]] += 1
        return found.responder
