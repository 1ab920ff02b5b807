"""Support for telling what a router believes; loaded when it is asked for."""

import time
from typing import TYPE_CHECKING

from lacewingdock.components.inspection.gather import (
    gather_copies,
    gather_roll_outs,
    gather_routers,
    gather_services,
    gather_upstreams,
)
from lacewingdock.components.inspection.state import RouterState
from lacewingdock.const import VERSION

if TYPE_CHECKING:
    from lacewingdock.daemons.router import RouterDaemon


def router_state(router: "RouterDaemon") -> RouterState:
    """Return what a router believes now."""
    host, table = router.host, router.routes.table
    return RouterState(
        instance=host.instance,
        failure_domain=host.failure_domain,
        release=VERSION,
        up_s=round(time.monotonic() - router.started, 1),
        missing=router.missing(),
        leaving=router.leaving.is_set(),
        active=router.callers.active.value,
        configuration=table.version if table else None,
        store_away=router.health.away,
        store_doubtful=router.health.doubtful,
        copies=gather_copies(router.mirrors.values()),
        services=gather_services(router.gateway),
        upstreams=gather_upstreams(router.directory),
        roll_outs=gather_roll_outs(router.shifts),
        routers=gather_routers(router.routers),
    )
