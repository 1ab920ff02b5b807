"""Support for quarantining poison requests, which crash upstreams."""

import contextlib
import random
import threading
import time
from collections.abc import Collection, Iterator
from dataclasses import replace

import prometheus_client

from lacewingdock.components.configuration import Configuration
from lacewingdock.components.peers import Peers
from lacewingdock.components.quarantine.const import (
    EVIDENCE_DELAY_S,
    MAX_BLAST_RADIUS,
    MAX_WAIT_S,
    NAME,
    QUARANTINE_TTL_S,
    QUERY_INTERVAL_S,
    RETRY_AFTER_S,
    SWEEP_INTERVAL_S,
    WRITE_INTERVAL_S,
)
from lacewingdock.components.quarantine.evidence import (
    BlastRadius,
    Crash,
    EvidenceTable,
    QuarantineVerdict,
)
from lacewingdock.components.quarantine.fingerprint import fingerprint_of
from lacewingdock.components.quarantine.loss_publisher import LossPublisher
from lacewingdock.components.quarantine.lost_attempts import (
    LostAttempt,
    LostAttempts,
)
from lacewingdock.components.quarantine.placement import (
    Placement,
    choose_isolated,
)
from lacewingdock.components.quarantine.storage import (
    clear_expired,
    write_quarantine,
)
from lacewingdock.const import RAN_NO
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Attempt, Evidence
from lacewingdock.world.objects import Quarantine as QuarantineItem
from lacewingdock.world.upstream import Upstream

__all__ = ["Quarantine", "QuarantineVerdict", "fingerprint_of", "setup"]

log = get_logger(NAME)


class Quarantine:
    """Evidence and quarantines of requests that were in flight at crashes.

    Evidence is sent over links at once, so it spreads while the platform is
    down. A quarantine is also written to the platform's configuration, from
    which daemons that start later read it.

    Attributes:
        daemon: The daemon.
        peers: The links to other daemons.
        configuration: Holds the quarantines stored in the platform.
        table: The evidence by fingerprint.
        placement: Chooses upstreams for copies of a request, on an entry.
        lost_attempts: Attempts of this entry whose outcome is unknown.
        loss_publisher: Publishes lost and pending attempts to the peers.
        pending_writes: Quarantines that this daemon decided on and has not
            written to the platform yet, by fingerprint.
    """

    __slots__ = (
        "_evidence_changed",
        "_lock",
        "configuration",
        "crashes",
        "daemon",
        "loss_publisher",
        "lost_attempts",
        "peers",
        "pending_writes",
        "placement",
        "refused",
        "table",
    )

    def __init__(
        self, daemon: Daemon, peers: Peers, configuration: Configuration
    ) -> None:
        """Register metrics and the handlers of links."""
        self.daemon = daemon
        self.peers = peers
        self.configuration = configuration
        self.table = EvidenceTable()
        self.placement = Placement()
        self.lost_attempts = LostAttempts()
        self.loss_publisher = LossPublisher(
            self.lost_attempts,
            self.placement,
            lambda evidence: self._broadcast(evidence, None),
        )
        self.pending_writes: dict[str, QuarantineItem] = {}
        self._lock = threading.Lock()
        self._evidence_changed = threading.Condition(self._lock)
        self.crashes = prometheus_client.Counter(
            "lacewingdock_upstream_crashes",
            "Crashes of this sidecar's upstream with requests in flight",
            registry=daemon.metrics,
        )
        self.refused = prometheus_client.Counter(
            "lacewingdock_quarantine_refusals",
            "Requests refused because they crash upstreams",
            registry=daemon.metrics,
        )
        prometheus_client.Gauge(
            "lacewingdock_crash_evidence",
            "Fingerprints that were in flight at a crash",
            registry=daemon.metrics,
        ).set_function(lambda: float(len(self.table.records)))
        prometheus_client.Gauge(
            "lacewingdock_lost_attempts",
            "Attempts of this entry of which a sidecar has not told yet",
            registry=daemon.metrics,
        ).set_function(lambda: float(len(self.lost_attempts.abandoned())))
        peers.handle(Evidence, self._on_evidence)
        peers.on_open.append(self._on_open)

    def start(self) -> None:
        """Schedule writes of quarantines and sweeps of old evidence."""
        self.daemon.every(WRITE_INTERVAL_S, self._write_pending)
        self.daemon.every(SWEEP_INTERVAL_S, self._sweep)

    def verdict(self, fingerprint: str) -> QuarantineVerdict:
        """Return the current verdict on a request."""
        item = self.configuration.world.quarantines.get(fingerprint)
        is_kept = item is not None and item.state != "released"
        if item is not None and is_kept and item.expires > time.time():
            return QuarantineVerdict.QUARANTINED
        released = self._released_crashes(fingerprint)
        with self._lock:
            return self.table.get(fingerprint).verdict(released)

    def _released_crashes(self, fingerprint: str) -> Collection[str]:
        """Return the ids of crashes that a release excuses a request of."""
        item = self.configuration.world.quarantines.get(fingerprint)
        if item is None or item.state != "released":
            return ()
        return item.crashes

    def blast_radius(self, fingerprint: str) -> BlastRadius:
        """Return the instances that a request crashed or may have crashed."""
        released = self._released_crashes(fingerprint)
        with self._lock:
            record = self.table.get(fingerprint)
            crashes = record.counted_crashes(released)
            lost = record.unresolved_instances() | self.lost_attempts.instances(
                fingerprint
            )
        if crashes:
            lost |= self.placement.instances(fingerprint)
        crashed = {crash.instance for crash in crashes}
        crashed_at = max((crash.first_seen for crash in crashes), default=0.0)
        return BlastRadius(crashed, lost - crashed, crashed_at)

    def _crashes(self, fingerprint: str) -> list[Crash]:
        with self._lock:
            return list(self.table.get(fingerprint).crashes.values())

    def check(self, fingerprint: str) -> QuarantineVerdict:
        """Return the verdict; raise if the request is quarantined.

        Raises:
            LacewingdockError: QUARANTINED, not run.
        """
        verdict = self.verdict(fingerprint)
        if verdict is QuarantineVerdict.QUARANTINED:
            self.refused.inc()
            raise LacewingdockError(
                ErrorKind.QUARANTINED,
                f"quarantine/{fingerprint}: the request crashed upstreams",
                RAN_NO,
            )
        return verdict

    def choose(
        self,
        fingerprint: str,
        candidates: list[Upstream],
        tried: Collection[str],
        rng: random.Random,
        deadline: float,
    ) -> Upstream:
        """Choose the upstream for a request; may wait for a silent one.

        Args:
            fingerprint: The request.
            candidates: Upstreams that serve the request, silent ones too.
            tried: Names of upstreams that refused the request before.
            rng: Source of draws.
            deadline: Monotonic time at which the wait ends.

        Raises:
            LacewingdockError: QUARANTINED or NO_UPSTREAM, not run.
        """
        end = min(deadline, time.monotonic() + MAX_WAIT_S)
        while True:
            verdict = self.check(fingerprint)
            radius = self.blast_radius(fingerprint)
            chosen = self._choose(
                fingerprint, verdict, radius, candidates, tried, rng
            )
            now = time.monotonic()
            # Evidence about copies sent by other entries may be on its way.
            is_evidence_due = now < radius.crashed_at + EVIDENCE_DELAY_S
            if chosen is not None and chosen.linked and not is_evidence_due:
                return chosen
            if now >= end:
                instances = sorted(radius.crashed | radius.lost)
                raise _not_placeable(
                    f"no other instance may run it until {instances} report"
                )
            with self._evidence_changed:
                self._evidence_changed.wait(min(end - now, QUERY_INTERVAL_S))

    def _choose(
        self,
        fingerprint: str,
        verdict: QuarantineVerdict,
        radius: BlastRadius,
        candidates: list[Upstream],
        tried: Collection[str],
        rng: random.Random,
    ) -> Upstream | None:
        """Choose without waiting; None if no allowed upstream is available."""
        allowed = radius.allowed()
        if allowed is not None:
            candidates = [u for u in candidates if u.name in allowed]
            if not candidates:
                return None
            tried = ()
        if verdict is QuarantineVerdict.CLEAR:
            linked = [u for u in candidates if u.linked]
            if allowed is not None and not linked:
                return None
            return self.placement.choose(fingerprint, linked, tried, rng)
        # Copies may still run on a silent host, so no other host may run it.
        return choose_isolated(fingerprint, candidates, (), radius.crashed)

    def check_blast_radius(self, fingerprint: str, instance: str) -> None:
        """Refuse a request whose blast radius covers two other instances.

        Args:
            fingerprint: The request.
            instance: Name of this sidecar's instance.

        Raises:
            LacewingdockError: NO_UPSTREAM, not run.
        """
        radius = self.blast_radius(fingerprint)
        others = (radius.crashed | radius.lost) - {instance}
        if len(others) >= MAX_BLAST_RADIUS:
            raise _not_placeable(
                f"the request may have crashed {sorted(others)}"
            )

    @contextlib.contextmanager
    def track_attempt(
        self, fingerprint: str, upstream: Upstream
    ) -> Iterator[None]:
        """Count an attempt as pending for the duration of a `with` block.

        The evidence on a suspect is sent ahead of it over the same link.
        Evidence takes time to reach all peers, and a sidecar that has not
        received it would run the suspect beside other requests, so that a
        crash would prove nothing.
        """
        self.placement.attempt_started(fingerprint, upstream.name)
        link = upstream.link
        for crash in self._crashes(fingerprint) if link else ():
            assert link is not None
            link.send(crash.to_message([fingerprint], time.monotonic()))
        try:
            yield
        finally:
            self.placement.attempt_ended(fingerprint, upstream.name)
            self.loss_publisher.retract(fingerprint, upstream.name)

    def record_success(self, fingerprint: str) -> None:
        """Record that a request was answered completely."""
        self.placement.record_success(fingerprint)

    def report_crash(
        self, crash: str, isolated: bool, fingerprints: list[str]
    ) -> None:
        """Publish the requests in flight when this upstream crashed."""
        self.crashes.inc()
        log.warning(
            "upstream crashed",
            crash=crash,
            isolated=isolated,
            fingerprints=fingerprints,
        )
        self._broadcast(Evidence(crash, isolated, False, fingerprints), None)

    def report_unresolved(
        self, loss: str, fingerprint: str, is_over: bool
    ) -> None:
        """Publish that a possible crash of this upstream is open or resolved.

        Args:
            loss: Id of the loss.
            fingerprint: The request that was lost.
            is_over: Whether a crash was reported or ruled out since.
        """
        self._broadcast(
            Evidence(loss, False, is_over, [fingerprint], 0, True), None
        )

    def excuse(self, fingerprint: str) -> None:
        """Excuse a suspect of its crashes: it ran alone without a crash."""
        for crash in self._crashes(fingerprint):
            self._broadcast(
                Evidence(crash.id, False, True, [fingerprint]), None
            )

    def enqueue_quarantine(self, attempt: Attempt, fingerprint: str) -> None:
        """Schedule the write of a quarantine if the evidence suffices."""
        if self.verdict(fingerprint) is not QuarantineVerdict.QUARANTINED:
            return
        with self._lock:
            counted_crashes = self.table.get(fingerprint).counted_crashes()
        crashes = sorted(crash.id for crash in counted_crashes)
        self.pending_writes[fingerprint] = QuarantineItem(
            workspace=attempt.workspace,
            target=attempt.target,
            reason=f"crashed {len(crashes)} upstreams, the last one alone",
            crashes=crashes,
            expires=int(time.time() + QUARANTINE_TTL_S),
        )

    def record_loss(self, loss: LostAttempt, abandoned: bool = False) -> None:
        """Record an attempt whose outcome is unknown.

        Args:
            loss: The attempt.
            abandoned: Whether its entry has stopped waiting for the answer.
        """
        self.lost_attempts.add(loss)
        if abandoned:
            self.lost_attempts.abandon(loss.attempt)
            log.info(
                "attempt lost",
                attempt_id=loss.attempt,
                upstream=loss.instance,
                fingerprint=loss.fingerprint,
            )
        self.loss_publisher.update(
            loss.fingerprint, self.blast_radius(loss.fingerprint)
        )

    def resolve_loss(self, attempt: str) -> None:
        """Remove a lost attempt that is resolved or obsolete.

        It is resolved once its crash was reported or ruled out.
        """
        loss = self.lost_attempts.remove(attempt)
        if loss is None:
            return
        log.info(
            "lost attempt resolved",
            attempt_id=attempt,
            upstream=loss.instance,
            age_s=round(time.monotonic() - loss.since, 2),
        )
        self.loss_publisher.retract(loss.fingerprint, loss.instance)
        with self._evidence_changed:
            self._evidence_changed.notify_all()

    def _broadcast(self, evidence: Evidence, sender: Link | None) -> None:
        """Merge evidence and forward what is new to all other links.

        Entries have links only to sidecars and sidecars only to entries, so
        evidence that is not forwarded would stop at the first neighbour while
        the platform is down.
        """
        with self._lock:
            changed = self.table.merge(evidence, time.monotonic())
        if not changed:
            return
        if not evidence.unresolved:
            self.placement.clear_successes(changed)
        evidence = replace(evidence, fingerprints=changed)
        for link in tuple(self.peers.links):
            if link is not sender:
                link.send(evidence)
        with self._evidence_changed:
            self._evidence_changed.notify_all()
        for fingerprint in changed:
            if self.loss_publisher.own_instances(fingerprint):
                self.loss_publisher.update(
                    fingerprint, self.blast_radius(fingerprint)
                )

    def _on_evidence(self, link: Link, message: Evidence) -> None:
        self._broadcast(message, link)

    def _on_open(self, link: Link) -> None:
        with self._lock:
            evidence = self.table.dump(time.monotonic())
        for message in evidence:
            link.send(message)

    def _write_pending(self) -> None:
        """Write pending quarantines; those that fail are retried next time."""
        for fingerprint, item in tuple(self.pending_writes.items()):
            try:
                write_quarantine(self.daemon.store, fingerprint, item)
            except LacewingdockError as error:
                log.warning("quarantine not written", error=error.detail)
                return
            del self.pending_writes[fingerprint]
            # The few daemons that write also delete expired quarantines, so
            # the configuration stays bounded without a lease for the cleanup.
            with contextlib.suppress(LacewingdockError):
                clear_expired(self.daemon.store)

    def _sweep(self) -> None:
        with self._lock:
            self.table.sweep(time.monotonic())

    def unload(self) -> None:
        """Do nothing: the daemon itself ends the scheduled tasks."""


def _not_placeable(detail: str) -> LacewingdockError:
    """Return a refusal that asks the caller to retry later."""
    return LacewingdockError(
        ErrorKind.NO_UPSTREAM, detail, RAN_NO, RETRY_AFTER_S
    )


def setup(
    daemon: Daemon, peers: Peers, configuration: Configuration
) -> Quarantine:
    """Create the quarantine and add it to the daemon."""
    quarantine = Quarantine(daemon, peers, configuration)
    daemon.add(NAME, quarantine)
    return quarantine
