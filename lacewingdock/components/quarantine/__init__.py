"""Support for keeping requests that crash upstreams away from them."""

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
    """What this daemon knows of requests that were in flight at crashes.

    Evidence goes over links at once, so it works while the platform is down;
    a conviction is written to the platform's configuration too, so it
    reaches daemons that start later.

    Attributes:
        daemon: The daemon.
        peers: The links.
        configuration: Brings the quarantines that the platform keeps.
        table: The evidence.
        placing: Where copies of a request go, on an entry.
        losses: Attempts of this entry of which nothing is known.
        told: What the fleet was told of them.
        unwritten: Convictions that this daemon proved and the platform has
            not taken yet, by fingerprint.
    """

    __slots__ = (
        "_lock",
        "_news",
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
        """Join the links."""
        self.daemon = daemon
        self.peers = peers
        self.configuration = configuration
        self.table = EvidenceTable()
        self.placement = Placement()
        self.lost_attempts = LostAttempts()
        self.loss_publisher = LossPublisher(
            self.lost_attempts,
            self.placement,
            lambda news: self._broadcast(news, None),
        )
        self.pending_writes: dict[str, QuarantineItem] = {}
        self._lock = threading.Lock()
        self._news = threading.Condition(self._lock)
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
        """Start writing convictions and forgetting old evidence."""
        self.daemon.every(WRITE_INTERVAL_S, self._write)
        self.daemon.every(SWEEP_INTERVAL_S, self._sweep)

    def verdict(self, fingerprint: str) -> QuarantineVerdict:
        """Tell what is held of a request now."""
        item = self.configuration.world.quarantines.get(fingerprint)
        is_kept = item is not None and item.state != "released"
        if item is not None and is_kept and item.expires > time.time():
            return QuarantineVerdict.QUARANTINED
        released = self._released_crashes(fingerprint)
        with self._lock:
            return self.table.get(fingerprint).verdict(released)

    def _released_crashes(self, fingerprint: str) -> Collection[str]:
        """Return the crashes that an operator excused a request of."""
        item = self.configuration.world.quarantines.get(fingerprint)
        if item is None or item.state != "released":
            return ()
        return item.crashes

    def blast_radius(self, fingerprint: str) -> BlastRadius:
        """Return the instances that a request crashed or may have."""
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
        """Return the verdict unless it is a conviction.

        Raises:
            LacewingdockError: QUARANTINED, not run.
        """
        verdict = self.verdict(fingerprint)
        if verdict is QuarantineVerdict.QUARANTINED:
            self.refused.inc()
            raise LacewingdockError(
                ErrorKind.QUARANTINED,
                f"quarantine/{fingerprint}: it crashed upstreams",
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
        """Choose the upstream for a request; waits for one that is silent.

        Args:
            fingerprint: The request.
            candidates: Upstreams that serve it, silent ones too.
            tried: Names of those that refused it before.
            rng: Source of draws.
            deadline: Monotonic time after which nobody waits.

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
            # Other entries may have copies where this one has none.
            is_news_due = now < radius.crashed_at + EVIDENCE_DELAY_S
            if chosen is not None and chosen.linked and not is_news_due:
                return chosen
            if now >= end:
                where = sorted(radius.crashed | radius.lost)
                raise _not_placeable(f"not run elsewhere before {where} tell")
            with self._news:
                self._news.wait(min(end - now, QUERY_INTERVAL_S))

    def _choose(
        self,
        fingerprint: str,
        verdict: QuarantineVerdict,
        radius: BlastRadius,
        candidates: list[Upstream],
        tried: Collection[str],
        rng: random.Random,
    ) -> Upstream | None:
        """Choose as things stand; None when all it may go to are away."""
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
        # While its host is silent copies may run there, and no other may.
        return choose_isolated(fingerprint, candidates, (), radius.crashed)

    def check_blast_radius(self, fingerprint: str, instance: str) -> None:
        """Refuse a request that two other instances are endangered by.

        Args:
            fingerprint: The request.
            instance: Name of this sidecar's instance.

        Raises:
            LacewingdockError: NO_UPSTREAM, not run.
        """
        radius = self.blast_radius(fingerprint)
        others = (radius.crashed | radius.lost) - {instance}
        if len(others) >= MAX_BLAST_RADIUS:
            raise _not_placeable(f"it endangers {sorted(others)}")

    @contextlib.contextmanager
    def track_attempt(
        self, fingerprint: str, upstream: Upstream
    ) -> Iterator[None]:
        """Count an attempt as open for the length of a `with` block.

        The evidence goes ahead of a suspect over the same link. News takes
        its time to reach every peer, and a sidecar that has not heard would
        run the suspect among others: the crash would prove nothing.
        """
        self.placement.attempt_started(fingerprint, upstream.name)
        link = upstream.link
        for crash in self._crashes(fingerprint) if link else ():
            assert link is not None
            link.send(crash.evidence([fingerprint], time.monotonic()))
        try:
            yield
        finally:
            self.placement.attempt_ended(fingerprint, upstream.name)
            self.loss_publisher.retract(fingerprint, upstream.name)

    def record_success(self, fingerprint: str) -> None:
        """Take note that a request was answered whole."""
        self.placement.record_success(fingerprint)

    def report_crash(
        self, crash: str, isolated: bool, fingerprints: list[str]
    ) -> None:
        """Tell the fleet what was in flight when this upstream crashed."""
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
        """Tell the fleet that this upstream may have crashed, or no longer may.

        Args:
            loss: Id of the doubt.
            fingerprint: The request that was lost.
            is_over: Whether a crash was told, or there was none.
        """
        self._broadcast(
            Evidence(loss, False, is_over, [fingerprint], 0, True), None
        )

    def excuse(self, fingerprint: str) -> None:
        """Take note that a suspect ran alone and nothing crashed."""
        for crash in self._crashes(fingerprint):
            self._broadcast(
                Evidence(crash.id, False, True, [fingerprint]), None
            )

    def enqueue_quarantine(self, attempt: Attempt, fingerprint: str) -> None:
        """Have a conviction written, if the evidence amounts to one."""
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
        """Take note that nobody knows what became of an attempt.

        Args:
            loss: The attempt.
            given_up: Whether its entry has turned elsewhere.
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
        """Take note that an attempt did not crash its upstream, or is told."""
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
        with self._news:
            self._news.notify_all()

    def _broadcast(self, evidence: Evidence, sender: Link | None) -> None:
        """Take evidence in; what was news goes on to every other link.

        Entries have links only to sidecars and the other way round, so news
        that did not go on would stop at the first neighbour while the
        platform is down.
        """
        with self._lock:
            news = self.table.merge(evidence, time.monotonic())
        if not news:
            return
        if not evidence.unresolved:
            self.placement.clear_successes(news)
        evidence = replace(evidence, fingerprints=news)
        for link in tuple(self.peers.links):
            if link is not sender:
                link.send(evidence)
        with self._news:
            self._news.notify_all()
        for fingerprint in news:
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

    def _write(self) -> None:
        """Write convictions; what fails stays for the next round."""
        for fingerprint, item in tuple(self.pending_writes.items()):
            try:
                write_quarantine(self.daemon.store, fingerprint, item)
            except LacewingdockError as error:
                log.warning("quarantine not written", error=error.detail)
                return
            del self.pending_writes[fingerprint]
            # The few that write also clear away, so the configuration does
            # not grow for good and nobody has to hold a lease for it.
            with contextlib.suppress(LacewingdockError):
                clear_expired(self.daemon.store)

    def _sweep(self) -> None:
        with self._lock:
            self.table.sweep(time.monotonic())

    def unload(self) -> None:
        """Nothing is held beyond the daemon's tasks."""


def _not_placeable(detail: str) -> LacewingdockError:
    return LacewingdockError(
        ErrorKind.NO_UPSTREAM, detail, RAN_NO, RETRY_AFTER_S
    )


def setup(
    daemon: Daemon, peers: Peers, configuration: Configuration
) -> Quarantine:
    """Set the quarantine up."""
    quarantine = Quarantine(daemon, peers, configuration)
    daemon.add(NAME, quarantine)
    return quarantine
