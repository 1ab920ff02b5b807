"""Support for billing at the entry, which writes the ledger."""

import threading
from collections.abc import Callable

import prometheus_client

from lacewingdock.components.billing.const import (
    LEDGER_WRITES_PER_S,
    MAX_WRITE_INTERVAL_S,
    MIN_WRITE_INTERVAL_S,
    NAME,
    RETRY_S,
)
from lacewingdock.components.billing.ledger import Ledger
from lacewingdock.components.peers import Peers
from lacewingdock.const import ROLE_SIDECAR
from lacewingdock.core import Daemon
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Bills

log = get_logger(NAME)


class EntryBilling:
    """Takes bills from sidecars and writes them in batches.

    Attributes:
        daemon: The daemon.
        peers: The links.
        entries: Returns the number of live entries.
        ledger: The bills and logs.
        wake: Set when a write shall not wait for its time.
    """

    __slots__ = ("daemon", "entries", "ledger", "peers", "wake")

    def __init__(
        self, daemon: Daemon, peers: Peers, entries: Callable[[], int]
    ) -> None:
        """Join the links."""
        me = daemon.me
        self.daemon = daemon
        self.peers = peers
        self.entries = entries
        self.ledger = Ledger(daemon.store, me.instance, me.incarnation)
        self.wake = threading.Event()
        peers.handle(Bills, self._on_bills)
        peers.on_open.append(self._announce)
        peers.on_close.append(self._on_close)
        self._add_metrics()

    def _add_metrics(self) -> None:
        ledger = self.ledger
        reads: dict[str, Callable[[], float]] = {
            "pending": ledger.count,
            "written": lambda: ledger.written,
            "declined": lambda: ledger.declined,
        }
        for name, read in reads.items():
            prometheus_client.Gauge(
                f"lacewingdock_bills_{name}",
                f"Bills {name} at this entry",
                registry=self.daemon.metrics,
            ).set_function(read)

    def start(self) -> None:
        """Start writing."""
        self.daemon.spawn(self._write_all)

    def _announce(self, link: Link) -> None:
        if link.peer.role == ROLE_SIDECAR:
            link.send(self.ledger.announcement())

    def _on_close(self, link: Link) -> None:
        """Write at once what a lost sidecar left here.

        If it died this entry is the one place that has its bills. Waiting
        for the next write would lose them if this entry died too.
        """
        if self.ledger.has_bills_from(link):
            self.wake.set()

    def _on_bills(self, link: Link, message: Bills) -> None:
        self.ledger.receive(link, message)
        if message.urgent:
            self.wake.set()

    def _write_all(self) -> None:
        written = True
        while not self.daemon.stopping.is_set():
            pause = write_interval_s(self.entries()) if written else RETRY_S
            self.wake.wait(pause * self.daemon.random.uniform(0.8, 1.2))
            self.wake.clear()
            written = self._write()

    def _write(self) -> bool:
        try:
            if self.ledger.rotate():
                for link in tuple(self.peers.links):
                    self._announce(link)
            return self.ledger.flush()
        except Exception:
            log.exception("ledger write failed")
            return False

    def unload(self) -> None:
        """Write what is here; what can't be, the sidecars offer again."""
        self.wake.set()
        if not self.ledger.flush():
            log.warning("bills left to others", bills=self.ledger.count())


def write_interval_s(entries: int) -> float:
    """Seconds between an entry's writes, so that all share the rate."""
    fair = entries / LEDGER_WRITES_PER_S
    return min(max(fair, MIN_WRITE_INTERVAL_S), MAX_WRITE_INTERVAL_S)


def setup(
    daemon: Daemon, peers: Peers, entries: Callable[[], int]
) -> EntryBilling:
    """Set billing up at an entry."""
    billing = EntryBilling(daemon, peers, entries)
    daemon.add(NAME, billing)
    return billing
