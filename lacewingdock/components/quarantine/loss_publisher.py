"""Support for publishing the instances that lost attempts may still crash."""

import threading
from collections.abc import Callable

from lacewingdock.components.quarantine.evidence import BlastRadius
from lacewingdock.components.quarantine.lost_attempts import LostAttempts
from lacewingdock.components.quarantine.placement import Placement
from lacewingdock.helpers.ids import new_id
from lacewingdock.links.messages import Evidence


class LossPublisher:
    """Publishes an entry's lost and pending attempts to its peers.

    With a single lost attempt a request may still go to any instance, whether
    or not the other entries know of the loss. Most losses at a silent machine
    are therefore not published. Losses of a request at the limit of its blast
    radius are, because the entries would otherwise each choose different
    upstreams for it.

    Attributes:
        lost_attempts: Attempts of this entry whose outcome is unknown.
        placement: Attempts of this entry without an answer.
        broadcast: Merges evidence and forwards it to the peers.
    """

    __slots__ = ("_ids", "_lock", "broadcast", "lost_attempts", "placement")

    def __init__(
        self,
        lost_attempts: LostAttempts,
        placement: Placement,
        broadcast: Callable[[Evidence], None],
    ) -> None:
        """Create a publisher that has published nothing yet."""
        self.lost_attempts = lost_attempts
        self.placement = placement
        self.broadcast = broadcast
        self._ids: dict[tuple[str, str], str] = {}
        self._lock = threading.Lock()

    def own_instances(self, fingerprint: str) -> set[str]:
        """Return the instances that this entry's attempts may still crash."""
        lost = self.lost_attempts.instances(fingerprint)
        return lost | self.placement.instances(fingerprint)

    def update(self, fingerprint: str, radius: BlastRadius) -> None:
        """Publish a request's losses if its blast radius is at the limit."""
        if radius.allowed() is None:
            return
        for instance in sorted(radius.lost & self.own_instances(fingerprint)):
            loss_id = f"{instance}/lost-{new_id()}"
            with self._lock:
                if (
                    self._ids.setdefault((fingerprint, instance), loss_id)
                    != loss_id
                ):
                    continue
            self.broadcast(
                Evidence(loss_id, False, False, [fingerprint], 0, True)
            )
            # The loss may have been resolved before there was an id to retract.
            self.retract(fingerprint, instance)

    def retract(self, fingerprint: str, instance: str) -> None:
        """Retract a published loss once no attempt there is unresolved."""
        if instance in self.own_instances(fingerprint):
            return
        with self._lock:
            loss_id = self._ids.pop((fingerprint, instance), None)
        if loss_id is not None:
            self.broadcast(
                Evidence(loss_id, False, True, [fingerprint], 0, True)
            )
