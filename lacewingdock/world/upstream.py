"""Support for an entry's view of an upstream behind its sidecar."""

import threading
import time

from lacewingdock.helpers.tally import Tally
from lacewingdock.links.link import Link
from lacewingdock.links.messages import Beat, Status
from lacewingdock.world.objects import Instance


class Upstream:
    """State of one upstream instance and of the link to its sidecar.

    Attributes:
        instance: The sidecar's entry in the platform's list.
        link: Link to the sidecar; None while disconnected.
        status: Last status reported by the sidecar.
        in_flight: Unfinished attempts of this entry.
        sent_since_report: Attempts sent since the last load report. Reports
            lag; without this count all entries would send to the least
            loaded upstream at once.
        keep_linked: Whether the link is to be kept connected.
        refused: Whether the last dial found no listener at the address.
        resume_only: Whether the link only serves to fetch an answer.
        dial_now: Set to dial a missing link immediately.
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
        """Build the state of an instance without a link."""
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
        """Name of the instance of the sidecar."""
        return self.instance.name

    @property
    def linked(self) -> bool:
        """Whether the link is open."""
        link = self.link
        return link is not None and not link.closed

    def usable(self, target: str) -> bool:
        """Return whether new requests for a target may be sent here."""
        return self.linked and self.serves(target)

    def serves(self, target: str) -> bool:
        """Return whether the upstream serves a target, also while unlinked."""
        return (
            (self.linked or not self.refused)
            and not self.resume_only
            and not self.status.leaving
            and self.instance.state == "live"
            and target in self.status.targets
        )

    def load(self) -> float:
        """Return the estimated number of requests relative to capacity."""
        status = self.status
        known = status.running + status.queued + self.sent_since_report
        return max(known, self.in_flight.value) / max(status.capacity, 1)

    def update_load(self, report: Status | Beat) -> None:
        """Apply a load report of the sidecar.

        Reports over the link are fresher than those of any other source.
        """
        if isinstance(report, Status):
            self.status = report
        else:
            self.status.running = report.running
            self.status.queued = report.queued
        self.sent_since_report = 0

    def set_link(self, link: Link | None) -> None:
        """Set a new link, or None once the link closed, and wake waiters."""
        with self._changed:
            self.link = link
            self._changed.notify_all()

    def wait_link(self, timeout_s: float) -> Link | None:
        """Wait for an open link; return None after the timeout."""
        end = time.monotonic() + timeout_s
        with self._changed:
            while self.link is None or self.link.closed:
                left = end - time.monotonic()
                if left <= 0:
                    return None
                self._changed.wait(left)
            return self.link
