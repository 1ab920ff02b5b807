"""Support for evaluating the new version by its answers."""

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
from lacewingdock.components.traffic_shifting.const import (
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
    """Result of one attempt, attributed to a version.

    Attributes:
        service: Name of the service.
        version: Version that ran the attempt.
        instance: Id of the instance that ran the attempt.
        route: Name of the request's route.
        bad: Whether the attempt failed.
        refused: Whether the instance did not run the attempt, so that it is no
            evidence about the version.
        seconds: Seconds to the answer, or to the first event of a stream.
    """

    service: str
    version: str
    instance: str
    route: str
    bad: bool
    refused: bool
    seconds: float


class VersionEvidence:
    """Answers of the new version, with the old version's as the control.

    Attributes:
        control: The old version's share of bad answers.
        answers: Number of the new version's answers.
        bad: Number of bad answers among them.
        bad_instances: Ids of the instances that gave bad answers.
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
        """Count an answer of the new version or of the control."""
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
    """Detects when a version's share of bad answers rises above a level.

    The bets are those of `exposure.evidence`, on the sums over all routers.
    Each bet's wealth is reset to one when it falls below one (a CUSUM test), so
    that earlier good answers do not hide a version that turns bad. A single bet
    without a reset missed a version with 7 bad of 31 answers, and of 1,600.

    Attributes:
        answers: Number of answers counted.
        bad: Number of bad answers among them.
        wealths: Wealth of each bet.
    """

    __slots__ = ("answers", "bad", "wealths")

    def __init__(self) -> None:
        """Start without answers."""
        self.answers = 0
        self.bad = 0
        self.wealths = [1.0] * len(ERROR_SHARES)

    def update(self, answers: int, bad: int, level: float) -> None:
        """Update the bets with the present sums over all routers.

        Args:
            answers: Number of the version's answers.
            bad: Number of bad answers among them.
            level: Share of bad answers that a good version may have.
        """
        more_bad = max(bad - self.bad, 0)
        more_good = max(answers - self.answers - more_bad, 0)
        self.answers = max(answers, self.answers)
        self.bad = max(bad, self.bad)
        for index, share in enumerate(ERROR_SHARES):
            wealth = self.wealths[index]
            # Answers within a round have no order; the good ones are counted
            # first, so that they do not reduce the evidence of the bad ones.
            wealth *= error_factor(share, False, level) ** more_good
            wealth = max(wealth, 1.0)
            wealth *= error_factor(share, True, level) ** more_bad
            self.wealths[index] = wealth

    @property
    def wealth(self) -> float:
        """Mean wealth of the bets; one without evidence against the version."""
        return sum(self.wealths) / len(self.wealths)


def tolerated_share(control: Control) -> float:
    """Return the share of bad answers that a good version may have now.

    Twice the old version's share, as used for longer roll-outs, hid a version
    that failed half of its requests while the old version had lost four
    instances.
    """
    seen = control.errors / control.requests if control.requests else 0.0
    return min(seen + ERROR_TOLERANCE, MAX_TOLERATED_SHARE)
