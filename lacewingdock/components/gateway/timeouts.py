"""Support for the read timeouts of an attempt at an upstream instance."""

import time
from dataclasses import dataclass
from typing import Final

from lacewingdock.world.route import Route

# Timeouts for the head of an answer, as multiples of the route's goal. An
# instance that sends nothing to any request for the first timeout counts as
# down, and another instance is asked. While it answers other requests, this
# request is in its queue; queues elsewhere are no shorter, so the request stays
# there up to the second timeout. Callers abandon a stream after four goals.
SILENT_GOALS: Final = 1.0
QUEUED_GOALS: Final = 4.0
# The second timeout for an answer that is not a stream, as a multiple of the
# goal: such an answer meets its goal or fails, and its caller waits less.
QUEUED_GOALS_WHOLE: Final = 2.0
# Shortest timeout for the head, in seconds. A lost packet is sent again after
# 0.2 s, which misses a goal of milliseconds; a second attempt would only add
# load.
MIN_HEAD_S: Final = 0.3
# The same two timeouts between two events, as multiples of the longest pause
# that is on time. An upstream that runs out of memory interrupts streams, and
# reads their prompts again before it continues them.
SILENT_GAPS: Final = 1.5
QUEUED_GAPS: Final = 4.0
# Shortest timeout between two events, in seconds, for the same reason: two
# packets lost in a row take 0.6 s.
MIN_GAP_S: Final = 0.9
# Share of the time left in which a body must be complete: a body without end
# leaves the rest to another attempt.
BODY_SHARE: Final = 0.5


@dataclass(slots=True, frozen=True)
class ReadTimeout:
    """How long an attempt waits for the next part of an answer.

    Attributes:
        silent_s: Seconds to wait while the instance sends nothing to any
            request.
        queued_s: Seconds to wait while the instance answers other requests.
    """

    silent_s: float
    queued_s: float


@dataclass(slots=True)
class ReadTimeouts:
    """The timeouts of an attempt.

    Attributes:
        head: Timeout for the head of the answer, and for the first event.
        gap: Timeout between parts of the body.
        end: Monotonic deadline of the request.
        body_end: Monotonic deadline of a body that is read as a whole.
    """

    head: ReadTimeout
    gap: ReadTimeout
    end: float
    body_end: float


def timeouts_of_last_attempt(end: float) -> ReadTimeouts:
    """Return the timeouts of an attempt after which no retry is possible.

    A silent instance is no reason to end such an attempt: the answer may still
    arrive before the deadline.

    Args:
        end: Monotonic deadline of the request.
    """
    left_s = max(end - time.monotonic(), 0.0)
    whole = ReadTimeout(left_s, left_s)
    return ReadTimeouts(whole, whole, end, end)


def timeouts_before_retry(route: Route, end: float) -> ReadTimeouts:
    """Return the timeouts of an attempt that another instance may follow.

    Args:
        route: The request's route.
        end: Monotonic deadline of the request.
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
    now = time.monotonic()
    body_end = now + BODY_SHARE * max(end - now, 0.0)
    return ReadTimeouts(head, gap, end, body_end)
