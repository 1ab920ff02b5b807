"""Support for an upstream as an entry sees it through its sidecar."""

import threading
import time

from lacewingdock.helpers.tally import Tally
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Beat, Status
from lacewingdock.world.objects import Instance


class Upstream:
    """One upstream instance behind its sidecar.

    Attributes:
        instance: The sidecar's entry in the platform's list.
        link: The link to it; None while there is none.
        status: What the sidecar last said of itself.
        in_flight: Attempts of this entry that have not ended.
        sent_since_news: Attempts sent since the last load report; a report
            lags, and without them all entries would herd to the idlest.
        wanted: Whether the link shall be kept.
        refused: Whether nothing listened at its address at the last dial.
        guest: Whether the link is only there to fetch an answer.
        needed: Set to have a missing link dialed at once.
    """

    __slots__ = (
        "_changed",
        "dial_now",
        "in_flight",
        "instance",
        "keep_linked",
        "link",
        "refused",
        "resume_only",
        "sent_since_report",
        "status",
    )

    def __init__(self, instance: Instance) -> None:
        """Start without a link."""
        self.instance = instance
        self.link: Link | None = None
        self.status = Status()
        self.in_flight = Tally()
        self.sent_since_report = 0
        self.keep_linked = True
        self.resume_only = False
        self.refused = False
        self.dial_now = threading.Event()
        self._changed = threading.Condition()

    @property
    def name(self) -> str:
        """Name of the sidecar's instance."""
        return self.instance.name

    @property
    def linked(self) -> bool:
        """Whether there is an open link."""
        link = self.link
        return link is not None and not link.closed

    def usable(self, target: str) -> bool:
        """Tell whether new work for a target may go there."""
        return self.linked and self.serves(target)

    def serves(self, target: str) -> bool:
        """Tell whether it takes work for a target, or would if it spoke."""
        return (
            (self.linked or not self.refused)
            and not self.resume_only
            and not self.status.leaving
            and self.instance.state == "live"
            and target in self.status.targets
        )

    def load(self) -> float:
        """Work known to be there, as a part of capacity."""
        status = self.status
        known = status.running + status.queued + self.sent_since_report
        return max(known, self.in_flight.value) / max(status.capacity, 1)

    def update_load(self, news: Status | Beat) -> None:
        """Take the sidecar's own figures, fresher than any report."""
        if isinstance(news, Status):
            self.status = news
        else:
            self.status.running = news.running
            self.status.queued = news.queued
        self.sent_since_report = 0

    def set_link(self, link: Link | None) -> None:
        """Take a new link, or None when it closed."""
        with self._changed:
            self.link = link
            self._changed.notify_all()

    def wait_link(self, timeout_s: float) -> Link | None:
        """Wait for an open link; None when there is none in time."""
        end = time.monotonic() + timeout_s
        with self._changed:
            while self.link is None or self.link.closed:
                left = end - time.monotonic()
                if left <= 0:
                    return None
                self._changed.wait(left)
            return self.link
