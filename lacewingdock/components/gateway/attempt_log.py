"""Support for logging an attempt."""

import time

from lacewingdock.components.gateway.attempt import Attempt, Result
from lacewingdock.components.upstreams.choice import Chooser
from lacewingdock.helpers.log import get_logger

log = get_logger("gateway")


def log_attempt(
    chooser: Chooser,
    attempt: Attempt,
    model: str,
    result: Result,
    seconds: float,
) -> None:
    """Log an attempt with its connection and the load of its instance.

    The figures are current: this router's own, and those that the other routers
    reported within the last second. The platform's data on the instance is in
    the log line of its entry.
    """
    instance, head, use = attempt.instance, attempt.head, attempt.use
    entry, now = instance.entry, time.monotonic()
    others = chooser.others(instance.mark)
    log.info(
        "attempt",
        request=attempt.call.id,
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
        connection=use.connection if use else None,
        connection_requests=use.requests if use else None,
        skipped_answers=use.skipped if use else None,
        head_after_s=rounded(use.head_after_s if use else None),
        status=head.status if head else None,
        says_limit_per_s=head.limit_per_s if head else None,
        says_rest_s=head.rest_s if head else None,
        says_leaving=head.leaving if head else None,
        result=type(result).__name__,
        detail=getattr(result, "detail", ""),
        seconds=round(seconds, 4),
    )


def rounded(seconds: float | None) -> float | None:
    """Round seconds for the log; None where there are none."""
    return None if seconds is None else round(seconds, 4)
