"""Support for telling other routers of the limits that instances name."""

from lacewingdock.components.gossip import MAX_LIMITS, LimitRow, Message
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.limits import TOLD_S


def limit_rows(directory: Directory) -> list[LimitRow]:
    """Return what instances told this router itself, the latest first.

    What it has of other routers it does not pass on: it would never end.
    """
    now = directory.clock.now()
    rows = []
    for one in list(directory.instances.values()):
        # Read once: an answer may end it at any moment.
        per_s, age_s = one.limit.own_per_s, now - one.limit.named_at
        if per_s is not None and age_s < TOLD_S:
            age_ms = max(round(age_s * 1000), 0)
            rows.append(LimitRow(one.mark, per_s, age_ms))
    rows.sort(key=lambda row: row.age_ms)
    return rows[:MAX_LIMITS]


def apply_limits(directory: Directory, message: Message) -> None:
    """Take which limits another router heard of."""
    now = directory.clock.now()
    for row in message.limits:
        found = directory.by_mark(row.mark)
        if found is not None:
            directory.signals.told_limit(
                found.entry,
                found.limit,
                row.per_s,
                now - row.age_ms / 1000,
                message.router,
            )
