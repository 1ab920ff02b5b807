"""Handles the restore of the platform's store from an older copy."""

from collections.abc import Callable

from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.poison_requests import PoisonRequests
from lacewingdock.components.routers import Routers


def on_restore(
    health: StoreHealth,
    routers: Routers,
    suspects: PoisonRequests,
) -> Callable[[], None]:
    """Return the function to call when the store was restored from a copy.

    Args:
        health: The store's health state.
        routers: The registry of routers; this router is announced again.
        suspects: Lost requests; those that still count are published again.
    """

    def returned() -> None:
        health.restored()
        suspects.publication.republish()
        routers.due.set()

    return returned
