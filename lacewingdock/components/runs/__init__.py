"""Support for the last gate before an upstream and what runs behind it."""

import time
from typing import Final

from lacewingdock.components.admission.slots import Slots
from lacewingdock.components.billing.sidecar import SidecarBilling
from lacewingdock.components.claims import Claims, Duplicate, Recorded
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.peers import Peers
from lacewingdock.components.runs.shelf import Shelf
from lacewingdock.components.runs.upstream_call import call_upstream
from lacewingdock.const import RAN_NO
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.link import Link
from lacewingdock.links.messages import (
    Attempt,
    Beat,
    Cancel,
    Refusal,
    Resume,
    Status,
)
from lacewingdock.settings import SidecarSettings
from lacewingdock.world.run import Run

NAME: Final = "runs"
SWEEP_S: Final = 1.0
# How long a run that may not be resumed by its caller outlives its entry's
# link: long enough for the entry to come back over a new one.
ORPHAN_S: Final = 5.0

log = get_logger(NAME)


class Runs:
    """What runs on this sidecar's upstream.

    Attributes:
        daemon: The daemon.
        settings: The sidecar's settings.
        peers: The links.
        configuration: The configuration in force.
        claims: The claims; None beside an engine.
        billing: Gets a bill of each run before its end is told.
        slots: The upstream's capacity.
        shelf: The runs and the answers kept.
        targets: Versions that the engine has loaded, or the service.
    """

    __slots__ = (
        "billing",
        "claims",
        "configuration",
        "daemon",
        "peers",
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
        billing: SidecarBilling,
    ) -> None:
        """Join the links."""
        self.billing = billing
        self.daemon = daemon
        self.settings = settings
        self.peers = peers
        self.configuration = configuration
        self.claims = claims
        self.slots = Slots(settings.capacity, settings.queue)
        self.shelf = Shelf(settings.replay_bytes, settings.resume_s, ORPHAN_S)
        self.targets: list[str] = [settings.service] if settings.service else []
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
            self.slots.running,
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

    def active(self) -> int:
        """Count the runs that have not ended or been fetched."""
        return self.shelf.active()

    def _beat(self) -> Beat:
        return Beat(
            self.slots.running, self.slots.queued, self.configuration.revision
        )

    def _on_attempt(self, link: Link, attempt: Attempt) -> None:
        self.daemon.spawn(self._serve, link, attempt)

    def _serve(self, link: Link, attempt: Attempt) -> None:
        """Take one attempt through the gate and run it."""
        run = Run(attempt)
        run.before_end = self.billing.on_end
        self.shelf.put(run)
        run.attach(link, attempt.attempt, 0)
        try:
            self._admit(run)
        except LacewingdockError as error:
            run.refuse(error)

    def _admit(self, run: Run) -> None:
        attempt = run.attempt
        self._check(attempt)
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
                try:
                    self._execute(run)
                finally:
                    self.claims.record(run)

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
        self.billing.check_room()
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

    def _execute(self, run: Run) -> None:
        """Wait for a slot, check once more, and call the upstream."""
        attempt = run.attempt
        deadline = time.monotonic() + attempt.deadline_ms / 1000
        with self.slots.hold(attempt.priority, deadline):
            # A withdrawal may have come in force while this one queued.
            self._check_permitted(attempt)
            if run.cancelled.is_set():
                raise LacewingdockError(
                    ErrorKind.DEADLINE, "nobody waits any more", RAN_NO
                )
            call_upstream(self.settings.upstream, run, deadline)

    def _follow(self, run: Run, first: Run) -> None:
        """Give a repeated request the answer of the run it repeats."""
        self.shelf.alias(run, first)
        run.hand_over(first)

    def _on_resume(self, link: Link, resume: Resume) -> None:
        run = self.shelf.get(resume.original)
        if run is None or run.attempt.workspace != resume.workspace:
            link.send(
                Refusal(
                    resume.attempt,
                    ErrorKind.ANSWER_GONE,
                    "unknown",
                    "this sidecar has no such answer",
                )
            )
            return
        self.daemon.spawn(run.attach, link, resume.attempt, resume.offset)

    def _on_cancel(self, link: Link, cancel: Cancel) -> None:
        for run in self.shelf.runs():
            run.detach(link, cancel.attempt)
            if not run.watchers and run.attempt.repeatable:
                run.caller_left = True
                run.cancelled.set()

    def _on_close(self, link: Link) -> None:
        for run in self.shelf.runs():
            run.detach(link)

    def unload(self) -> None:
        """Abort what still runs; the grace time is over."""
        for run in self.shelf.runs():
            run.cancelled.set()


def setup(
    daemon: Daemon,
    settings: SidecarSettings,
    peers: Peers,
    configuration: Configuration,
    claims: Claims | None,
    billing: SidecarBilling,
) -> Runs:
    """Set the runs up."""
    runs = Runs(daemon, settings, peers, configuration, claims, billing)
    daemon.add(NAME, runs)
    return runs
