"""Support for the decision whether a router reads a new connection."""

import random
import socket

from lacewingdock.components.overload.const import (
    MAX_QUEUED_S,
    PRIORITIES,
    SHED_ALL,
    SHED_FROM,
)
from lacewingdock.components.overload.fleet import FleetOverload
from lacewingdock.components.overload.lateness import LatenessMeter
from lacewingdock.helpers.log import get_logger
from lacewingdock.helpers.sockets import peer_has_left

log = get_logger("overload")


class ConnectionGuard:
    """Closes new connections unread while this router can't keep up.

    The caller of a connection that is closed unread knows that nothing ran, and
    tries another router at once. A request that was read must be served here.

    Attributes:
        meter: Measures how late this router reads.
        fleet: Which other routers can't keep up; while it is most of them, a
            caller that is sent away would only meet another one.
        random: Random source.
        closed: Number of connections closed unread.
        reviewed: Value of `closed` at the last review.
        is_shedding: Whether connections were closed before the last review.
    """

    __slots__ = (
        "closed",
        "fleet",
        "is_shedding",
        "meter",
        "random",
        "reviewed",
    )

    def __init__(
        self,
        meter: LatenessMeter,
        fleet: FleetOverload,
        source: random.Random,
    ) -> None:
        """Start without a connection closed."""
        self.meter = meter
        self.fleet = fleet
        self.random = source
        self.closed = 0
        self.reviewed = 0
        self.is_shedding = False

    @property
    def overloaded(self) -> bool:
        """Whether this router could not serve any of its new connections."""
        return self.meter.share >= SHED_ALL

    @property
    def excess(self) -> float:
        """How far this router is over its capacity; all it gets from 1 on."""
        return (self.meter.share - SHED_FROM) / (SHED_ALL - SHED_FROM)

    def refuses(self, priority: int) -> bool:
        """Return whether a request that was read is refused by its priority.

        Only while other routers are no better: then nothing is closed unread,
        and what is read beyond the capacity would keep all from being served.

        Args:
            priority: Priority of the request; 0 is the highest.
        """
        bearable = 1.0 - priority / PRIORITIES
        return self.excess >= bearable and self.fleet.is_general()

    def admits(self, sock: socket.socket, queued_s: float) -> bool:
        """Return whether a new connection is to be read.

        Args:
            sock: The connection.
            queued_s: Seconds since its accept.
        """
        excess = 1.0 if queued_s >= MAX_QUEUED_S else self.excess
        if excess <= 0.0 or self.random.random() >= excess:
            return True
        if self.fleet.is_general():
            return not peer_has_left(sock)
        self.closed += 1
        return False

    def review(self) -> None:
        """Log when closing begins and ends; to be called once a second."""
        closed, self.reviewed = self.closed - self.reviewed, self.closed
        if bool(closed) == self.is_shedding:
            return
        self.is_shedding = bool(closed)
        log.info(
            "load shedding begins"
            if self.is_shedding
            else "load shedding ends",
            closed=self.closed,
            late_share=round(self.meter.share, 3),
            busy=self.meter.busy,
        )
