"""Handles the restore of the platform's store from an older copy."""

from collections.abc import Callable
from typing import Final

from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.poison_requests import PoisonRequests
from lacewingdock.components.routers import Routers
from lacewingdock.components.upstreams.directory import LAPSE_S, Directory
from lacewingdock.world.host import Bounds

# Renewal intervals without a heartbeat after which an instance's entry expires.
ENTRY_EXPIRY_INTERVALS: Final = 3


def on_restore(
    health: StoreHealth,
    directory: Directory,
    routers: Routers,
    suspects: PoisonRequests,
    bounds: Callable[[], Bounds],
) -> Callable[[], None]:
    """Return the function to call when the store was restored from a copy.

    Args:
        health: The store's health state.
        directory: The upstream instances.
        routers: The registry of routers; this router is announced again.
        suspects: Lost requests; those that still count are published again.
        bounds: Returns the router's propagation bounds.
    """

    def returned() -> None:
        health.restored()
        directory.hold_older_entries(hold_older_entries_s(bounds()))
        suspects.publication.republish()
        routers.due.set()

    return returned


def hold_older_entries_s(bounds: Bounds) -> float:
    """Return for how long entries from the older copy are held, in seconds.

    Long enough for entries that no instance renews to expire, and for the
    router to observe that.
    """
    return ENTRY_EXPIRY_INTERVALS * bounds.renewal_s + LAPSE_S
