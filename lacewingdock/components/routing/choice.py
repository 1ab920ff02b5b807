"""Support for choosing the upstream of a request by load."""

import random
from collections.abc import Collection

from lacewingdock.const import RAN_NO
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.world.upstream import Upstream


def choose_upstream(
    candidates: list[Upstream],
    tried: Collection[str],
    rng: random.Random,
) -> Upstream:
    """Choose the less loaded of two random upstreams (power of two choices).

    Args:
        candidates: Upstreams that may run the request.
        tried: Names of upstreams that refused the request before; they are
            not chosen again.
        rng: Source of the draw.

    Raises:
        LacewingdockError: NO_UPSTREAM, not run.
    """
    untried = [u for u in candidates if u.name not in tried]
    if not untried:
        raise LacewingdockError(
            ErrorKind.NO_UPSTREAM, "no upstream can run the request now", RAN_NO
        )
    drawn = rng.sample(untried, min(2, len(untried)))
    return min(drawn, key=lambda upstream: upstream.load())
