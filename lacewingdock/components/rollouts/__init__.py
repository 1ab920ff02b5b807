"""Support for bringing versions in under live traffic."""

from lacewingdock.components.configuration import Configuration
from lacewingdock.components.leases import Leases
from lacewingdock.components.leases.const import LEASE_ROLLOUTS
from lacewingdock.components.membership import Membership
from lacewingdock.components.orders import send_order
from lacewingdock.components.rollouts.const import NAME
from lacewingdock.components.rollouts.controller import Controller
from lacewingdock.components.rollouts.record import Rollout
from lacewingdock.components.rollouts.verdict import (
    GoOn,
    Hold,
    Return,
    Verdict,
)
from lacewingdock.const import ROLE_SIDECAR
from lacewingdock.core import Daemon
from lacewingdock.world.objects import Instance

__all__ = [
    "Controller",
    "GoOn",
    "Hold",
    "Return",
    "Rollout",
    "Rollouts",
    "Verdict",
    "setup",
]


class Rollouts:
    """The controller of roll-outs in this entry.

    Attributes:
        configuration: Tells plain services from engines.
        membership: Knows the instances.
        controller: Does the steps; its `verdict` is the hook for whoever
            judges versions.
    """

    __slots__ = ("configuration", "controller", "membership")

    def __init__(
        self,
        daemon: Daemon,
        configuration: Configuration,
        membership: Membership,
    ) -> None:
        """Build the controller."""
        self.configuration = configuration
        self.membership = membership
        self.controller = Controller(
            daemon.store,
            self.engines,
            lambda address, order: send_order(daemon, address, order),
            daemon.executor,
        )

    def engines(self, pool: str) -> list[Instance]:
        """Return the live engines of a pool, or of every one."""
        services = self.configuration.world.services
        return [
            i
            for i in self.membership.instances
            if i.role == ROLE_SIDECAR
            and i.state == "live"
            and (i.pool == pool if pool else i.pool not in services)
        ]

    def unload(self) -> None:
        """Nothing is held beyond the lease, which is left by itself."""


def setup(
    daemon: Daemon,
    configuration: Configuration,
    membership: Membership,
    leases: Leases,
) -> Rollouts:
    """Set the roll-outs up, under their lease."""
    rollouts = Rollouts(daemon, configuration, membership)
    leases.add(LEASE_ROLLOUTS, rollouts.controller.work)
    daemon.add(NAME, rollouts)
    return rollouts
