"""Support for judging the new version by its answers."""

import statistics
import time
from collections import defaultdict, deque
from dataclasses import dataclass

from lacewingdock.components.exposure.const import (
    ERROR_SHARES,
    FALSE_ALARM_ERRORS,
)
from lacewingdock.components.exposure.evidence import error_factor
from lacewingdock.components.exposure.judge import Control
from lacewingdock.components.shifts.const import (
    MEDIAN_MIN,
    MEDIAN_OF,
    SAME_CAUSE_S,
    SLOW_EXTRA_S,
    SLOW_FACTOR,
)


@dataclass(slots=True)
class Sample:
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


class Evidence:
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
        self.control = Control()
        self.answers = 0
        self.bad = 0
        self.bad_instances: set[str] = set()
        self._times: defaultdict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=MEDIAN_OF)
        )
        self._blamed_at: dict[str, float] = {}

    def add(self, sample: Sample, *, is_new: bool) -> None:
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

    def _is_slow(self, sample: Sample) -> bool:
        times = self._times[sample.route]
        if len(times) < MEDIAN_MIN:
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


def is_bad_version(answers: int, bad: int, level: float) -> bool:
    """Whether that many bad answers speak against a version.

    The same bet as `exposure.evidence` makes answer by answer, worked out at
    once from the sums over all routers.

    Args:
        answers: Answers of the version.
        bad: Bad ones among them.
        level: Share of bad answers that a good version may have.
    """
    good = answers - bad
    wealths = [
        error_factor(share, True, level) ** bad
        * error_factor(share, False, level) ** good
        for share in ERROR_SHARES
    ]
    return sum(wealths) / len(wealths) >= 1.0 / FALSE_ALARM_ERRORS
