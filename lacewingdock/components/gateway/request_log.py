"""Support for counting and logging a finished request."""

import time
from typing import TYPE_CHECKING

from lacewingdock.components.gateway.attempt_log import rounded
from lacewingdock.components.gateway.outcome import Outcome
from lacewingdock.helpers.log import get_logger

if TYPE_CHECKING:
    from lacewingdock.components.gateway.exchange import Exchange

log = get_logger("gateway")


def report_outcome(exchange: "Exchange", outcome: Outcome) -> None:
    """Count and log a finished request."""
    seconds = time.monotonic() - exchange.started
    # A request that is refused early has no route yet, or no cascade.
    route = getattr(exchange, "route", None)
    cascade = getattr(exchange, "cascade", None)
    exchange.gateway.metrics.count_outcome(
        exchange.service,
        route.repeat if route else None,
        exchange.priority() if route else None,
        outcome,
        seconds,
    )
    log.info(
        "request",
        request=exchange.call.id,
        session=exchange.call.session,
        route=route.name if route else None,
        workspace=exchange.caller.workspace if exchange.caller else None,
        service=exchange.service,
        model=cascade.model if cascade else "",
        configuration=exchange.table.version if route else None,
        instances=exchange.tried,
        unreached=exchange.unreached,
        events=exchange.progress.events,
        goal_s=route.goal_s if route else None,
        first_s=_first_s(exchange),
        queued_s=rounded(exchange.connection.queued_s),
        pause_s=round(exchange.progress.longest_pause_s, 4),
        outcome=str(outcome),
        seconds=round(seconds, 4),
    )


def _first_s(exchange: "Exchange") -> float | None:
    """Return the seconds to a stream's first event; None without one."""
    if not exchange.progress.started:
        return None
    return round(exchange.progress.first_at - exchange.started, 4)
