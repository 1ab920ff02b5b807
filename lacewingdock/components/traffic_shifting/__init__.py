"""Support for rolling out versions on the platform's orders.

Every router moves its own requests according to the order's time, evaluates the
new version by the answers that all routers report, and may end the order. The
end is a conditional write, so the first write wins and the other routers read
it. There is no leader whose failure could stop a roll-out.
"""

import threading
import zlib
from collections.abc import Callable
from dataclasses import replace

import msgspec

from lacewingdock.components.gossip import (
    MAX_SESSIONS,
    Message,
    PinnedSession,
)
from lacewingdock.components.traffic_shifting.const import (
    MAX_UNSEEN_S,
    QUIET_REPORTS_PER_S,
    REPORT_LATE_S,
    REPORT_S,
    REPORTS_LOST,
    WRITES_PART,
)
from lacewingdock.components.traffic_shifting.evidence import VersionSample
from lacewingdock.components.traffic_shifting.pins import SessionPins
from lacewingdock.components.traffic_shifting.report import (
    Report,
    Stage,
    read_report,
)
from lacewingdock.components.traffic_shifting.reporter import Reporter
from lacewingdock.components.traffic_shifting.restored_orders import (
    RestoredOrders,
)
from lacewingdock.components.traffic_shifting.shift import Shift, VersionRule
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.documents import (
    KIND_SHIFTS,
    read_shift,
    shift_status,
)
from lacewingdock.platform.history import era_of, format_revision
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.backend import ShiftOrder, ShiftState
from lacewingdock.world.call import Call
from lacewingdock.world.host import HostProfile

log = get_logger("shifts")

__all__ = ["ReportListener", "Shifts", "VersionRule", "VersionSample"]


class Shifts:
    """The roll-outs under way, and the version of each service.

    Attributes:
        host: Profile of this instance from the platform.
        api: The platform's store.
        directory: The upstream instances.
        orders: The newest order of each service.
        returned: Orders read from a restored store that may be outdated.
        running: Roll-outs under way, by service.
        settled: The version of each service outside of roll-outs.
        refused: Versions that were rolled back, by service.
        pins: The version of each session.
        reporter: Writes this router's reports.
        unseen_s: Returns for how many seconds an order read now may have been
            in the store unseen.
        store_doubtful: Returns whether the store was recently unavailable or
            restored, so that its contents may be incomplete.
        admits: Returns whether the instance with an id accepts a request now.
    """

    __slots__ = (
        "_lock",
        "admits",
        "api",
        "directory",
        "host",
        "orders",
        "pins",
        "refused",
        "reporter",
        "returned",
        "running",
        "settled",
        "store_doubtful",
        "unseen_s",
    )

    def __init__(
        self,
        host: HostProfile,
        incarnation: str,
        api: ObjectApi,
        directory: Directory,
        routers: Callable[[], int],
    ) -> None:
        """Initialize without orders.

        Args:
            host: Profile of this instance from the platform.
            incarnation: Incarnation of this router.
            api: The platform's store.
            directory: The upstream instances.
            routers: Returns the number of routers.
        """
        self.host = host
        self.api = api
        self.directory = directory
        self.orders: dict[str, ShiftOrder] = {}
        self.returned = RestoredOrders()
        self.running: dict[str, Shift] = {}
        self.settled: dict[str, str] = {}
        self.refused: dict[str, str] = {}
        self.pins = SessionPins(lambda: host.bounds.session_s)
        self.reporter = Reporter(
            api,
            host.instance,
            incarnation,
            lambda: max(
                REPORT_S,
                routers() / (host.platform_writes_per_s * WRITES_PART),
            ),
            lambda: max(
                self.reporter.pace_s(), routers() / QUIET_REPORTS_PER_S
            ),
        )
        self.store_doubtful: Callable[[], bool] = lambda: False
        self.unseen_s: Callable[[], float] = lambda: 0.0
        self.admits: Callable[[str], bool] = lambda _: True
        self._lock = threading.Lock()

    @property
    def hurried(self) -> bool:
        """Whether a roll-out needs reports at the faster pace."""
        return any(shift.hurried for shift in list(self.running.values()))

    def version(
        self, service: str, call: Call, *, again: bool = False
    ) -> VersionRule:
        """Return which versions may run a request.

        Args:
            service: The service.
            call: The request.
            again: Whether an earlier attempt at the request failed.
        """
        shift = self.running.get(service)
        refused = self.refused.get(service, "")
        if shift is None:
            return self._settled_rule(service, refused)
        target = shift.order.target
        if shift.found_bad or (again and shift.suspect):
            return VersionRule(never=target)
        present = self.directory.versions(service)
        if target not in present:
            return VersionRule(never=target)
        if present == {target}:
            return VersionRule(only=target)
        pinned = self.pins.version(service, call.session)
        if pinned != target and not self._has_capacity(shift):
            return VersionRule(never=target)
        if pinned is not None and pinned != target and shift.keeps_sessions:
            return VersionRule(never=target)
        if pinned == target or shift.moves(call):
            # A retry may go to any instance of the version.
            instances = frozenset() if again else shift.full_load_instances
            return VersionRule(only=target, instances=instances)
        return VersionRule(never=target)

    def _has_capacity(self, shift: Shift) -> bool:
        """Whether an instance of the new version can run a request now.

        The instance must be warm and, if its request rate is limited, have
        room for the request. Otherwise requests would be refused although the
        old version's instances have free slots.
        """
        warm = self.directory.warm(shift.order.service, shift.order.target)
        found = (
            shift.full_load_instances & warm
            if shift.full_load_instances
            else warm
        )
        return any(self.admits(one) for one in found)

    def add(self, sample: VersionSample, session: str) -> None:
        """Record the result of an attempt, and pin its session."""
        self.pins.pin(sample.service, session, sample.version)
        shift = self.running.get(sample.service)
        if shift is None or sample.refused:
            return
        with self._lock:
            is_new = sample.version == shift.order.target
            shift.evidence.add(sample, is_new=is_new)

    def apply_report(self, report: Report) -> None:
        """Apply another router's report to its roll-out."""
        shift = self._running(report.service, report.target)
        if shift is None or report.incarnation == self.reporter.incarnation:
            return
        with self._lock:
            shift.apply_report(report)

    def sessions_to_keep(self) -> list[PinnedSession]:
        """Return the sessions that other routers would move too early.

        All routers select the same sessions for the new version, but a router
        that has not served a session, or was restarted since, treats it as new.
        So while sessions must stay, the routers that track them gossip them.
        """
        found: list[PinnedSession] = []
        for service, shift in list(self.running.items()):
            if not shift.keeps_sessions or shift.found_bad:
                continue
            target = shift.order.target
            found += [
                one
                for one in self.pins.of_service(service)
                if one.version != target and shift.selects(one.session)
            ]
        return sorted(found, key=lambda one: one.age_s)[:MAX_SESSIONS]

    def found_bad(self) -> list[tuple[str, str]]:
        """Return service and version of each roll-out that was found bad."""
        return [
            (service, shift.order.target)
            for service, shift in list(self.running.items())
            if shift.found_bad
        ]

    def receive_message(self, message: Message) -> None:
        """Apply the sessions and bad versions in another router's gossip.

        Reports hold the bad versions too, but may be read seconds later.
        """
        for one in message.sessions:
            self.pins.receive(one)
        for service, target in message.bad:
            if shift := self._running(service, target):
                with self._lock:
                    shift.mark_bad(message.router)

    def apply_stored_report(self, stored: StoredObject) -> None:
        """Apply another router's report from the store."""
        report = read_report(stored)
        if report is None:
            log.error("invalid report ignored", report=stored.name)
            return
        self.apply_report(report)

    def own_reports(self) -> bytes:
        """Return this router's reports for direct exchange in an outage.

        Returns:
            A JSON list; empty without roll-outs.
        """
        running = list(self.running.values())
        reports = [
            self.reporter.report(shift, self._old_running(shift))
            for shift in running
        ]
        return msgspec.json.encode(reports) if reports else b""

    def receive(self, data: bytes) -> None:
        """Apply reports that another router sent directly.

        A router that the store rejects can't write its reports. Without its bad
        answers, each other router would have to observe enough by itself.

        Args:
            data: A JSON list of reports.
        """
        try:
            reports: list[Report] = decode_json(data, list[Report])
        except msgspec.DecodeError as error:
            log.error("invalid reports ignored", error=str(error))
            return
        for report in reports:
            self.apply_report(report)

    def round(self) -> None:
        """Evaluate, advance, report and end the roll-outs that are due."""
        for shift in list(self.running.values()):
            with self._lock:
                shift.instances = self._new_instances(shift)
                shift.advance()
            self.reporter.write(shift, self._old_running(shift))
            if shift.found_bad:
                self._end(shift, ShiftState.ROLLED_BACK)
            elif self._is_done(shift):
                self._end(shift, ShiftState.COMPLETED)
            elif shift.order.state is ShiftState.ORDERED:
                self._end(shift, ShiftState.RUNNING)
        self._resume_deferred()
        self.pins.prune()

    def _running(self, service: str, target: str) -> Shift | None:
        """Return the roll-out of a service to a version if it is running."""
        shift = self.running.get(service)
        if shift is None or shift.order.target != target:
            return None
        return shift

    def _settled_rule(self, service: str, refused: str) -> VersionRule:
        settled = self.settled.get(service, "")
        present = self.directory.versions(service)
        if settled in present:
            return VersionRule(only=settled)
        if len(present - {refused}) == 1:
            self.settled[service] = next(iter(present - {refused}))
        return VersionRule(never=refused)

    def take(self, stored: StoredObject) -> None:
        """Apply an order unless it is invalid, outdated or deferred."""
        try:
            order = read_shift(stored)
        except LacewingdockError as error:
            log.error(
                "invalid order ignored", order=stored.name, error=str(error)
            )
            return
        known = self.orders.get(order.service)
        if known is not None and known.revision >= order.revision:
            return
        if known is not None and self._may_be_outdated(known, order):
            if known.target != order.target:
                self._defer(order)
                return
            if known.state.ended and not order.state.ended:
                self._rewrite_end(known, order)
                return
        self._begin(order)

    def _begin(self, order: ShiftOrder, waited_s: float = 0.0) -> None:
        """Store and apply an order.

        Args:
            order: The order.
            waited_s: Seconds since the order was first seen.
        """
        self.returned.forget(order.service)
        self.orders[order.service] = order
        log.info(
            "order",
            service=order.service,
            target=order.target,
            state=order.state,
            duration_s=order.duration_s,
            unseen_s=round(self.unseen_s() + waited_s, 2),
            revision=format_revision(order.revision),
        )
        self._apply(order, waited_s)

    def _may_be_outdated(self, known: ShiftOrder, order: ShiftOrder) -> bool:
        """Whether a restored store may hold an older state of an order.

        Until the operator's later orders and the routers' final statuses are
        written again, the store may return what was in the copy.
        """
        is_of_copy = era_of(order.revision) != era_of(known.revision)
        return is_of_copy and self.store_doubtful()

    def _defer(self, order: ShiftOrder) -> None:
        """Defer an order until the store has all orders again."""
        self.returned.defer(order)
        log.info(
            "order deferred",
            service=order.service,
            target=order.target,
            revision=format_revision(order.revision),
        )

    def _resume_deferred(self) -> None:
        """Apply deferred orders, and write lost final statuses again."""
        if self.returned.deferred and not self.store_doubtful():
            for waited_s, order in self.returned.pop_deferred():
                self._begin(order, waited_s)
        for service in self.returned.due_writes():
            order = self.orders[service]
            self._write_status(order, order.state)

    def _rewrite_end(self, known: ShiftOrder, order: ShiftOrder) -> None:
        """Schedule writing the final status of an order that the store lost.

        If the order began anew, a version that was rolled back would get
        requests again.
        """
        self.orders[order.service] = replace(order, state=known.state)
        # Spread over the fleet: once a router has written the status, the
        # others read it and need not write it.
        spread = zlib.crc32(self.reporter.router.encode()) / 2**32
        self.returned.schedule_end_write(
            order.service, spread * self.reporter.pace_s()
        )

    def _apply(self, order: ShiftOrder, waited_s: float) -> None:
        service = order.service
        match order.state:
            case ShiftState.COMPLETED:
                self.running.pop(service, None)
                self.settled[service] = order.target
                self.refused.pop(service, None)
            case ShiftState.ROLLED_BACK:
                self.running.pop(service, None)
                self.refused[service] = order.target
                if self.settled.get(service) == order.target:
                    del self.settled[service]
            case _:
                shift = self.running.get(service)
                if shift is not None and shift.order.target == order.target:
                    shift.order = order
                    return
                share = self.host.bounds.exposure_share
                self.refused.pop(service, None)
                age_s = self._age_s() + waited_s
                self.running[service] = Shift(order, share, age_s)

    def _age_s(self) -> float:
        """Return the assumed age in seconds of an order that was just read.

        An order read from a list may have been placed a while before. With an
        age of zero, a good version would be completed after its deadline. An
        age that is too high shortens the canary, but adds no exposure.
        """
        unseen_s = self.unseen_s()
        return unseen_s if unseen_s <= MAX_UNSEEN_S else 0.0

    def drop(self, stored: StoredObject) -> None:
        """End the roll-out of an order that was removed."""
        for service, order in list(self.orders.items()):
            if order.name == stored.name:
                self.running.pop(service, None)
                del self.orders[service]
                self.returned.forget(service)
                log.info("order removed", service=service)

    def _new_instances(self, shift: Shift) -> list[str]:
        return [
            one.entry.id
            for one in self.directory.of_service(shift.order.service)
            if one.open and one.entry.version == shift.order.target
        ]

    def _old_running(self, shift: Shift) -> int:
        return sum(
            one.running
            for one in self.directory.of_service(shift.order.service)
            if one.entry.version != shift.order.target
        )

    def live_reports(self, shift: Shift) -> list[Report]:
        """Return the other live routers' reports on a roll-out."""
        lost_s = REPORTS_LOST * self.reporter.quiet_pace_s()
        return shift.live_reports(lost_s)

    def _is_router_behind(self, shift: Shift) -> bool:
        """Whether a live router has not moved all of its requests."""
        if shift.stage is not Stage.ALL:
            return True
        reports = self.live_reports(shift)
        if shift.deadline_reached:
            late_s = max(REPORT_LATE_S, REPORTS_LOST * self.reporter.pace_s())
            reports = shift.live_reports(late_s)
        return any(report.stage is not Stage.ALL for report in reports)

    def _is_done(self, shift: Shift) -> bool:
        """Whether all requests moved and none runs on the old version.

        At the deadline, requests that still run do not delay the end.
        """
        if shift.suspect or self._is_router_behind(shift):
            return False
        if shift.deadline_reached:
            return True
        if self.store_doubtful():
            # No router could report while the store was unavailable, so a
            # router without a live report may still run requests on the old
            # version, which a completion stops at once.
            return False
        return not self._old_running(shift) and not any(
            report.old_running for report in self.live_reports(shift)
        )

    def _end(self, shift: Shift, state: ShiftState) -> None:
        """Write the new state of a roll-out's order."""
        self._write_status(shift.order, state)

    def _write_status(self, order: ShiftOrder, state: ShiftState) -> None:
        """Write an order's state; on a conflict, apply the stored order."""
        status = shift_status(order, state)
        try:
            written, found = self.api.write_status(
                KIND_SHIFTS, order.name, status, order.revision, "shift-status"
            )
        except LacewingdockError as error:
            log.warning(
                "order status not written",
                service=order.service,
                state=state,
                error=str(error),
            )
            return
        log.info(
            "status",
            service=order.service,
            target=order.target,
            state=state,
            written=written,
            revision=format_revision(found.revision),
        )
        if found.revision:
            self.take(found)
