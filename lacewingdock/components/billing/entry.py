"""Support for billing at the entry, which writes bills to the ledger."""

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
    """Receives bills from sidecars and writes them to the ledger in batches.

    Attributes:
        daemon: The daemon.
        peers: The links to the sidecars.
        entries: Returns the number of live entries.
        ledger: The pending bills and the logs.
        wake: Set to write without waiting for the end of the interval.
    """

    __slots__ = ("daemon", "entries", "ledger", "peers", "wake")

    def __init__(
        self, daemon: Daemon, peers: Peers, entries: Callable[[], int]
    ) -> None:
        """Register the message and link handlers and the metrics."""
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
        """Start the task that writes the ledger."""
        self.daemon.spawn(self._write_all)

    def _announce(self, link: Link) -> None:
        if link.peer.role == ROLE_SIDECAR:
            link.send(self.ledger.announcement())

    def _on_close(self, link: Link) -> None:
        """Write the pending bills of a disconnected sidecar at once.

        If the sidecar died, this entry holds the only copy of its bills. They
        would be lost if this entry died before the next regular write.
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
        """Write the pending bills; sidecars resend those that fail."""
        self.wake.set()
        if not self.ledger.flush():
            log.warning(
                "pending bills not written before shutdown",
                bills=self.ledger.count(),
            )


def write_interval_s(entries: int) -> float:
    """Return the seconds between an entry's ledger writes.

    All entries together then stay near `LEDGER_WRITES_PER_S`.
    """
    fair = entries / LEDGER_WRITES_PER_S
    return min(max(fair, MIN_WRITE_INTERVAL_S), MAX_WRITE_INTERVAL_S)


def setup(
    daemon: Daemon, peers: Peers, entries: Callable[[], int]
) -> EntryBilling:
    """Create an entry's billing and add it to the daemon."""
    billing = EntryBilling(daemon, peers, entries)
    daemon.add(NAME, billing)
    return billing
