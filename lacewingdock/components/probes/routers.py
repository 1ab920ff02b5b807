"""Support for a sidecar to know which senders are routers."""

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
    """The routers' IP numbers, by the platform's entries.

    Attributes:
        api: The platform's store.
        hosts: The IP numbers.
        unknown: Set when somebody else asked since they were read.
        read_at: When they were read.
    """

    __slots__ = ("api", "hosts", "read_at", "refresh_due")

    def __init__(self, api: ObjectApi) -> None:
        """Know nobody yet."""
        self.api = api
        self.hosts: frozenset[str] = frozenset()
        self.refresh_due = threading.Event()
        self.refresh_due.set()
        self.read_at = 0.0

    def is_router(self, host: str) -> bool:
        """Whether a router is at an IP number."""
        if host in self.hosts:
            return True
        self.refresh_due.set()
        return False

    def refresh(self) -> None:
        """Read the entries again, if somebody unknown asked or it is time.

        A list that may be seconds behind costs a tenth, and a router that is
        not known yet goes by what it sees itself.
        """
        is_due = time.monotonic() - self.read_at > MAX_ROUTERS_AGE_S
        if not (self.refresh_due.is_set() or is_due):
            return
        self.refresh_due.clear()
        try:
            found = self.api.list_kind(KIND_ROUTERS, "list-routers", stale=True)
        except LacewingdockError as error:
            self.refresh_due.set()
            log.info("routers not read", error=str(error))
            return
        self.read_at = time.monotonic()
        self.hosts = frozenset(
            host
            for one in found.objects.values()
            if (host := _address_of(one.spec)) is not None
        )


def _address_of(spec: object) -> str | None:
    """Return the IP number of an entry; None where it is none."""
    try:
        return host_of(msgspec.convert(spec, RouterEntry).address)
    except msgspec.ValidationError as error:
        log.error("entry refused", error=str(error))
        return None
