"""Support for judging the new version by its answers."""

import statistics
import time
from collections import defaultdict, deque
from dataclasses import dataclass

from lacewingdock.components.exposure.const import (
    ERROR_SHARES,
    ERROR_TOLERANCE,
)
from lacewingdock.components.exposure.evidence import error_factor
from lacewingdock.components.exposure.judge import Control
from lacewingdock.components.shifts.const import (
    CONTROL_HALF_LIFE,
    MAX_TOLERATED_SHARE,
    MEDIAN_MIN_SAMPLES,
    MEDIAN_WINDOW,
    SAME_CAUSE_S,
    SLOW_EXTRA_S,
    SLOW_FACTOR,
)


@dataclass(slots=True)
class VersionSample:
    """What one attempt showed of a version.

    Attributes:
        service: The service.
        version: The version.
        instance: The instance.
        route: The route.
        bad: Whether it failed.
        refused: Whether the instance did not run it, which says nothing.
        seconds: Time to the answer, or to the first event.
    """

    service: str
    version: str
    instance: str
    route: str
    bad: bool
    refused: bool
    seconds: float


class VersionEvidence:
    """Answers of the new version against those of the old one.

    Attributes:
        control: The old version's share of bad answers.
        answers: Answers of the new version.
        bad: Bad ones among them.
        bad_instances: Instances that gave them.
    """

    __slots__ = (
        "_blamed_at",
        "_times",
        "answers",
        "bad",
        "bad_instances",
        "control",
    )

    def __init__(self) -> None:
        """Start without answers."""
        self.control = Control(CONTROL_HALF_LIFE)
        self.answers = 0
        self.bad = 0
        self.bad_instances: set[str] = set()
        self._times: defaultdict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=MEDIAN_WINDOW)
        )
        self._blamed_at: dict[str, float] = {}

    def add(self, sample: VersionSample, *, is_new: bool) -> None:
        """Count an answer."""
        is_bad = sample.bad or self._is_slow(sample)
        if is_bad and not self._is_new_cause(sample.instance):
            return
        if not is_new:
            self.control.add_request(is_bad)
            if not sample.bad:
                self._times[sample.route].append(sample.seconds)
            return
        self.answers += 1
        if is_bad:
            self.bad += 1
            self.bad_instances.add(sample.instance)

    def _is_slow(self, sample: VersionSample) -> bool:
        times = self._times[sample.route]
        if len(times) < MEDIAN_MIN_SAMPLES:
            return False
        usual = statistics.median(times)
        return sample.seconds > usual * SLOW_FACTOR + SLOW_EXTRA_S

    def _is_new_cause(self, instance: str) -> bool:
        now = time.monotonic()
        last = self._blamed_at.get(instance)
        if last is not None and now - last < SAME_CAUSE_S:
            return False
        self._blamed_at[instance] = now
        return True


class ChangeDetector:
    """Tells when a version's share of bad answers rises above a level.

    The bets are those of `exposure.evidence`, on the sums over all routers.
    A bet that lost what it had starts again from one (a CUSUM test), so that
    good answers from before do not hide a version that turns bad: it had 7 bad
    of 31 answers, and then of 1,600, where a single bet still trusted it.

    Attributes:
        answers: Answers seen.
        bad: Bad ones among them.
        wealths: Wealth of each bet.
    """

    __slots__ = ("answers", "bad", "wealths")

    def __init__(self) -> None:
        """Start without answers."""
        self.answers = 0
        self.bad = 0
        self.wealths = [1.0] * len(ERROR_SHARES)

    def update(self, answers: int, bad: int, level: float) -> None:
        """Take the sums as they are now.

        Args:
            answers: Answers of the version.
            bad: Bad ones among them.
            level: Share of bad answers that a good version may have.
        """
        more_bad = max(bad - self.bad, 0)
        more_good = max(answers - self.answers - more_bad, 0)
        self.answers = max(answers, self.answers)
        self.bad = max(bad, self.bad)
        for index, share in enumerate(ERROR_SHARES):
            wealth = self.wealths[index]
            # Answers of one round have no order; the good ones go first,
            # so that they do not take from what the bad ones show.
            wealth *= error_factor(share, False, level) ** more_good
            wealth = max(wealth, 1.0)
            wealth *= error_factor(share, True, level) ** more_bad
            self.wealths[index] = wealth

    @property
    def wealth(self) -> float:
        """Mean wealth of the bets; one where nothing speaks against it."""
        return sum(self.wealths) / len(self.wealths)


def tolerated_share(control: Control) -> float:
    """Return the share of bad answers that a good version may have now.

    Twice the old version's, as a longer roll-out takes it, hid a version that
    failed half of its requests while the old one had lost four instances.
    """
    seen = control.errors / control.requests if control.requests else 0.0
    return min(seen + ERROR_TOLERANCE, MAX_TOLERATED_SHARE)
