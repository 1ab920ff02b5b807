"""Support for deciding whether an instance crashed when it lost a request.

An accepted connection proves nothing: a process that is shutting down, a host
that queues connections for a process that has exited, and the next instance at
the same address all accept one. Only an answer from the same incarnation proves
that the instance lives.
"""

from enum import StrEnum

from lacewingdock.components.poison_requests.const import LATE_READ_MARGIN_S
from lacewingdock.components.upstreams.instance import UpstreamInstance


class Responder(StrEnum):
    """Who answered a request to an instance's address.

    Attributes:
        ITSELF: The expected incarnation answered.
        ANOTHER: Another instance answered; the expected one is gone.
        NOTHING: No connection was accepted.
        UNCLEAR: A connection was accepted, but no answer came in time.
    """

    ITSELF = "itself"
    ANOTHER = "another"
    NOTHING = "nothing"
    UNCLEAR = "unclear"


class CrashVerdict(StrEnum):
    """Whether an instance crashed when it lost a request.

    Attributes:
        SURVIVED: The instance answered a request that was sent after the loss.
        LIKELY_ALIVE: Bytes were read from the instance after the loss. They
            may have arrived before it and been read late, so a connection
            that failed afterwards outweighs them.
        CRASHED: The instance is gone, or accepted no connection.
        UNKNOWN: There is no evidence either way.
    """

    SURVIVED = "proved"
    LIKELY_ALIVE = "lives"
    CRASHED = "crashed"
    UNKNOWN = "unknown"


def judge_crash(
    instance: UpstreamInstance | None, lost_at: float
) -> CrashVerdict:
    """Return whether an instance crashed when it lost a request.

    Args:
        instance: The incarnation that lost the request; None if it is gone.
        lost_at: Monotonic time at which the loss was recorded.
    """
    if instance is None:
        return CrashVerdict.CRASHED
    if instance.answered_at >= lost_at:
        return CrashVerdict.SURVIVED
    has_failed = instance.connect_failed_at >= lost_at
    was_heard = instance.last_received_at > lost_at + LATE_READ_MARGIN_S
    if was_heard and instance.last_received_at > instance.connect_failed_at:
        return CrashVerdict.LIKELY_ALIVE
    return CrashVerdict.CRASHED if has_failed else CrashVerdict.UNKNOWN
