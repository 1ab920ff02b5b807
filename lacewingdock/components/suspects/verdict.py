"""Support for telling whether an instance crashed when it lost a request.

An address proves nothing: a process that is going down, a host that queues
connections for one that is gone, and the next instance there all take a
connection. Only an answer that the very start gave proves that it lives.
"""

from enum import StrEnum

from lacewingdock.components.suspects.const import LIFE_MARGIN_S
from lacewingdock.components.upstreams.instance import UpstreamInstance


class Look(StrEnum):
    """What a question at an instance's address met.

    Attributes:
        ITSELF: The start that was asked for answered.
        ANOTHER: Another instance did; the one that was asked for is gone.
        NOTHING: No connection was taken.
        UNCLEAR: A connection was taken, and no answer came in time.
    """

    ITSELF = "itself"
    ANOTHER = "another"
    NOTHING = "nothing"
    UNCLEAR = "unclear"


class Fate(StrEnum):
    """What became of an instance that lost a request.

    Attributes:
        PROVED: It answered what was sent after the loss: it did not crash.
        LIVES: It sent bytes since, which may have come before and been read
            late; a connection that it does not take outweighs them.
        CRASHED: It is gone, or took no connection.
        UNKNOWN: Nothing shows either.
    """

    PROVED = "proved"
    LIVES = "lives"
    CRASHED = "crashed"
    UNKNOWN = "unknown"


def fate_of(instance: UpstreamInstance | None, lost_at: float) -> Fate:
    """Return what became of an instance.

    Args:
        instance: The start that lost a request; None if it is gone.
        lost_at: Monotonic time at which the loss was noted.
    """
    if instance is None:
        return Fate.CRASHED
    if instance.answered_at >= lost_at:
        return Fate.PROVED
    has_failed = instance.connect_failed_at >= lost_at
    was_heard = instance.last_received_at > lost_at + LIFE_MARGIN_S
    if was_heard and instance.last_received_at > instance.connect_failed_at:
        return Fate.LIVES
    return Fate.CRASHED if has_failed else Fate.UNKNOWN
