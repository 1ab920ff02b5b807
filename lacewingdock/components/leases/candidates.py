"""Support for spreading leases over the entries."""

import hashlib
from collections.abc import Iterable

from lacewingdock.components.leases.const import MAX_CANDIDATES
from lacewingdock.const import ROLE_ENTRY
from lacewingdock.world.objects import Instance


def rank_candidates(
    lease: str, instances: Iterable[Instance], holder: str
) -> list[str]:
    """Return the entries that look after a lease, the best one first.

    Rendezvous hashing: all rank alike without talking, each lease has
    another order, and one entry that comes or goes moves few leases. The
    candidates stand in different failure domains where there are enough, so
    that the loss of one domain leaves a taker.

    Args:
        lease: Name of the lease.
        instances: The platform's list.
        holder: The holder, which can't succeed itself.
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
