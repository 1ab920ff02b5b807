"""Support for distributing leases over the entries."""

import hashlib
from collections.abc import Iterable

from lacewingdock.components.leases.const import MAX_CANDIDATES
from lacewingdock.const import ROLE_ENTRY
from lacewingdock.world.objects import Instance


def rank_candidates(
    lease: str, instances: Iterable[Instance], holder: str
) -> list[str]:
    """Return the names of the candidates for a lease, best rank first.

    Uses rendezvous hashing: all entries compute the same ranking without
    communication, each lease has a different order, and an entry that joins
    or leaves moves few leases. The candidates are in different failure
    domains where there are enough of them, so that the loss of one domain
    leaves a candidate to take over.

    Args:
        lease: Name of the lease.
        instances: The instance list of the platform.
        holder: Name of the current holder, which is left out because it
            can't succeed itself.
    """
    ranked = sorted(
        (
            i
            for i in instances
            if i.role == ROLE_ENTRY and i.state == "live" and i.name != holder
        ),
        key=lambda i: hashlib.sha256(f"{lease}\0{i.name}".encode()).digest(),
    )
    first: list[str] = []
    rest: list[str] = []
    domains: set[str] = set()
    for instance in ranked:
        is_new_domain = instance.failure_domain not in domains
        domains.add(instance.failure_domain)
        (first if is_new_domain else rest).append(instance.name)
    return (first + rest)[:MAX_CANDIDATES]
