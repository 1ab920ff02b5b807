"""Support for embedding the coordination components in other programs.

The components run without the daemons and without the platform;
docs/library.md shows how to combine them.
"""

from lacewingdock.components.admission.retry_budget import RetryBudget
from lacewingdock.components.admission.slots import Slots
from lacewingdock.components.configuration.items import ItemTable
from lacewingdock.components.leases.lease import (
    Lease,
    LeaseRecord,
    LeaseStore,
)
from lacewingdock.components.membership.subset import choose_subset
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.messages import Delta, Item
from lacewingdock.platform.budget import CallBudget
from lacewingdock.platform.store import Stored
from lacewingdock.world.objects import Instance

__all__ = [
    "CallBudget",
    "Delta",
    "ErrorKind",
    "Instance",
    "Item",
    "ItemTable",
    "LacewingdockError",
    "Lease",
    "LeaseRecord",
    "LeaseStore",
    "RetryBudget",
    "Slots",
    "Stored",
    "choose_subset",
]
