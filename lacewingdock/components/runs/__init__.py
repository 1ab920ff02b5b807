"""Support for the last gate before an upstream and what runs behind it."""

import time
from collections.abc import Callable
from typing import Final

import prometheus_client

from lacewingdock.components.admission.slots import Slots
from lacewingdock.components.billing.sidecar import SidecarBilling
from lacewingdock.components.claims import Claims, Duplicate, Recorded
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.configuration.catch_up import catch_up
from lacewingdock.components.peers import Peers
from lacewingdock.components.quarantine import (
    Quarantine,
    QuarantineVerdict,
    fingerprint_of,
)
from lacewingdock.components.quarantine.crash_detector import CrashDetector
from lacewingdock.components.runs.shelf import Shelf
from lacewingdock.components.runs.upstream_call import call_upstream
from lacewingdock.components.runs.upstream_status import probe_upstream
from lacewingdock.const import RAN_NO, RAN_UNKNOWN
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.clock import MS_PER_S
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.link import LAPSE_S, Link
from lacewingdock.links.messages import (
    Attempt,
    Beat,
    Cancel,
    Resume,
    Status,
)
from lacewingdock.links.refusals import refusal_of
from lacewingdock.settings import SidecarSettings
from lacewingdock.world.run import Run

NAME: Final = "runs"
SWEEP_S: Final = 1.0
# How long a run that may not be resumed by its caller outlives its entry's
# link: long enough for the entry to come back over a new one.
ORPHAN_S: Final = 5.0
# How long aborted runs may take to tell their entries.
ABORT_S: Final = 0.5
ABORT_POLL_S: Final = 0.01

# The request itself is at fault and would never run, whoever refuses it.
_REQUEST_FAULTS: Final = frozenset(
    {ErrorKind.BAD_REQUEST, ErrorKind.KEY_REQUIRED, ErrorKind.KEY_REUSED}
)

log = get_logger(NAME)


class Runs:
    """What runs on this sidecar's upstream.

    Attributes:
        daemon: The daemon.
        settings: The sidecar's settings.
        peers: The links.
        configuration: The configuration in force.
        claims: The claims; None beside an engine.
        quarantine: Which requests crash upstreams.
        crashes: Notices that the upstream crashed.
        billing: Gets a bill of each run before its end is told.
        not_begun: Attempts that came too late to be begun.
        slots: The upstream's capacity.
        shelf: The runs and the answers kept.
        targets: Versions that the engine has loaded, or the service.
        on_end: Called with each run that ended and when it came.
    """

    __slots__ = (
        "billing",
        "claims",
        "configuration",
        "crashes",
        "daemon",
        "not_begun",
        "on_end",
        "peers",
        "quarantine",
        "settings",
        "shelf",
        "slots",
        "targets",
    )

    def __init__(
        self,
        daemon: Daemon,
        settings: SidecarSettings,
        peers: Peers,
        configuration: Configuration,
        claims: Claims | None,
        quarantine: Quarantine,
        billing: SidecarBilling,
    ) -> None:
        """Join the links."""
        self.billing = billing
        self.daemon = daemon
        self.settings = settings
        self.peers = peers
        self.configuration = configuration
        self.claims = claims
        self.quarantine = quarantine
        self.crashes = CrashDetector(
            settings.instance,
            lambda: probe_upstream(settings.upstream),
            self._on_crash,
            lambda *doubt: self.quarantine.report_unresolved(*doubt),
        )
        self.not_begun = prometheus_client.Counter(
            "lacewingdock_attempts_not_begun",
            "Attempts not begun because their entry had given them up",
            registry=daemon.metrics,
        )
        self.slots = Slots(settings.capacity, settings.queue)
        self.shelf = Shelf(settings.replay_bytes, settings.resume_s, ORPHAN_S)
        self.targets: list[str] = [settings.service] if settings.service else []
        self.on_end: Callable[[Run, float], None] = lambda *_: None
        peers.handle(Attempt, self._on_attempt)
        peers.handle(Resume, self._on_resume)
        peers.handle(Cancel, self._on_cancel)
        peers.on_open.append(lambda link: link.send(self.status()))
        peers.on_close.append(self._on_close)
        peers.beat = self._beat

    def start(self) -> None:
        """Start clearing away old answers."""
        self.daemon.every(SWEEP_S, self.shelf.sweep)

    def status(self) -> Status:
        """What entries are told."""
        return Status(
            list(self.targets),
            self.slots.occupied,
            self.slots.queued,
            self.settings.capacity,
            self.daemon.leaving.is_set(),
            self.claims.homes() if self.claims else [],
        )

    def announce(self) -> None:
        """Tell every entry now."""
        self.peers.broadcast(self.status())

    def set_targets(self, targets: list[str]) -> None:
        """Take what the engine has loaded."""
        if targets != self.targets:
            self.targets = targets
            self.announce()

    def _on_crash(
        self, crash: str, isolated: bool, fingerprints: list[str]
    ) -> None:
        """Tell of a crash, and that nothing is served until the next poll."""
        self.quarantine.report_crash(crash, isolated, fingerprints)
        self.set_targets([])

    def active(self) -> int:
        """Count the runs that have not ended or been fetched."""
        return self.shelf.active()

    def _beat(self) -> Beat:
        return Beat(
            self.slots.occupied, self.slots.queued, self.configuration.revision
        )

    def _on_attempt(self, link: Link, attempt: Attempt) -> None:
        """Take an attempt in before the link's next frame is read.

        A cancel or a resume that follows at once must find it.
        """
        run = Run(attempt)
        run.before_end = self.billing.on_end
        match self.shelf.put(run):
            case None:
                run.attach(link, attempt.attempt, 0)
                run.refuse(_never_came(attempt.attempt))
            case first if first is run:
                run.attach(link, attempt.attempt, 0)
                late_s = link.delay.of(attempt.sent_ms)
                self.daemon.spawn(self._serve, run, link, late_s)
            case first:
                # The frame came twice; the id of another workspace's attempt
                # must not open its answer.
                self._send_rest(link, attempt.attempt, attempt.workspace, first)

    def _serve(self, run: Run, link: Link, late_s: float) -> None:
        """Take one attempt through the gate and run it.

        Args:
            run: The attempt's run.
            link: Where it came from.
            late_s: Seconds that it was on its way beyond the usual.
        """
        started = time.monotonic()
        try:
            self._admit(run, link, late_s)
        except LacewingdockError as error:
            run.refuse(
                self._checked_ran(run, error), self.configuration.revision
            )
        except Exception as error:
            log.exception("run failed", request_id=run.attempt.request)
            run.refuse(LacewingdockError(ErrorKind.INTERNAL, repr(error)))
        finally:
            if self.claims is not None:
                self.claims.finish(run)
            self.on_end(run, started)

    def _checked_ran(
        self, run: Run, error: LacewingdockError
    ) -> LacewingdockError:
        """Say "not run" of a key only where its home vouches for it.

        The caller may send a key again after it lost the answer to a run;
        "not run" from someone who doesn't know of that run would make it
        book under another key.
        """
        if (
            error.ran != RAN_NO
            or run.attempt.repeatable
            or self.claims is None
            or error.kind in _REQUEST_FAULTS
            or self.claims.vouches(run)
        ):
            return error
        return LacewingdockError(
            error.kind, error.detail, RAN_UNKNOWN, error.retry_after_s
        )

    def _admit(self, run: Run, link: Link, late_s: float) -> None:
        attempt = run.attempt
        run.deadline -= late_s
        if late_s > LAPSE_S and attempt.repeatable:
            raise self._not_begun(run, f"it came {late_s:.1f} s late")
        self.gate(attempt, link)
        self.billing.check_room()
        if attempt.repeatable or self.claims is None:
            self._execute(run)
            return
        match self.claims.admit(run):
            case Duplicate(first):
                self._follow(run, first)
            case Recorded(finish, body):
                run.add(body)
                run.end(finish)
            case None:
                self._execute(run)

    def gate(self, attempt: Attempt, link: Link) -> None:
        """Check an attempt, on no older configuration than its entry's.

        The entry may have decided at a later revision, at which the request
        is permitted: a version just offered must not be refused.
        """
        try:
            self._check(attempt)
        except LacewingdockError:
            if attempt.revision <= self.configuration.revision:
                raise
            catch_up(self.configuration, link, attempt.revision)
            self._check(attempt)

    def _check(self, attempt: Attempt) -> None:
        """Refuse what may not run here; the entry's view may be older."""
        if self.daemon.leaving.is_set():
            raise LacewingdockError(ErrorKind.LEAVING, "the sidecar is leaving")
        if not self.configuration.loaded.is_set():
            raise LacewingdockError(ErrorKind.NOT_READY, "no configuration yet")
        if attempt.target not in self.targets:
            raise LacewingdockError(
                ErrorKind.NO_UPSTREAM, f"{attempt.target} is not served here"
            )
        self._check_permitted(attempt)

    def _check_permitted(self, attempt: Attempt) -> None:
        world = self.configuration.world
        workspace = world.workspaces.get(attempt.workspace)
        service = bool(self.settings.service)
        allowed = (
            ()
            if workspace is None
            else (workspace.services if service else workspace.versions)
        )
        if attempt.target not in allowed:
            raise LacewingdockError(
                ErrorKind.MODEL_NOT_ALLOWED,
                f"{attempt.target} is not allowed in {attempt.workspace}",
            )
        if not service and not world.offered(attempt.target):
            raise LacewingdockError(
                ErrorKind.VERSION_WITHDRAWN, f"{attempt.target} is withdrawn"
            )

    def _not_begun(self, run: Run, reason: str) -> LacewingdockError:
        """Return the refusal of an attempt that its entry gave up."""
        self.not_begun.inc()
        log.info(
            "attempt not begun",
            request_id=run.attempt.request,
            attempt_id=run.attempt.attempt,
            reason=reason,
        )
        return LacewingdockError(
            ErrorKind.NO_UPSTREAM, f"not begun: {reason}", RAN_NO
        )

    def _execute(self, run: Run) -> None:
        """Wait for a slot and run; a suspect waits until it can run alone."""
        attempt = run.attempt
        fingerprint = fingerprint_of(attempt)
        done = False
        while not done:
            alone = (
                self.quarantine.check(fingerprint) is QuarantineVerdict.SUSPECT
            )
            with self.slots.hold(
                attempt.priority, run.deadline, alone, run.let_cancel
            ):
                done = self._run(run, fingerprint, alone)

    def _run(self, run: Run, fingerprint: str, alone: bool) -> bool:
        """Check once more and call the upstream.

        Returns:
            False when the request became suspect, or was cleared, while it
            waited, and so has to wait for another kind of slot.
        """
        # A withdrawal or a crash may have become known while this one queued.
        self._check_permitted(run.attempt)
        suspect = (
            self.quarantine.check(fingerprint) is QuarantineVerdict.SUSPECT
        )
        if run.cancelled.is_set():
            raise LacewingdockError(
                ErrorKind.DEADLINE, "nobody waits any more", RAN_NO
            )
        if run.is_given_up():
            raise self._not_begun(run, "its entry has turned elsewhere")
        if suspect != alone:
            return False
        self.quarantine.check_blast_radius(fingerprint, self.settings.instance)
        try:
            with self.crashes.call(fingerprint, alone):
                call_upstream(
                    self.settings.upstream,
                    run,
                    run.deadline,
                    is_engine=not self.settings.service,
                )
        except LacewingdockError:
            self.quarantine.enqueue_quarantine(run.attempt, fingerprint)
            raise
        if alone:
            self.quarantine.excuse(fingerprint)
        return True

    def _follow(self, run: Run, first: Run) -> None:
        """Give a repeated request the answer of the run it repeats."""
        self.shelf.alias(run.attempt.attempt, first)
        run.hand_over(first)

    def _on_resume(self, link: Link, resume: Resume) -> None:
        run = self.shelf.get(resume.original)
        if run is None:
            error = self._judge_unknown(resume)
            link.send(refusal_of(resume.attempt, error))
            return
        self._send_rest(
            link, resume.attempt, resume.workspace, run, resume.offset
        )

    def _judge_unknown(self, resume: Resume) -> LacewingdockError:
        """Say of an attempt that is not here whether it ran.

        "Not run" is only true of this very process, and only while it would
        still remember; an entry that was frozen comes later than that.
        """
        is_remembered = (
            resume.incarnation == self.daemon.me.incarnation
            and resume.age_ms < self.settings.resume_s * MS_PER_S / 2
        )
        is_new = is_remembered and self.shelf.fence(resume.original)
        # Of a key only its claim can say that it did not run.
        if is_new and self.claims is None:
            return _never_came(resume.original)
        return LacewingdockError(
            ErrorKind.ANSWER_GONE,
            "this sidecar has no such answer",
            RAN_UNKNOWN,
        )

    def _send_rest(
        self,
        link: Link,
        attempt: str,
        workspace: str,
        run: Run,
        offset: int = 0,
    ) -> None:
        """Give an answer from an offset on, to its own workspace only."""
        if run.attempt.workspace != workspace:
            log.warning(
                "resume refused", peer=link.peer.instance, workspace=workspace
            )
            error = LacewingdockError(
                ErrorKind.ANSWER_GONE,
                "this sidecar has no such answer",
                RAN_UNKNOWN,
            )
            link.send(refusal_of(attempt, error))
            return
        # The entry gave its old link up; here that link may look open for long,
        # and would count as somebody who waits.
        run.detach_peer(link)
        self.shelf.alias(attempt, run)
        self.daemon.spawn(run.attach, link, attempt, offset)

    def _on_cancel(self, link: Link, cancel: Cancel) -> None:
        run = self.shelf.get(cancel.attempt)
        if cancel.settle:
            self._settle(link, cancel.attempt, run)
            return
        # Only whoever gets the answer may give it up, and only while nobody
        # else gets it: a run between two links has no watcher either.
        if run is None or not run.detach(link, cancel.attempt):
            return
        attempt = run.attempt
        if cancel.ended:
            run.fetched = True
            self.shelf.release(run)
        elif cancel.keep or attempt.resumable:
            run.kept = True
        elif attempt.repeatable and not run.watchers:
            run.caller_left = cancel.left
            run.cancel()

    def _settle(self, link: Link, attempt: str, run: Run | None) -> None:
        """Tell of an attempt that was given up once it can't run any more."""
        if run is None:
            if self.shelf.fence(attempt):
                link.send(refusal_of(attempt, _never_came(attempt)))
            return
        # The link that the entry gave up may still look open here.
        run.detach_peer(link)
        if run.outcome is not None:
            ran = RAN_UNKNOWN if run.executed else RAN_NO
            error = LacewingdockError(ErrorKind.NO_UPSTREAM, "it ended", ran)
            link.send(refusal_of(attempt, error))
        elif run.attempt.repeatable and not (run.kept or run.watchers):
            run.cancel()

    def _on_close(self, link: Link) -> None:
        for run in self.shelf.runs():
            run.detach(link)

    def unload(self) -> None:
        """Abort what still runs; the grace time is over.

        The entries are told, so that their callers need not find out.
        """
        for run in self.shelf.runs():
            run.cancel()
        end = time.monotonic() + ABORT_S
        while time.monotonic() < end and any(
            run.outcome is None for run in self.shelf.runs()
        ):
            time.sleep(ABORT_POLL_S)


def _never_came(attempt: str) -> LacewingdockError:
    return LacewingdockError(
        ErrorKind.NO_UPSTREAM, f"attempt {attempt} never came", RAN_NO
    )


def setup(
    daemon: Daemon,
    settings: SidecarSettings,
    peers: Peers,
    configuration: Configuration,
    claims: Claims | None,
    quarantine: Quarantine,
    billing: SidecarBilling,
) -> Runs:
    """Set the runs up."""
    runs = Runs(
        daemon, settings, peers, configuration, claims, quarantine, billing
    )
    daemon.add(NAME, runs)
    return runs
