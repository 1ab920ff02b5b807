"""Support for querying sidecars about the outcome of lost attempts."""

import time

from lacewingdock.components.membership import Membership
from lacewingdock.components.peers import Peers
from lacewingdock.components.quarantine import Quarantine
from lacewingdock.components.quarantine.const import (
    LOSS_TTL_S,
    QUERY_INTERVAL_S,
)
from lacewingdock.components.quarantine.lost_attempts import LostAttempt
from lacewingdock.core import Daemon
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Cancel, Refusal


class LossResolver:
    """Resolves the lost attempts of an entry.

    A sidecar is queried repeatedly until it replies that the attempt can no
    longer run. If the attempt crashed the upstream, the sidecar sends the
    evidence before that reply.

    Attributes:
        membership: The sidecars and their links.
        quarantine: Holds the lost attempts.
    """

    __slots__ = ("membership", "quarantine")

    def __init__(
        self, peers: Peers, membership: Membership, quarantine: Quarantine
    ) -> None:
        """Register the handler for refusals."""
        self.membership = membership
        self.quarantine = quarantine
        peers.handle(Refusal, self._on_refusal)

    def start(self, daemon: Daemon) -> None:
        """Schedule the queries."""
        daemon.every(QUERY_INTERVAL_S, self.send_queries)

    def send_queries(self) -> None:
        """Send one query for each abandoned attempt; resolve obsolete ones."""
        for loss in self.quarantine.lost_attempts.abandoned():
            if self._is_obsolete(loss):
                self.quarantine.resolve_loss(loss.attempt)
                continue
            upstream = self.membership.upstreams.get(loss.instance)
            link = upstream.link if upstream is not None else None
            if link is not None:
                link.send(Cancel(loss.attempt, settle=True))

    def _is_obsolete(self, loss: LostAttempt) -> bool:
        if time.monotonic() - loss.since > LOSS_TTL_S:
            return True
        return self.membership.is_gone(loss.instance, loss.incarnation)

    def _on_refusal(self, link: Link, message: Refusal) -> None:
        loss = self.quarantine.lost_attempts.get(message.attempt)
        # Only the sidecar that got an attempt may report its outcome.
        if loss is not None and loss.instance == link.peer.instance:
            self.quarantine.resolve_loss(message.attempt)
