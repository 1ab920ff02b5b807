"""Support for asking sidecars what became of lost attempts."""

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
    """Clears up an entry's losses.

    A sidecar that was silent is asked again and again until it says that an
    attempt can't run any more. It tells of crashes by evidence, ahead of that.

    Attributes:
        membership: Where the sidecars are found.
        quarantine: Holds the losses.
    """

    __slots__ = ("membership", "quarantine")

    def __init__(
        self, peers: Peers, membership: Membership, quarantine: Quarantine
    ) -> None:
        """Join the links."""
        self.membership = membership
        self.quarantine = quarantine
        peers.handle(Refusal, self._on_refusal)

    def start(self, daemon: Daemon) -> None:
        """Start asking."""
        daemon.every(QUERY_INTERVAL_S, self.send_queries)

    def send_queries(self) -> None:
        """Ask once for each attempt that nobody waits for."""
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
        # A peer may only speak for attempts that were sent to it.
        if loss is not None and loss.instance == link.peer.instance:
            self.quarantine.resolve_loss(message.attempt)
