"""Support for telling the fleet where an entry's attempts may still crash."""

import threading
from collections.abc import Callable

from lacewingdock.components.quarantine.evidence import BlastRadius
from lacewingdock.components.quarantine.lost_attempts import LostAttempts
from lacewingdock.components.quarantine.placement import Placement
from lacewingdock.helpers.ids import new_id
from lacewingdock.links.messages import Evidence


class LossPublisher:
    """What the fleet was told of an entry's losses.

    A single loss moves a request on, whoever knows of it; so most losses at a
    machine that is silent are not told. Those of a request at its limit are,
    or the entries would each choose other upstreams for it.

    Attributes:
        losses: Attempts of this entry of which nothing is known.
        placing: Its attempts without an answer.
        spread: Takes evidence in and passes it on.
    """

    __slots__ = ("_ids", "_lock", "broadcast", "lost_attempts", "placement")

    def __init__(
        self,
        lost_attempts: LostAttempts,
        placement: Placement,
        broadcast: Callable[[Evidence], None],
    ) -> None:
        """Start with nothing told."""
        self.lost_attempts = lost_attempts
        self.placement = placement
        self.broadcast = broadcast
        self._ids: dict[tuple[str, str], str] = {}
        self._lock = threading.Lock()

    def own_instances(self, fingerprint: str) -> set[str]:
        """Return where this entry has attempts that may still crash."""
        lost = self.lost_attempts.instances(fingerprint)
        return lost | self.placement.instances(fingerprint)

    def update(self, fingerprint: str, radius: BlastRadius) -> None:
        """Tell of a request's losses here if it is at its limit."""
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
            # It may have been resolved before there was anything to take back.
            self.retract(fingerprint, instance)

    def retract(self, fingerprint: str, instance: str) -> None:
        """Tell that nothing of this entry is in doubt there any more."""
        if instance in self.own_instances(fingerprint):
            return
        with self._lock:
            loss_id = self._ids.pop((fingerprint, instance), None)
        if loss_id is not None:
            self.broadcast(
                Evidence(loss_id, False, True, [fingerprint], 0, True)
            )
