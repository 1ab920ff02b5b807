"""Support for the sidecar daemon, the last gate before an upstream."""

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
        The number of requests that the stop cut off.

    Raises:
        LacewingdockError: It can't start.
    """
    daemon = Daemon(settings)
    links = peers.setup(daemon)
    config = configuration.setup(daemon, links)
    held = None
    if settings.service:
        held = claims.setup(daemon, links, config, settings.service)
    suspects = quarantine.setup(daemon, links, config)
    bills = billing.setup(daemon, links, config)
    work = runs.setup(daemon, settings, links, config, held, suspects, bills)
    if held is not None:
        held.on_change = work.announce
        held.start()
    metrics.setup(daemon, settings, links, work)
    beside = engine.setup(daemon, settings.upstream, work, settings.service)
    orders.setup(daemon, links, None if settings.service else beside)
    admin_port = admin.setup(daemon, config, lambda: bool(work.targets))
    for component in (links, config, suspects, bills, work, admin_port):
        component.start()
    daemon.on_leave.append(work.announce)
    return daemon.run(work.active)
