"""Support for billing at the sidecar, which knows what ran."""

import time
from typing import Final

import prometheus_client

from lacewingdock.components.billing.const import (
    NAME,
    SWEEP_S,
    UNLOAD_TIMEOUT_S,
)
from lacewingdock.components.billing.outbox import Outbox
from lacewingdock.components.billing.record import build_bill, encode_bill
from lacewingdock.components.configuration import Configuration
from lacewingdock.components.peers import Peers
from lacewingdock.core import Daemon
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.messages import BillsKept, Finish, Refusal
from lacewingdock.world.run import Run

UNLOAD_POLL_S: Final = 0.05

log = get_logger(NAME)


class SidecarBilling:
    """Makes the bills of this sidecar's runs and keeps them until written.

    Attributes:
        daemon: The daemon.
        configuration: Gives the prices.
        outbox: The bills.
        failures: Counts runs whose bill could not be made.
    """

    __slots__ = ("configuration", "daemon", "failures", "outbox")

    def __init__(
        self, daemon: Daemon, peers: Peers, configuration: Configuration
    ) -> None:
        """Join the links."""
        self.daemon = daemon
        self.configuration = configuration
        self.outbox = Outbox(daemon.me.instance, daemon.me.failure_domain)
        peers.handle(BillsKept, self.outbox.on_kept)
        peers.on_close.append(self.outbox.on_close)
        prometheus_client.Gauge(
            "lacewingdock_bills_held",
            "Bills of this sidecar that the ledger is not known to have",
            registry=daemon.metrics,
        ).set_function(lambda: float(len(self.outbox.held)))
        self.failures = prometheus_client.Counter(
            "lacewingdock_bill_failures",
            "Runs whose bill could not be made",
            registry=daemon.metrics,
        )

    def start(self) -> None:
        """Start offering again what nobody answered for."""
        self.daemon.every(SWEEP_S, self.outbox.sweep)

    def check_room(self) -> None:
        """Refuse new work when its bill would find no place.

        Raises:
            LacewingdockError: OVERLOADED, not run. The ledger has been out
                of reach for so long that going on would lose bills.
        """
        if not self.outbox.has_room():
            raise LacewingdockError(
                ErrorKind.OVERLOADED, "too many bills wait for the ledger"
            )

    def on_end(self, run: Run, outcome: Finish | Refusal) -> None:
        """Bill a run that is about to end, if it ran at all.

        A fault in here must not cost the caller the answer: it is counted
        and logged with all that a bill would have held.
        """
        if not run.executed:
            return
        attempt = run.attempt
        try:
            bill = build_bill(run, outcome, self.configuration.world)
            self.outbox.record(attempt.attempt, encode_bill(bill))
        except Exception:
            self.failures.inc()
            log.exception(
                "no bill",
                attempt_id=attempt.attempt,
                request_id=attempt.request,
                workspace=attempt.workspace,
                target=attempt.target,
            )

    def unload(self) -> None:
        """Hand the last bills over and wait a moment until they are kept."""
        end = time.monotonic() + UNLOAD_TIMEOUT_S
        self.outbox.sweep(urgent=True)
        while self.outbox.held and self.outbox.log_writers:
            if time.monotonic() > end:
                break
            time.sleep(UNLOAD_POLL_S)
        if self.outbox.held:
            # Entries hold copies of those offered; the rest is only here.
            log.warning("bills not seen kept", bills=len(self.outbox.held))


def setup(
    daemon: Daemon, peers: Peers, configuration: Configuration
) -> SidecarBilling:
    """Set billing up at a sidecar."""
    billing = SidecarBilling(daemon, peers, configuration)
    daemon.add(NAME, billing)
    return billing
