"""Sets up and runs the sidecar daemon, the proxy next to an upstream."""

from lacewingdock.components import (
    admin,
    claims,
    configuration,
    engine,
    orders,
    peers,
    quarantine,
    runs,
)
from lacewingdock.components.billing import sidecar as billing
from lacewingdock.components.metrics import sidecar as metrics
from lacewingdock.core import Daemon
from lacewingdock.settings import SidecarSettings


def run_sidecar(settings: SidecarSettings) -> int:
    """Run a sidecar until it is stopped.

    Returns:
        The number of requests that were cut off by the stop.

    Raises:
        LacewingdockError: The sidecar can't start.
    """
    daemon = Daemon(settings)
    links = peers.setup(daemon)
    config = configuration.setup(daemon, links)
    partition_claims = None
    if settings.service:
        partition_claims = claims.setup(daemon, links, config, settings.service)
    suspects = quarantine.setup(daemon, links, config)
    bills = billing.setup(daemon, links, config)
    work = runs.setup(
        daemon, settings, links, config, partition_claims, suspects, bills
    )
    if partition_claims is not None:
        partition_claims.on_change = work.announce
        partition_claims.start()
    metrics.setup(daemon, settings, links, work)
    engine_watcher = engine.setup(
        daemon, settings.upstream, work, settings.service
    )
    orders.setup(daemon, links, None if settings.service else engine_watcher)
    admin_port = admin.setup(daemon, config, lambda: bool(work.targets))
    for component in (links, config, suspects, bills, work, admin_port):
        component.start()
    daemon.on_leave.append(work.announce)
    return daemon.run(work.active)
