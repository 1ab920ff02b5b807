"""Support for how long an attempt waits for an upstream instance."""

import time
from dataclasses import dataclass
from typing import Final

from lacewingdock.world.route import Route

# An instance from which nothing at all comes for this many times the goal is
# taken for down, and another is asked. Where it answers others meanwhile, the
# request is in its queue: another's is no shorter, so it is left there up to
# the second figure. Callers give a stream up after four goals.
SILENT_GOALS: Final = 1.0
QUEUED_GOALS: Final = 4.0
# An answer that is no stream takes its goal or fails; its caller waits less.
QUEUED_GOALS_WHOLE: Final = 2.0
# The shortest of these waits: a goal of milliseconds is missed by a lost packet
# that is sent again after 0.2 s, and a second attempt would only add load.
MIN_HEAD_S: Final = 0.3
# The same between two events, in times the longest pause that is on time. An
# upstream that ran out of memory interrupts streams, and reads them again.
SILENT_GAPS: Final = 1.5
QUEUED_GAPS: Final = 4.0
# The shortest wait between two events, for the same reason: two packets lost
# in a row take 0.6 s.
MIN_GAP_S: Final = 0.9


@dataclass(slots=True, frozen=True)
class ReadTimeout:
    """How long an attempt waits for the next piece of an answer.

    Attributes:
        silent_s: Seconds, where nothing at all comes from the instance.
        queued_s: Seconds, where others are answered by it meanwhile.
    """

    silent_s: float
    queued_s: float


@dataclass(slots=True)
class ReadTimeouts:
    """How long an attempt waits.

    Attributes:
        head: For the head of the answer, and the first event.
        gap: Between pieces of the body.
        end: Monotonic time at which the request is given up.
    """

    head: ReadTimeout
    gap: ReadTimeout
    end: float


def timeouts_of_last_attempt(end: float) -> ReadTimeouts:
    """Return the patience where no other instance may be asked.

    Silence is no reason to end such an attempt: the answer may come yet.

    Args:
        end: Monotonic time at which the request is given up.
    """
    left_s = max(end - time.monotonic(), 0.0)
    whole = ReadTimeout(left_s, left_s)
    return ReadTimeouts(whole, whole, end)


def timeouts_before_retry(route: Route, end: float) -> ReadTimeouts:
    """Return the patience where another instance may be asked.

    Args:
        route: The request's route.
        end: Monotonic time at which the request is given up.
    """
    queued = QUEUED_GOALS if route.streaming else QUEUED_GOALS_WHOLE
    head = ReadTimeout(
        max(route.goal_s * SILENT_GOALS, MIN_HEAD_S),
        max(route.goal_s * queued, MIN_HEAD_S),
    )
    gap = ReadTimeout(
        max(route.gap_s * SILENT_GAPS, MIN_GAP_S),
        max(route.gap_s * QUEUED_GAPS, MIN_GAP_S),
    )
    return ReadTimeouts(head, gap, end)
