"""Support for a sidecar to recognize routers by their IP addresses."""

import threading
import time

import msgspec

from lacewingdock.components.probes.const import MAX_ROUTERS_AGE_S
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.object_api import ObjectApi
from lacewingdock.world.router_entry import KIND_ROUTERS, RouterEntry, host_of

log = get_logger("probes")


class RouterAddresses:
    """The routers' IP addresses, by the platform's entries.

    Attributes:
        api: The platform's store.
        hosts: The IP addresses.
        refresh_due: Set when an unknown sender queried since they were read.
        read_at: Monotonic time at which they were read.
    """

    __slots__ = ("api", "hosts", "read_at", "refresh_due")

    def __init__(self, api: ObjectApi) -> None:
        """Start without addresses, and have them read."""
        self.api = api
        self.hosts: frozenset[str] = frozenset()
        self.refresh_due = threading.Event()
        self.refresh_due.set()
        self.read_at = 0.0

    def is_router(self, host: str) -> bool:
        """Whether a router is at an IP address."""
        if host in self.hosts:
            return True
        self.refresh_due.set()
        return False

    def refresh(self) -> None:
        """Read the entries again after an unknown sender, or periodically.

        A list that may be seconds stale costs a tenth of a consistent one, and
        a router that is not listed yet places by the loads that it sees
        itself.
        """
        is_due = time.monotonic() - self.read_at > MAX_ROUTERS_AGE_S
        if not (self.refresh_due.is_set() or is_due):
            return
        self.refresh_due.clear()
        try:
            found = self.api.list_kind(KIND_ROUTERS, "list-routers", stale=True)
        except LacewingdockError as error:
            self.refresh_due.set()
            log.info("list of routers not read", error=str(error))
            return
        self.read_at = time.monotonic()
        self.hosts = frozenset(
            host
            for one in found.objects.values()
            if (host := _address_of(one.spec)) is not None
        )


def _address_of(spec: object) -> str | None:
    """Return the IP address of an entry; None if it is malformed."""
    try:
        return host_of(msgspec.convert(spec, RouterEntry).address)
    except msgspec.ValidationError as error:
        log.error("malformed router entry", error=str(error))
        return None
