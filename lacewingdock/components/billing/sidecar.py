"""Support for billing at the sidecar, which runs the attempts."""

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

# Interval in seconds at which a stopping sidecar checks for held bills.
UNLOAD_POLL_S: Final = 0.05

log = get_logger(NAME)


class SidecarBilling:
    """Builds the bills of this sidecar's runs and holds them until written.

    Attributes:
        daemon: The daemon.
        configuration: Configuration with the prices.
        outbox: The bills that are not confirmed to be in the ledger.
        failures: Counter of runs whose bill could not be built or recorded.
    """

    __slots__ = ("configuration", "daemon", "failures", "outbox")

    def __init__(
        self, daemon: Daemon, peers: Peers, configuration: Configuration
    ) -> None:
        """Register the message and link handlers and the metrics."""
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
        """Start the periodic resending of unacknowledged bills."""
        self.daemon.every(SWEEP_S, self.outbox.sweep)

    def check_room(self) -> None:
        """Refuse new work while the outbox is full.

        Raises:
            LacewingdockError: OVERLOADED, and the request did not run. The
                ledger has been unreachable for so long that accepting more
                work would lose bills.
        """
        if not self.outbox.has_room():
            raise LacewingdockError(
                ErrorKind.OVERLOADED,
                "too many bills are waiting to be written to the ledger",
            )

    def on_end(self, run: Run, outcome: Finish | Refusal) -> None:
        """Bill a run that is about to end, if it was executed.

        An exception here must not cost the caller its answer: it is counted
        and logged with the identifiers that a bill would have contained.
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
                "cannot bill run",
                attempt_id=attempt.attempt,
                request_id=attempt.request,
                workspace=attempt.workspace,
                target=attempt.target,
            )

    def unload(self) -> None:
        """Send the held bills and wait until the ledger has them.

        Returns after `UNLOAD_TIMEOUT_S`, or when no entry is linked.
        """
        end = time.monotonic() + UNLOAD_TIMEOUT_S
        self.outbox.sweep(urgent=True)
        while self.outbox.held and self.outbox.log_writers:
            if time.monotonic() > end:
                break
            time.sleep(UNLOAD_POLL_S)
        if self.outbox.held:
            # Entries hold copies of the bills that were sent. Bills that
            # were never sent exist only here and are lost.
            log.warning(
                "stopped with bills not confirmed in the ledger",
                bills=len(self.outbox.held),
            )


def setup(
    daemon: Daemon, peers: Peers, configuration: Configuration
) -> SidecarBilling:
    """Create a sidecar's billing and add it to the daemon."""
    billing = SidecarBilling(daemon, peers, configuration)
    daemon.add(NAME, billing)
    return billing
