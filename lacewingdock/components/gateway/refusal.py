"""Support for the errors of requests that get no answer of an upstream."""

import random
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError

# How soon a refused caller may come back. Callers wait at most a third of the
# time they have left.
RETRY_AFTER_S: Final = 0.25
# Callers that are told when there is room come back within so many times that.
SPREAD_AFTER: Final = 1.5


def not_run_error(
    detail: str, after_s: float | None, source: random.Random
) -> LacewingdockError:
    """Return the error of a request that never ran and never will.

    Args:
        detail: Why.
        after_s: Seconds after which there may be an answer, if that is known.
        source: Source of draws.
    """
    wait_s, spread = RETRY_AFTER_S, 1.0
    if after_s is not None:
        wait_s = max(after_s, RETRY_AFTER_S)
        # Who is refused together shall not come back together.
        spread = source.uniform(1.0, SPREAD_AFTER)
    return LacewingdockError(
        ErrorKind.NO_UPSTREAM, detail, retry_after_s=wait_s * spread
    )


def repeats_crash_error() -> LacewingdockError:
    """Return the error of a request that crashes what runs it."""
    return LacewingdockError(
        ErrorKind.REPEATS_CRASH, "it was lost at several instances"
    )
