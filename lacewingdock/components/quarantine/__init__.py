"""Support for keeping requests that crash upstreams away from them."""

import contextlib
import random
import threading
import time
from collections.abc import Collection, Iterator

import prometheus_client

from lacewingdock.components.configuration import Configuration
from lacewingdock.components.peers import Peers
from lacewingdock.components.quarantine.const import (
    NAME,
    QUARANTINE_S,
    SWEEP_S,
    WRITE_S,
)
from lacewingdock.components.quarantine.evidence import (
    Crash,
    EvidenceTable,
    Verdict,
)
from lacewingdock.components.quarantine.fingerprint import fingerprint_of
from lacewingdock.components.quarantine.operate import (
    clear_expired,
    write_quarantine,
)
from lacewingdock.components.quarantine.placing import Placing, choose_isolated
from lacewingdock.const import RAN_NO
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Attempt, Evidence
from lacewingdock.world.objects import Quarantine as QuarantineItem
from lacewingdock.world.upstream import Upstream

__all__ = ["Quarantine", "Verdict", "fingerprint_of", "setup"]

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
        unwritten: Convictions that this daemon proved and the platform has
            not taken yet, by fingerprint.
    """

    __slots__ = (
        "_lock",
        "configuration",
        "crashes",
        "daemon",
        "peers",
        "placing",
        "refused",
        "table",
        "unwritten",
    )

    def __init__(
        self, daemon: Daemon, peers: Peers, configuration: Configuration
    ) -> None:
        """Join the links."""
        self.daemon = daemon
        self.peers = peers
        self.configuration = configuration
        self.table = EvidenceTable()
        self.placing = Placing()
        self.unwritten: dict[str, QuarantineItem] = {}
        self._lock = threading.Lock()
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
        peers.handle(Evidence, self._on_evidence)
        peers.on_open.append(self._on_open)

    def start(self) -> None:
        """Start writing convictions and forgetting old evidence."""
        self.daemon.every(WRITE_S, self._write)
        self.daemon.every(SWEEP_S, self._sweep)

    def verdict(self, fingerprint: str) -> Verdict:
        """Tell what is held of a request now."""
        item = self.configuration.world.quarantines.get(fingerprint)
        released: Collection[str] = ()
        if item is not None and item.state == "released":
            released = item.crashes
        elif item is not None and item.expires > time.time():
            return Verdict.QUARANTINED
        with self._lock:
            return self.table.get(fingerprint).verdict(released)

    def _crashes(self, fingerprint: str) -> list[Crash]:
        with self._lock:
            return list(self.table.get(fingerprint).crashes.values())

    def check(self, fingerprint: str) -> Verdict:
        """Return the verdict unless it is a conviction.

        Raises:
            LacewingdockError: QUARANTINED, not run.
        """
        verdict = self.verdict(fingerprint)
        if verdict is Verdict.QUARANTINED:
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
        source: random.Random,
    ) -> Upstream:
        """Choose the upstream for a request.

        Raises:
            LacewingdockError: QUARANTINED or NO_UPSTREAM, not run.
        """
        if self.check(fingerprint) is Verdict.CLEAR:
            return self.placing.choose(fingerprint, candidates, tried, source)
        crashed = {crash.instance for crash in self._crashes(fingerprint)}
        return choose_isolated(fingerprint, candidates, tried, crashed)

    @contextlib.contextmanager
    def sending(self, fingerprint: str, upstream: Upstream) -> Iterator[None]:
        """Count an attempt as open for the length of a `with` block.

        The evidence goes ahead of a suspect over the same link. News takes
        its time to reach every peer, and a sidecar that has not heard would
        run the suspect among others: the crash would prove nothing.
        """
        self.placing.began(fingerprint, upstream.name)
        link = upstream.link
        for crash in self._crashes(fingerprint) if link else ():
            assert link is not None
            age_ms = max(0, int((time.monotonic() - crash.seen) * 1000))
            link.send(
                Evidence(
                    crash.id,
                    crash.isolated,
                    crash.excused,
                    [fingerprint],
                    age_ms,
                )
            )
        try:
            yield
        finally:
            self.placing.ended(fingerprint, upstream.name)

    def prove(self, fingerprint: str) -> None:
        """Take note that a request was answered whole."""
        self.placing.prove(fingerprint)

    def report(
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
        self._spread(Evidence(crash, isolated, False, fingerprints), None)

    def excuse(self, fingerprint: str) -> None:
        """Take note that a suspect ran alone and nothing crashed."""
        for crash in self._crashes(fingerprint):
            self._spread(Evidence(crash.id, False, True, [fingerprint]), None)

    def convict(self, attempt: Attempt, fingerprint: str) -> None:
        """Have a conviction written, if the evidence amounts to one."""
        if self.verdict(fingerprint) is not Verdict.QUARANTINED:
            return
        crashes = sorted(
            c.id for c in self._crashes(fingerprint) if not c.excused
        )
        self.unwritten[fingerprint] = QuarantineItem(
            workspace=attempt.workspace,
            target=attempt.target,
            reason=f"crashed {len(crashes)} upstreams, the last one alone",
            crashes=crashes,
            expires=int(time.time() + QUARANTINE_S),
        )

    def _spread(self, evidence: Evidence, source: Link | None) -> None:
        """Take evidence in; what was news goes on to every other link.

        Entries have links only to sidecars and the other way round, so news
        that did not go on would stop at the first neighbour while the
        platform is down.
        """
        with self._lock:
            news = self.table.join(evidence, time.monotonic())
        if not news:
            return
        self.placing.doubt(news)
        evidence = Evidence(
            evidence.crash,
            evidence.isolated,
            evidence.excused,
            news,
            evidence.age_ms,
        )
        for link in tuple(self.peers.links):
            if link is not source:
                link.send(evidence)

    def _on_evidence(self, link: Link, message: Evidence) -> None:
        self._spread(message, link)

    def _on_open(self, link: Link) -> None:
        with self._lock:
            evidence = self.table.dump(time.monotonic())
        for message in evidence:
            link.send(message)

    def _write(self) -> None:
        """Write convictions; what fails stays for the next round."""
        for fingerprint, item in tuple(self.unwritten.items()):
            try:
                write_quarantine(self.daemon.store, fingerprint, item)
            except LacewingdockError as error:
                log.warning("quarantine not written", error=error.detail)
                return
            del self.unwritten[fingerprint]
            # The few that write also clear away, so the configuration does
            # not grow for good and nobody has to hold a lease for it.
            with contextlib.suppress(LacewingdockError):
                clear_expired(self.daemon.store)

    def _sweep(self) -> None:
        with self._lock:
            self.table.sweep(time.monotonic())

    def unload(self) -> None:
        """Nothing is held beyond the daemon's tasks."""


def setup(
    daemon: Daemon, peers: Peers, configuration: Configuration
) -> Quarantine:
    """Set the quarantine up."""
    quarantine = Quarantine(daemon, peers, configuration)
    daemon.add(NAME, quarantine)
    return quarantine
