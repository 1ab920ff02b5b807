"""Support for the errors of requests that no upstream answers."""

import random
from typing import Final

from lacewingdock.exceptions import ErrorKind, LacewingdockError

# Shortest Retry-After of a refusal, in seconds. Callers wait at most a third of
# the time that they have left.
RETRY_AFTER_S: Final = 0.25
# Retry-After where no router has capacity, in seconds: the streams that take it
# go on for about as long.
OVERLOADED_AFTER_S: Final = 1.0
# Largest random factor on a known time until there is capacity, so that callers
# retry at different times.
SPREAD_AFTER: Final = 1.5


def not_run_error(
    detail: str, after_s: float | None, source: random.Random
) -> LacewingdockError:
    """Return the error of a request that has not run and will not run.

    Args:
        detail: The reason.
        after_s: Seconds after which a retry may succeed; None where unknown.
        source: Random source for the spread of Retry-After.
    """
    wait_s, spread = RETRY_AFTER_S, 1.0
    if after_s is not None:
        wait_s = max(after_s, RETRY_AFTER_S)
        # Callers refused together must not all retry at the same time.
        spread = source.uniform(1.0, SPREAD_AFTER)
    return LacewingdockError(
        ErrorKind.NO_UPSTREAM, detail, retry_after_s=wait_s * spread
    )


def overloaded_error(source: random.Random) -> LacewingdockError:
    """Return the error of a request for which no router has capacity.

    Args:
        source: Random source for the spread of Retry-After.
    """
    return not_run_error(
        "most routers can't keep up", OVERLOADED_AFTER_S, source
    )


def repeats_crash_error() -> LacewingdockError:
    """Return the error of a poison request, which crashes instances."""
    return LacewingdockError(
        ErrorKind.REPEATS_CRASH,
        "several instances failed while they ran this request",
    )
