"""Support for logging an attempt."""

import time

from lacewingdock.components.gateway.attempt import Result
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.call import Call, ResponseHead

log = get_logger("gateway")


def log_attempt(
    chooser: Chooser,
    call: Call,
    model: str,
    instance: UpstreamInstance,
    result: Result,
    head: ResponseHead | None,
    seconds: float,
) -> None:
    """Log an attempt with the load figures of its instance.

    The figures are current: this router's own, and those that the other routers
    reported within the last second. The platform's data on the instance is in
    the log line of its entry.
    """
    entry, now = instance.entry, time.monotonic()
    others = chooser.others(instance.mark)
    log.info(
        "attempt",
        request=call.id,
        upstream=entry.id,
        version=entry.version,
        model=model,
        running=instance.running,
        unread=round(instance.unread, 2),
        others_running=others.running,
        others_unread=round(others.unread, 2),
        failures=round(instance.recent_failures(now), 2),
        cold=instance.is_cold(now),
        limit_per_s=instance.limit.at(now),
        rest_s=round(max(instance.rest.until - now, 0.0), 3),
        heard_s=round(now - instance.last_received_at, 3),
        status=head.status if head else None,
        says_limit_per_s=head.limit_per_s if head else None,
        says_rest_s=head.rest_s if head else None,
        says_leaving=head.leaving if head else None,
        result=type(result).__name__,
        detail=getattr(result, "detail", ""),
        seconds=round(seconds, 4),
    )
