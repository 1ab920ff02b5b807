"""Support for sharing the limits that instances name with other routers."""

from lacewingdock.components.gossip import MAX_LIMITS, LimitRow, Message
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.limits import PEER_LIMIT_S


def limit_rows(directory: Directory) -> list[LimitRow]:
    """Return the limits named to this router itself, the latest first.

    Limits received from other routers are not passed on: they would circulate
    forever.
    """
    now = directory.clock.now()
    rows = []
    for one in list(directory.instances.values()):
        # Read once: an answer may end the limit at any moment.
        per_s, age_s = one.limit.own_per_s, now - one.limit.named_at
        if per_s is not None and age_s < PEER_LIMIT_S:
            age_ms = max(round(age_s * 1000), 0)
            rows.append(LimitRow(one.mark, per_s, age_ms))
    rows.sort(key=lambda row: row.age_ms)
    return rows[:MAX_LIMITS]


def apply_limits(directory: Directory, message: Message) -> None:
    """Apply the limits in another router's message to the directory."""
    now = directory.clock.now()
    for row in message.limits:
        found = directory.by_mark(row.mark)
        if found is not None:
            directory.signals.apply_peer_limit(
                found.entry,
                found.limit,
                row.per_s,
                now - row.age_ms / 1000,
                message.router,
            )
