"""Support for rolling versions out on the platform's order.

Every router moves its own requests by the order's time, judges the new
version by the answers that all routers report, and may end the order: the
end is a conditional write, so the first one wins and the others read it. No
router is in charge, so none can fail while it is.
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
from lacewingdock.components.shifts.const import (
    QUIET_REPORTS_PER_S,
    REPORT_LATE_S,
    REPORT_S,
    REPORTS_LOST,
    UNSEEN_MOST_S,
    WRITES_PART,
)
from lacewingdock.components.shifts.evidence import Sample
from lacewingdock.components.shifts.pins import SessionPins
from lacewingdock.components.shifts.report import Report, Stage, read_report
from lacewingdock.components.shifts.reporter import Reporter
from lacewingdock.components.shifts.returned import ReturnedOrders
from lacewingdock.components.shifts.shift import Shift, VersionRule
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.documents import (
    KIND_SHIFTS,
    read_shift,
    shift_status,
)
from lacewingdock.platform.history import era_of, shown
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.backend import ShiftOrder, ShiftState
from lacewingdock.world.call import Call
from lacewingdock.world.host import HostProfile

log = get_logger("shifts")

__all__ = ["ReportListener", "Sample", "Shifts", "VersionRule"]


class Shifts:
    """The roll-outs under way, and the version that each service is on.

    Attributes:
        host: What the platform says of this instance.
        api: The platform's store.
        directory: The upstream instances.
        orders: The newest order of each service.
        returned: Orders of a store that is back from a copy.
        running: Roll-outs under way, by service.
        settled: The version of each service outside of roll-outs.
        refused: Versions that were rolled back, by service.
        pins: The version of each session.
        reporter: Writes this router's reports.
        unseen_s: Returns for how long an order that is taken now may have gone
            unseen, in seconds.
        store_doubtful: Returns whether the store was away lately.
        admits: Returns whether the instance with an id takes a request now.
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
        """Take the parts.

        Args:
            host: What the platform says of this instance.
            incarnation: This start of the router.
            api: The platform's store.
            directory: The upstream instances.
            routers: Returns how many routers there are.
        """
        self.host = host
        self.api = api
        self.directory = directory
        self.orders: dict[str, ShiftOrder] = {}
        self.returned = ReturnedOrders()
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
        """Whether reports of a roll-out are waited for."""
        return any(shift.hurried for shift in list(self.running.values()))

    def version(
        self, service: str, call: Call, *, again: bool = False
    ) -> VersionRule:
        """Return which versions may run a request.

        Args:
            service: The service.
            call: The request.
            again: Whether an attempt at it failed.
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
        if pinned != target and not self._takes_load(shift):
            return VersionRule(never=target)
        if pinned is not None and pinned != target and shift.keeps_sessions:
            return VersionRule(never=target)
        if pinned == target or shift.takes(call):
            # One that failed there may go to any that is left.
            instances = frozenset() if again else shift.loaded
            return VersionRule(only=target, instances=instances)
        return VersionRule(never=target)

    def _takes_load(self, shift: Shift) -> bool:
        """Whether an instance that gets the new version's requests takes one.

        It must be warm, and if it takes few, have a turn for it. Else requests
        would be refused although the old version's instances have places.
        """
        warm = self.directory.warm(shift.order.service, shift.order.target)
        found = shift.loaded & warm if shift.loaded else warm
        return any(self.admits(one) for one in found)

    def add(self, sample: Sample, session: str) -> None:
        """Take what an attempt showed of a version."""
        self.pins.keep(sample.service, session, sample.version)
        shift = self.running.get(sample.service)
        if shift is None or sample.refused:
            return
        with self._lock:
            is_new = sample.version == shift.order.target
            shift.evidence.add(sample, is_new=is_new)

    def take_report(self, report: Report) -> None:
        """Take another router's report."""
        shift = self._running(report.service, report.target)
        if shift is None or report.incarnation == self.reporter.incarnation:
            return
        with self._lock:
            shift.take_report(report)

    def sessions_to_keep(self) -> list[PinnedSession]:
        """Return the sessions that other routers would move too early.

        All routers draw alike which sessions the new version gets first, but
        one that did not serve a session before, or has started since, takes it
        for new. While a session must stay, those that know it tell it.
        """
        found: list[PinnedSession] = []
        for service, shift in list(self.running.items()):
            if not shift.keeps_sessions or shift.found_bad:
                continue
            target = shift.order.target
            found += [
                one
                for one in self.pins.of_service(service)
                if one.version != target and shift.draws(one.session)
            ]
        return sorted(found, key=lambda one: one.age_s)[:MAX_SESSIONS]

    def found_bad(self) -> list[tuple[str, str]]:
        """Return the services and versions of roll-outs that were found bad."""
        return [
            (service, shift.order.target)
            for service, shift in list(self.running.items())
            if shift.found_bad
        ]

    def hear_message(self, message: Message) -> None:
        """Take what another router says of sessions and bad versions.

        The reports say the latter too, but they may be seen seconds late.
        """
        for one in message.sessions:
            self.pins.hear(one)
        for service, target in message.bad:
            if shift := self._running(service, target):
                with self._lock:
                    shift.hear_bad(message.router)

    def take_stored_report(self, stored: StoredObject) -> None:
        """Take another router's report from the store."""
        report = read_report(stored)
        if report is None:
            log.error("report refused", report=stored.name)
            return
        self.take_report(report)

    def own_reports(self) -> bytes:
        """Return this router's reports, for others to hear in an outage."""
        running = list(self.running.values())
        reports = [
            self.reporter.report(shift, self._old_running(shift))
            for shift in running
        ]
        return msgspec.json.encode(reports) if reports else b""

    def hear(self, data: bytes) -> None:
        """Take another router's reports from itself.

        A router that the store turns away can't write them; without its bad
        answers the others would each have to see enough by themselves.
        """
        try:
            reports: list[Report] = decode_json(data, list[Report])
        except msgspec.DecodeError as error:
            log.error("reports refused", error=str(error))
            return
        for report in reports:
            self.take_report(report)

    def round(self) -> None:
        """Judge, move on, report and end what is due."""
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
        self._settle()
        self.pins.prune()

    def _running(self, service: str, target: str) -> Shift | None:
        """Return the roll-out of a service to a version, if it is under way."""
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
        """Take an order."""
        try:
            order = read_shift(stored)
        except LacewingdockError as error:
            log.error("order refused", order=stored.name, error=str(error))
            return
        known = self.orders.get(order.service)
        if known is not None and known.revision >= order.revision:
            return
        if known is not None and self._may_be_lost_state(known, order):
            if known.target != order.target:
                self._defer(order)
                return
            if known.state.ended and not order.state.ended:
                self._restore_end(known, order)
                return
        self._begin(order)

    def _begin(self, order: ShiftOrder, waited_s: float = 0.0) -> None:
        """Go by an order.

        Args:
            order: The order.
            waited_s: Seconds since it was seen.
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
            revision=shown(order.revision),
        )
        self._apply(order, waited_s)

    def _may_be_lost_state(self, known: ShiftOrder, order: ShiftOrder) -> bool:
        """Whether the store may show an order as it was before what is known.

        It is back from a copy, and the operator's later orders and the ends
        that routers wrote are written again.
        """
        is_of_copy = era_of(order.revision) != era_of(known.revision)
        return is_of_copy and self.store_doubtful()

    def _defer(self, order: ShiftOrder) -> None:
        """Leave an order until the store has all orders again."""
        self.returned.defer(order)
        log.info(
            "order deferred",
            service=order.service,
            target=order.target,
            revision=shown(order.revision),
        )

    def _settle(self) -> None:
        """Go by what a store that is back from a copy shows by now."""
        if self.returned.deferred and not self.store_doubtful():
            for waited_s, order in self.returned.settled():
                self._begin(order, waited_s)
        for service in self.returned.due():
            order = self.orders[service]
            self._write_status(order, order.state)

    def _restore_end(self, known: ShiftOrder, order: ShiftOrder) -> None:
        """Write again how an order ended, which the store lost.

        Begun anew, a version that was rolled back would get requests again.
        """
        self.orders[order.service] = replace(order, state=known.state)
        # Spread over the fleet: once one has written it, the others see it.
        spread = zlib.crc32(self.reporter.router.encode()) / 2**32
        self.returned.write_end(order.service, spread * self.reporter.pace_s())

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
        """Return for how long an order that was just seen counts as placed.

        An order that a list shows may have been placed a while before; counted
        from then on, a good version would be completed after its time. Too
        long an age costs a part of the canary's time, and exposes no more.
        """
        unseen_s = self.unseen_s()
        return unseen_s if unseen_s <= UNSEEN_MOST_S else 0.0

    def drop(self, stored: StoredObject) -> None:
        """Take an order that was removed: it is over."""
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

    def living_reports(self, shift: Shift) -> list[Report]:
        """Return the other routers' reports of a roll-out, if they live."""
        lost_s = REPORTS_LOST * self.reporter.quiet_pace_s()
        return shift.living_reports(lost_s)

    def _is_behind(self, shift: Shift) -> bool:
        """Whether a router that lives has not moved all of its requests."""
        if shift.stage is not Stage.ALL:
            return True
        reports = self.living_reports(shift)
        if shift.due:
            late_s = max(REPORT_LATE_S, REPORTS_LOST * self.reporter.pace_s())
            reports = shift.living_reports(late_s)
        return any(report.stage is not Stage.ALL for report in reports)

    def _is_done(self, shift: Shift) -> bool:
        """Whether all requests moved and nothing runs on what is stopped."""
        if shift.suspect or self._is_behind(shift):
            return False
        if shift.due:
            return True
        if self.store_doubtful():
            # Nobody could report while the store was away, so a router that is
            # silent may still have requests on the old version, which a
            # completion stops at once.
            return False
        return not self._old_running(shift) and not any(
            report.old_running for report in self.living_reports(shift)
        )

    def _end(self, shift: Shift, state: ShiftState) -> None:
        """Write what became of an order; a lost race is read back."""
        self._write_status(shift.order, state)

    def _write_status(self, order: ShiftOrder, state: ShiftState) -> None:
        """Write what became of an order; a lost race is read back."""
        status = shift_status(order, state)
        try:
            written, found = self.api.write_status(
                KIND_SHIFTS, order.name, status, order.revision, "shift-status"
            )
        except LacewingdockError as error:
            log.warning(
                "status not written",
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
            revision=shown(found.revision),
        )
        if found.revision:
            self.take(found)
