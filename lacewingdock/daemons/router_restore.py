"""Support for a router whose platform's store is back from an older copy."""

from collections.abc import Callable
from typing import Final

from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.routers import Routers
from lacewingdock.components.suspects import PoisonRequests
from lacewingdock.components.upstreams.directory import LAPSE_S, Directory
from lacewingdock.world.host import Bounds

# Intervals of silence after which an instance's entry runs out.
ENTRY_EXPIRY_INTERVALS: Final = 3


def on_return(
    health: StoreHealth,
    directory: Directory,
    routers: Routers,
    suspects: PoisonRequests,
    bounds: Callable[[], Bounds],
) -> Callable[[], None]:
    """Return what is done when the store is back from a copy.

    Args:
        health: What is known of the store.
        directory: The upstream instances.
        routers: The routers; this one's entry is written again.
        suspects: Lost requests; all that count are told again.
        bounds: Returns what the router is held to.
    """

    def returned() -> None:
        health.restored()
        directory.hold_older_entries(hold_older_entries_s(bounds()))
        suspects.republish()
        routers.due.set()

    return returned


def hold_older_entries_s(bounds: Bounds) -> float:
    """Return for how long older entries are held back, in seconds.

    Until those that nobody writes again have run out, and that was seen.
    """
    return ENTRY_EXPIRY_INTERVALS * bounds.renewal_s + LAPSE_S
