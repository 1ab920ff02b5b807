"""Support for the sidecar's final checks and for running attempts."""

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
from lacewingdock.components.runs.run_store import RunStore
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
from lacewingdock.links.refusals import build_refusal
from lacewingdock.settings import SidecarSettings
from lacewingdock.world.run import Run

NAME: Final = "runs"
# Seconds between two removals of expired answers.
SWEEP_S: Final = 1.0
# Seconds that a run whose caller may not resume it outlives its entry's link:
# long enough for the entry to reconnect over a new link.
ORPHAN_S: Final = 5.0
# Seconds that aborted runs have to report their end to their entries.
ABORT_S: Final = 0.5
ABORT_POLL_S: Final = 0.01

# The request itself is invalid: it would be refused by every sidecar.
_REQUEST_FAULTS: Final = frozenset(
    {ErrorKind.BAD_REQUEST, ErrorKind.KEY_REQUIRED, ErrorKind.KEY_REUSED}
)

log = get_logger(NAME)


class Runs:
    """Admits, runs and resumes the attempts for this sidecar's upstream.

    Attributes:
        daemon: The sidecar's daemon.
        settings: The sidecar's settings.
        peers: The links to the entries.
        configuration: The configuration in force.
        claims: The claims on idempotency keys; None beside an engine.
        quarantine: State of the requests that crash upstreams.
        crashes: Detects crashes of the upstream.
        billing: Receives a bill for each run before its end is reported.
        not_begun: Counter of the attempts not begun because their entry had
            given them up.
        slots: The upstream's capacity, in concurrent runs, and its queue.
        run_store: The runs and the stored answers, by attempt id.
        targets: Versions that the engine has loaded, or the service.
        on_end: Called with each run that ended and the monotonic time, in
            seconds, at which serving it started.
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
        "run_store",
        "settings",
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
        """Initialize the runs and register their message handlers."""
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
            lambda *report_unresolved: self.quarantine.report_unresolved(
                *report_unresolved
            ),
        )
        self.not_begun = prometheus_client.Counter(
            "lacewingdock_attempts_not_begun",
            "Attempts not begun because their entry had given them up",
            registry=daemon.metrics,
        )
        self.slots = Slots(settings.capacity, settings.queue)
        self.run_store = RunStore(
            settings.replay_bytes, settings.resume_s, ORPHAN_S
        )
        self.targets: list[str] = [settings.service] if settings.service else []
        self.on_end: Callable[[Run, float], None] = lambda *_: None
        peers.handle(Attempt, self._on_attempt)
        peers.handle(Resume, self._on_resume)
        peers.handle(Cancel, self._on_cancel)
        peers.on_open.append(lambda link: link.send(self.status()))
        peers.on_close.append(self._on_close)
        peers.beat = self._beat

    def start(self) -> None:
        """Start the periodic removal of expired answers."""
        self.daemon.every(SWEEP_S, self.run_store.sweep)

    def status(self) -> Status:
        """Build the status message for entries."""
        return Status(
            list(self.targets),
            self.slots.occupied,
            self.slots.queued,
            self.settings.capacity,
            self.daemon.leaving.is_set(),
            self.claims.homes() if self.claims else [],
        )

    def announce(self) -> None:
        """Send the status to every entry at once."""
        self.peers.broadcast(self.status())

    def set_targets(self, targets: list[str]) -> None:
        """Set the served targets and announce them if they changed."""
        if targets != self.targets:
            self.targets = targets
            self.announce()

    def _on_crash(
        self, crash: str, isolated: bool, fingerprints: list[str]
    ) -> None:
        """Report a crash and announce no targets until the next poll."""
        self.quarantine.report_crash(crash, isolated, fingerprints)
        self.set_targets([])

    def active(self) -> int:
        """Count the runs not ended, or whose answer may still be fetched."""
        return self.run_store.active()

    def _beat(self) -> Beat:
        return Beat(
            self.slots.occupied, self.slots.queued, self.configuration.revision
        )

    def _on_attempt(self, link: Link, attempt: Attempt) -> None:
        """Store an attempt's run before the link's next frame is read.

        A cancel or a resume that follows immediately must find the run.
        """
        run = Run(attempt)
        run.before_end = self.billing.on_end
        match self.run_store.put(run):
            case None:
                run.attach(link, attempt.attempt, 0)
                run.refuse(_never_received_error(attempt.attempt))
            case first if first is run:
                run.attach(link, attempt.attempt, 0)
                late_s = link.delay.estimate_s(attempt.sent_ms)
                self.daemon.spawn(self._serve, run, link, late_s)
            case first:
                # A duplicate frame. The id of another workspace's attempt
                # must not give access to that attempt's answer.
                self._send_remainder(
                    link, attempt.attempt, attempt.workspace, first
                )

    def _serve(self, run: Run, link: Link, late_s: float) -> None:
        """Check, admit and run one attempt.

        Args:
            run: The attempt's run.
            link: The link that the attempt was received on.
            late_s: Seconds of transit beyond the link's usual delay.
        """
        started = time.monotonic()
        try:
            self._admit(run, link, late_s)
        except LacewingdockError as error:
            run.refuse(
                self._restrict_not_run(run, error), self.configuration.revision
            )
        except Exception as error:
            log.exception("run failed", request_id=run.attempt.request)
            run.refuse(LacewingdockError(ErrorKind.INTERNAL, repr(error)))
        finally:
            if self.claims is not None:
                self.claims.finish(run)
            self.on_end(run, started)

    def _restrict_not_run(
        self, run: Run, error: LacewingdockError
    ) -> LacewingdockError:
        """Return "not run" for a key only if its home confirms it.

        A caller may send a key again after it lost the answer to a run. A
        "not run" from a sidecar that has no record of that run would make
        the caller book again, under another key.
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
            raise self._not_begun_error(run, f"received {late_s:.1f} s late")
        self.check_attempt(attempt, link)
        self.billing.check_room()
        if attempt.repeatable or self.claims is None:
            self._execute(run)
            return
        match self.claims.admit(run):
            case Duplicate(first):
                self._share_result(run, first)
            case Recorded(finish, body):
                run.add(body)
                run.end(finish)
            case None:
                self._execute(run)

    def check_attempt(self, attempt: Attempt, link: Link) -> None:
        """Check an attempt against a configuration not older than its entry's.

        The entry may have decided at a later revision, at which the request
        is permitted: a version just offered must not be refused.

        Raises:
            LacewingdockError: The attempt may not run here.
        """
        try:
            self._check(attempt)
        except LacewingdockError:
            if attempt.revision <= self.configuration.revision:
                raise
            catch_up(self.configuration, link, attempt.revision)
            self._check(attempt)

    def _check(self, attempt: Attempt) -> None:
        """Check that an attempt may run here; its entry may be outdated."""
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

    def _not_begun_error(self, run: Run, reason: str) -> LacewingdockError:
        """Count, log and build the refusal of an abandoned attempt."""
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
        """Wait for a slot and run; a suspect request runs in isolation."""
        attempt = run.attempt
        fingerprint = fingerprint_of(attempt)
        done = False
        while not done:
            alone = (
                self.quarantine.check(fingerprint) is QuarantineVerdict.SUSPECT
            )
            with self.slots.hold(
                attempt.priority, run.deadline, alone, run.set_cancel_hook
            ):
                done = self._run(run, fingerprint, alone)

    def _run(self, run: Run, fingerprint: str, alone: bool) -> bool:
        """Repeat the checks after the wait and call the upstream.

        Returns:
            False when the request became suspect, or was cleared, while it
            waited, and so has to wait for the other kind of slot.
        """
        # A withdrawal or a crash may have been reported while the run queued.
        self._check_permitted(run.attempt)
        suspect = (
            self.quarantine.check(fingerprint) is QuarantineVerdict.SUSPECT
        )
        if run.cancelled.is_set():
            raise LacewingdockError(
                ErrorKind.DEADLINE, "no caller is waiting any more", RAN_NO
            )
        if run.is_abandoned():
            raise self._not_begun_error(run, "its entry has abandoned it")
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

    def _share_result(self, run: Run, first: Run) -> None:
        """Serve a duplicate request from the run that it repeats."""
        self.run_store.alias(run.attempt.attempt, first)
        run.transfer_subscribers(first)

    def _on_resume(self, link: Link, resume: Resume) -> None:
        run = self.run_store.get(resume.original)
        if run is None:
            error = self._unknown_attempt_error(resume)
            link.send(build_refusal(resume.attempt, error))
            return
        self._send_remainder(
            link, resume.attempt, resume.workspace, run, resume.offset
        )

    def _unknown_attempt_error(self, resume: Resume) -> LacewingdockError:
        """Build the error for an attempt without a run on this sidecar.

        "Not run" holds only for this incarnation of the sidecar, and only
        while a run would still be stored; an entry that was frozen may ask
        later than that.
        """
        is_remembered = (
            resume.incarnation == self.daemon.me.incarnation
            and resume.age_ms < self.settings.resume_s * MS_PER_S / 2
        )
        is_new = is_remembered and self.run_store.fence(resume.original)
        # For a request with a key, only its claim shows that it did not run.
        if is_new and self.claims is None:
            return _never_received_error(resume.original)
        return LacewingdockError(
            ErrorKind.ANSWER_GONE,
            "this sidecar has no such answer",
            RAN_UNKNOWN,
        )

    def _send_remainder(
        self,
        link: Link,
        attempt: str,
        workspace: str,
        run: Run,
        offset: int = 0,
    ) -> None:
        """Send an answer from an offset on, to its own workspace only."""
        if run.attempt.workspace != workspace:
            log.warning(
                "resume refused", peer=link.peer.instance, workspace=workspace
            )
            error = LacewingdockError(
                ErrorKind.ANSWER_GONE,
                "this sidecar has no such answer",
                RAN_UNKNOWN,
            )
            link.send(build_refusal(attempt, error))
            return
        # The entry has abandoned its old link, which may appear open here for
        # long and would count as a subscriber.
        run.detach_peer(link)
        self.run_store.alias(attempt, run)
        self.daemon.spawn(run.attach, link, attempt, offset)

    def _on_cancel(self, link: Link, cancel: Cancel) -> None:
        run = self.run_store.get(cancel.attempt)
        if cancel.settle:
            self._resolve_abandoned(link, cancel.attempt, run)
            return
        # Only a subscriber may cancel a run, and only as its last one. A run
        # whose entry is between two links has no subscriber either.
        if run is None or not run.detach(link, cancel.attempt):
            return
        attempt = run.attempt
        if cancel.ended:
            run.end_delivered = True
            self.run_store.release(run)
        elif cancel.keep or attempt.resumable:
            run.resume_announced = True
        elif attempt.repeatable and not run.subscribers:
            run.caller_left = cancel.left
            run.cancel()

    def _resolve_abandoned(
        self, link: Link, attempt: str, run: Run | None
    ) -> None:
        """Report an abandoned attempt once it can no longer run."""
        if run is None:
            if self.run_store.fence(attempt):
                link.send(
                    build_refusal(attempt, _never_received_error(attempt))
                )
            return
        # The link that the entry abandoned may still appear open here.
        run.detach_peer(link)
        if run.outcome is not None:
            ran = RAN_UNKNOWN if run.executed else RAN_NO
            error = LacewingdockError(
                ErrorKind.NO_UPSTREAM, "the attempt has ended", ran
            )
            link.send(build_refusal(attempt, error))
        elif run.attempt.repeatable and not (
            run.resume_announced or run.subscribers
        ):
            run.cancel()

    def _on_close(self, link: Link) -> None:
        for run in self.run_store.runs():
            run.detach(link)

    def unload(self) -> None:
        """Abort the remaining runs when the grace time is over.

        The entries receive the outcome, so that their callers need not wait
        for a timeout.
        """
        for run in self.run_store.runs():
            run.cancel()
        end = time.monotonic() + ABORT_S
        while time.monotonic() < end and any(
            run.outcome is None for run in self.run_store.runs()
        ):
            time.sleep(ABORT_POLL_S)


def _never_received_error(attempt: str) -> LacewingdockError:
    return LacewingdockError(
        ErrorKind.NO_UPSTREAM, f"attempt {attempt} was never received", RAN_NO
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
    """Create the runs of a sidecar and add them to its daemon."""
    runs = Runs(
        daemon, settings, peers, configuration, claims, quarantine, billing
    )
    daemon.add(NAME, runs)
    return runs
