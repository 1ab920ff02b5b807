"""Support for joining the cascades' policies to requests and ratings."""

import collections
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lacewingdock.components.cascades.const import (
    BINS,
    CLASS_NAME_CHARS,
    MAX_OPEN_SAMPLES,
    MAX_POLICIES,
    NAME,
    SAMPLE,
    SAMPLE_ROUND_S,
)
from lacewingdock.components.cascades.policy import (
    CascadePolicy,
    Choice,
    StepChoice,
)
from lacewingdock.core import Daemon
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.ratings import RatingSample, RatingService
from lacewingdock.world.objects import Step, Workspace
from lacewingdock.world.world import World

log = get_logger(NAME)


@dataclass(slots=True)
class Route:
    """How one request goes through its cascade, and what learns from it.

    Attributes:
        choice: The steps to take.
        policy: The policy that chose; None for fixed thresholds.
        name: The request class.
    """

    choice: Choice
    policy: CascadePolicy | None = None
    name: str = ""


@dataclass(slots=True)
class Open:
    """A sample whose rating has not come.

    Attributes:
        route: The route of its request.
        step: Index of the step that made the answer.
        score: Its verdict; None when there was none.
        given: Whether the caller got the answer.
        version: The version that made it.
    """

    route: Route
    step: int
    score: float | None
    given: bool
    version: str = ""


@dataclass(slots=True)
class Seen:
    """An answer as it came.

    Attributes:
        step: Index of the step that made it.
        score: Its verdict; None when there was none.
        given: Whether the caller got it.
        cost: What it cost.
        messages: What was asked.
        text: What was answered.
        version: The version that made it.
    """

    step: int
    score: float | None
    given: bool
    cost: float
    messages: list[dict[str, Any]] = field(repr=False)
    text: str = field(repr=False)
    version: str = ""


class Cascades:
    """The policies of this entry, one for each workspace and cascade.

    Attributes:
        daemon: The daemon.
        ratings: The rating service; None when there is none.
        policies: Policies by workspace, cascade and versions.
        open: Samples whose rating has not come, the oldest first.
        waiting: Samples to hand in.
        unjudged: Sampled answers that were given without a verdict; they
            get one off the caller's path.
        after: The last result fetched.
        wants: Tells whether ratings of a version are wanted beyond what
            the policies need.
        on_rating: Told of each rating: the version and its rating.
    """

    __slots__ = (
        "_lock",
        "after",
        "daemon",
        "on_rating",
        "open",
        "policies",
        "ratings",
        "unjudged",
        "waiting",
        "wants",
    )

    def __init__(self, daemon: Daemon, ratings: RatingService | None) -> None:
        """Start without experience."""
        self.daemon = daemon
        self.ratings = ratings
        self.policies: dict[tuple[str, ...], CascadePolicy] = {}
        self.open: collections.OrderedDict[str, Open] = (
            collections.OrderedDict()
        )
        self.waiting: collections.deque[RatingSample] = collections.deque(
            maxlen=MAX_OPEN_SAMPLES
        )
        self.unjudged: collections.deque[tuple[Route, Seen]] = (
            collections.deque(maxlen=MAX_OPEN_SAMPLES)
        )
        self.after = 0
        self.wants: Callable[[str], bool] = lambda version: False
        self.on_rating: list[Callable[[str, float], None]] = []
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start handing samples in and fetching their ratings."""
        if self.ratings is not None:
            self.daemon.every(SAMPLE_ROUND_S, self.exchange)

    def route(
        self,
        world: World,
        workspace_name: str,
        workspace: Workspace,
        cascade: str,
        steps: list[Step],
        request_class: str,
    ) -> Route:
        """Choose the steps of a request.

        Without a quality target, or without a rating service, the steps' own
        thresholds decide.

        Args:
            world: The configuration in force.
            workspace_name: Name of the caller's workspace.
            workspace: The caller's workspace.
            cascade: Name of the cascade.
            steps: Its permitted and offered steps.
            request_class: From `class_of`.
        """
        last = StepChoice(len(steps) - 1, None)
        if self.ratings is None or len(steps) == 1:
            return Route([last] if len(steps) == 1 else [StepChoice(0, None)])
        if not workspace.quality_target:
            return Route([*_by_threshold(steps), last])
        policy = self._policy(world, workspace_name, workspace, cascade, steps)
        choice = policy.choose(request_class, self.daemon.random.random())
        return Route(choice, policy, request_class)

    def _policy(
        self,
        world: World,
        workspace_name: str,
        workspace: Workspace,
        cascade: str,
        steps: list[Step],
    ) -> CascadePolicy:
        versions = tuple(step.version for step in steps)
        key = (workspace_name, cascade, *versions)
        with self._lock:
            policy = self.policies.get(key)
            if policy is None:
                while len(self.policies) >= MAX_POLICIES:
                    del self.policies[next(iter(self.policies))]
                prices = [world.versions[v].output_price for v in versions]
                policy = CascadePolicy(workspace.quality_target, prices)
                self.policies[key] = policy
            policy.target = workspace.quality_target
            return policy

    def is_sampled(self, route: Route, version: str) -> bool:
        """Draw whether an answer of a version shall be rated later."""
        drawn = self.daemon.random.random() < SAMPLE
        wanted = self.ratings is not None and self.wants(version)
        return drawn and (route.policy is not None or wanted)

    def saw(self, route: Route, seen: Seen, sampled: bool) -> None:
        """Learn from an answer; a sampled one is handed in for rating."""
        if route.policy is None:
            if sampled:
                self._hand_in(route, seen)
            return
        is_last = seen.step == len(route.policy.prices) - 1
        if sampled and seen.score is None and not is_last:
            self.unjudged.append((route, seen))
            return
        route.policy.add_answer(route.name, seen.step, seen.score, seen.cost)
        if sampled:
            self._hand_in(route, seen)

    def _hand_in(self, route: Route, seen: Seen) -> None:
        sample = RatingSample(new_id(), seen.messages, seen.text)
        with self._lock:
            self.open[sample.id] = Open(
                route, seen.step, seen.score, seen.given, seen.version
            )
            # Ratings may never come; the oldest sample makes room.
            while len(self.open) > MAX_OPEN_SAMPLES:
                self.open.popitem(last=False)
            self.waiting.append(sample)

    def exchange(self) -> None:
        """Hand waiting samples in and learn from ratings that came."""
        if self.ratings is None:
            return
        client = self.daemon.me.incarnation
        try:
            self._judge_late(self.ratings)
            handed = list(self.waiting)
            if handed:
                self.ratings.submit(client, handed)
                for _ in handed:
                    self.waiting.popleft()
            results = self.ratings.results(client, self.after)
        except LacewingdockError as error:
            log.warning("ratings not exchanged", error=error.detail)
            return
        self.after = results.after
        for result in results.ratings:
            with self._lock:
                known = self.open.pop(result.id, None)
            if known is None:
                continue
            for callback in self.on_rating:
                callback(known.version, result.rating)
            if known.route.policy is not None:
                known.route.policy.add_rating(
                    known.route.name,
                    known.step,
                    known.score,
                    result.rating,
                    known.given,
                )

    def _judge_late(self, ratings: RatingService) -> None:
        """Get verdicts on sampled answers that were streamed without one."""
        while self.unjudged:
            route, seen = self.unjudged[0]
            seen.score = ratings.rate(seen.messages, seen.text)
            self.unjudged.popleft()
            self.saw(route, seen, sampled=True)

    def unload(self) -> None:
        """Forget the samples; nobody will fetch their ratings."""
        self.unjudged.clear()
        self.waiting.clear()
        self.open.clear()


def _by_threshold(steps: list[Step]) -> Choice:
    return [
        StepChoice(
            index, [(b + 0.5) / BINS >= step.accept for b in range(BINS)]
        )
        for index, step in enumerate(steps[:-1])
    ]


def class_of(named: str, messages: list[dict[str, Any]]) -> str:
    """Return the class of a request.

    Args:
        named: What the caller says in `Lacewingdock-Class`, or empty.
        messages: The conversation; without a name its length decides, in
            powers of four characters.
    """
    if named:
        return f"named-{named[:CLASS_NAME_CHARS]}"
    size = sum(len(str(m.get("content", ""))) for m in messages)
    return f"size-{(size.bit_length() + 1) // 2}"


def setup(daemon: Daemon, ratings: RatingService | None) -> Cascades:
    """Set the cascades up."""
    cascades = Cascades(daemon, ratings)
    daemon.add(NAME, cascades)
    return cascades
