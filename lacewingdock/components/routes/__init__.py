"""Support for the routing table in force, which never goes back."""

import threading

from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.documents import (
    CONFIGURATION_NAME,
    read_configuration,
)
from lacewingdock.platform.history import format_revision
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.route import RoutingTable, ServiceLimits

log = get_logger("routes")


class Routes:
    """Keeps the newest routing table.

    Attributes:
        table: The table in force; None until one is known.
        known: Set once there is a table.
    """

    __slots__ = ("known", "table")

    def __init__(self) -> None:
        """Start without a table."""
        self.table: RoutingTable | None = None
        self.known = threading.Event()

    def limits(self, service: str) -> ServiceLimits | None:
        """Return what a service's instances take; None if not known."""
        table = self.table
        return table.services.get(service) if table else None

    def cold_start_s(self, service: str) -> float:
        """Return for how many seconds a service's instances are cold."""
        limits = self.limits(service)
        return limits.cold_start_s if limits else 0.0

    def health_path(self, service: str) -> str:
        """Return where a service's instances are asked how they fare."""
        limits = self.limits(service)
        return (limits.health_path if limits else "") or "/"

    def take(self, stored: StoredObject) -> None:
        """Take a configuration; one that was removed stays in force."""
        if stored.name != CONFIGURATION_NAME:
            return
        try:
            table = read_configuration(stored)
        except LacewingdockError as error:
            log.error(
                "configuration refused, the older one stays",
                revision=format_revision(stored.revision),
                error=str(error),
            )
            return
        known = self.table
        if known is not None and table.version <= known.version:
            return
        self.table = table
        self.known.set()
        log.info(
            "configuration in force",
            version=table.version,
            before=known.version if known else None,
            revision=format_revision(stored.revision),
            routes=len(table.routes),
            keys=len(table.callers) if table.callers is not None else None,
        )
