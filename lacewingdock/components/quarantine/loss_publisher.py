"""Support for telling the fleet where an entry's attempts may still crash."""

import threading
from collections.abc import Callable

from lacewingdock.components.quarantine.evidence import Endangered
from lacewingdock.components.quarantine.lost_attempts import Losses
from lacewingdock.components.quarantine.placement import Placing
from lacewingdock.helpers.ids import new_id
from lacewingdock.links.messages import Evidence


class ToldLosses:
    """What the fleet was told of an entry's losses.

    A single loss moves a request on, whoever knows of it; so most losses at a
    machine that is silent are not told. Those of a request at its limit are,
    or the entries would each choose other upstreams for it.

    Attributes:
        losses: Attempts of this entry of which nothing is known.
        placing: Its attempts without an answer.
        spread: Takes evidence in and passes it on.
    """

    __slots__ = ("_ids", "_lock", "losses", "placing", "spread")

    def __init__(
        self,
        losses: Losses,
        placing: Placing,
        spread: Callable[[Evidence], None],
    ) -> None:
        """Start with nothing told."""
        self.losses = losses
        self.placing = placing
        self.spread = spread
        self._ids: dict[tuple[str, str], str] = {}
        self._lock = threading.Lock()

    def own(self, fingerprint: str) -> set[str]:
        """Return where this entry has attempts that may still crash."""
        lost = self.losses.instances(fingerprint)
        return lost | self.placing.instances(fingerprint)

    def update(self, fingerprint: str, danger: Endangered) -> None:
        """Tell of a request's losses here if it is at its limit."""
        if danger.allowed() is None:
            return
        for instance in sorted(danger.lost & self.own(fingerprint)):
            told = f"{instance}/lost-{new_id()}"
            with self._lock:
                if self._ids.setdefault((fingerprint, instance), told) != told:
                    continue
            self.spread(Evidence(told, False, False, [fingerprint], 0, True))
            # It may have been resolved before there was anything to take back.
            self.take_back(fingerprint, instance)

    def take_back(self, fingerprint: str, instance: str) -> None:
        """Tell that nothing of this entry is in doubt there any more."""
        if instance in self.own(fingerprint):
            return
        with self._lock:
            told = self._ids.pop((fingerprint, instance), None)
        if told is not None:
            self.spread(Evidence(told, False, True, [fingerprint], 0, True))
