"""Support for the active routing table, whose version never decreases."""

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
    """Holds the newest valid routing table.

    Attributes:
        table: The active table; None until the first valid configuration.
        loaded: Set once a table is active.
    """

    __slots__ = ("loaded", "table")

    def __init__(self) -> None:
        """Create the holder without a table; requests wait for `loaded`."""
        self.table: RoutingTable | None = None
        self.loaded = threading.Event()

    def limits(self, service: str) -> ServiceLimits | None:
        """Return the limits of a service's instances; None if unknown."""
        table = self.table
        return table.services.get(service) if table else None

    def cold_start_s(self, service: str) -> float:
        """Return for how many seconds a service's instances start cold."""
        limits = self.limits(service)
        return limits.cold_start_s if limits else 0.0

    def health_path(self, service: str) -> str:
        """Return the path of the health check of a service's instances."""
        limits = self.limits(service)
        return (limits.health_path if limits else "") or "/"

    def apply(self, stored: StoredObject) -> None:
        """Apply a stored configuration if it is valid and newer.

        An invalid or older configuration leaves the active table in place, and
        so does the removal of the stored object.

        Args:
            stored: The object from the platform's store.
        """
        if stored.name != CONFIGURATION_NAME:
            return
        try:
            table = read_configuration(stored)
        except LacewingdockError as error:
            log.error(
                "invalid configuration ignored, active one kept",
                revision=format_revision(stored.revision),
                error=str(error),
            )
            return
        current = self.table
        if current is not None and table.version <= current.version:
            return
        self.table = table
        self.loaded.set()
        log.info(
            "configuration in force",
            version=table.version,
            before=current.version if current else None,
            revision=format_revision(stored.revision),
            routes=len(table.routes),
            keys=len(table.callers) if table.callers is not None else None,
        )
