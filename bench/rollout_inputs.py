"""Support for generated traffic of a roll-out.

Assumptions: ratings are normal with a mean of 0.85 and a deviation of 0.15,
cut to 0..1; five answers in a hundred are rated, fifty requests late; the old
version fails four requests in a thousand; a tenth of the traffic goes to
the new version.
"""

import collections
import random
from dataclasses import dataclass
from typing import Final

from lacewingdock.components.exposure import Judge, Verdict

MEAN: Final = 0.85
DEVIATION: Final = 0.15
RATED: Final = 0.05
DELAY: Final = 50
OLD_ERRORS: Final = 0.004
SHARE: Final = 0.1
WARM_UP: Final = 2000


@dataclass(slots=True)
class Candidate:
    """A version as it truly is.

    Attributes:
        name: What is wrong with it.
        drop: By how much its ratings are lower.
        errors: Share of its requests that fail.
    """

    name: str
    drop: float = 0.0
    errors: float = OLD_ERRORS


CANDIDATES: Final = [
    Candidate("gross failure", errors=1.0),
    Candidate("half fails", errors=0.5),
    Candidate("quality lower by 0.15", drop=0.15),
    Candidate("healthy"),
]


@dataclass(slots=True)
class Ended:
    """How a roll-out ended.

    Attributes:
        answered: Requests that the new version got.
        is_stopped: Whether it was called bad.
    """

    answered: int
    is_stopped: bool


def roll_out(candidate: Candidate, seed: int, limit: int = 6000) -> Ended:
    """Let the judge watch a version until it is stopped or the limit."""
    source = random.Random(seed)
    judge = Judge()
    late: collections.deque[tuple[int, bool, float]] = collections.deque()
    answered = index = 0
    while answered < limit and judge.verdict() is not Verdict.BAD:
        index += 1
        while late and late[0][0] <= index:
            _, is_new, rating = late.popleft()
            judge.add_rating(is_new, rating)
        is_new = index > WARM_UP and source.random() < SHARE
        answered += is_new
        chance = candidate.errors if is_new else OLD_ERRORS
        is_error = source.random() < chance
        judge.add_request(is_new, is_error)
        if not is_error and source.random() < RATED:
            mean = MEAN - (candidate.drop if is_new else 0.0)
            rating = min(max(source.gauss(mean, DEVIATION), 0.0), 1.0)
            late.append((index + DELAY, is_new, rating))
    return Ended(answered, judge.verdict() is Verdict.BAD)


def fixed_step(candidate: Candidate, seed: int, size: int = 1000) -> Ended:
    """Compare means once after a fixed number of requests (baseline)."""
    source = random.Random(seed)
    errors = sum(source.random() < candidate.errors for _ in range(size))
    count = int(size * RATED)
    new = sum(
        source.gauss(MEAN - candidate.drop, DEVIATION) for _ in range(count)
    )
    old = sum(source.gauss(MEAN, DEVIATION) for _ in range(count))
    is_bad = errors / size > 0.02 or (old - new) / count > 0.05
    return Ended(size, is_bad)
