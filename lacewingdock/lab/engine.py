"""Model of an inference engine with continuous batching."""

import math
from collections import OrderedDict, deque
from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any, Final

import simpy

from lacewingdock.components.pacing.const import COLD_SPAN_S, LIMIT_SPAN_S
from lacewingdock.lab.deployment import Engines, Model

# Seconds from the announcement of a rate limit until requests are counted
# against it; the limit has reached all routers by then.
LIMIT_PROPAGATION_S: Final = 3.0

Steps = Generator[simpy.Event, Any, None]


@dataclass(slots=True, eq=False)
class EngineRun:
    """The run of a request on an engine.

    Attributes:
        call: Id of the request.
        model: The model that answers.
        subject: Id of the shared prompt prefix.
        shared_tokens: Tokens of the shared prefix.
        own_tokens: Tokens of the rest of the prompt.
        remaining: Tokens that are still to be generated.
        priority: Priority of the request; 0 is the highest.
        began: Succeeds with True at the first event of the answer, with False
            if the run ends without an event.
        ended: Succeeds with whether the answer is complete.
        unread: Prompt tokens that are still to be read.
        generated: Tokens generated.
        longest_gap_s: Longest pause between two events, in seconds.
    """

    call: str
    model: Model
    subject: str
    shared_tokens: int
    own_tokens: int
    remaining: int
    priority: int
    began: simpy.Event
    ended: simpy.Event
    unread: int = 0
    generated: int = 0
    longest_gap_s: float = 0.0

    @property
    def tokens(self) -> int:
        """Tokens for which the run needs memory."""
        return (
            self.shared_tokens
            + self.own_tokens
            + self.generated
            + self.remaining
        )

    def finish(self, *, complete: bool) -> None:
        """End the run: trigger `began` and `ended` if they are pending."""
        if not self.began.triggered:
            self.began.succeed(complete)
        if not self.ended.triggered:
            self.ended.succeed(complete)


@dataclass(slots=True)
class ArrivalWindow:
    """Peak number of arrivals at an engine within a sliding window.

    Attributes:
        span_s: Length of the window in seconds.
        times: Times of the arrivals in the current window.
        peak: Largest number of arrivals in any window.
    """

    span_s: float
    times: deque[float] = field(default_factory=deque)
    peak: int = 0

    def add(self, now: float) -> None:
        """Count an arrival at a time."""
        self.times.append(now)
        while self.times[0] < now - self.span_s:
            self.times.popleft()
        self.peak = max(self.peak, len(self.times))


class Engine:
    """One start of an engine.

    Attributes:
        env: The simulation environment.
        spec: Properties of the engine.
        name: Id of this start.
        cold_until: Time until which the engine is cold.
        alive: Whether the engine has power.
        running: Runs in progress.
        waiting: Queued runs, in the order in which they will start.
        cold: Arrivals while the engine was cold.
        limit_per_s: Announced limit in requests a second; None if the engine
            announces none.
        limited: Arrivals while the engine announced a limit, counted once the
            limit has reached all routers.
        limited_from: Time at which the limit was announced first.
        rest_s: Seconds of rest, the backoff asked for with Retry-After, that
            the engine asks for while it refuses all requests; None while it
            accepts requests.
        leaving: Whether the engine announces that it is leaving, draining
            before a planned stop.
        unwanted: Requests that arrived while the engine was leaving or asked
            for rest.
    """

    __slots__ = (
        "_prefix_cache",
        "_wake",
        "alive",
        "cold",
        "cold_until",
        "env",
        "leaving",
        "limit_per_s",
        "limited",
        "limited_from",
        "name",
        "rest_s",
        "running",
        "spec",
        "unwanted",
        "waiting",
    )

    def __init__(
        self,
        env: simpy.Environment,
        spec: Engines,
        name: str,
        cold_until: float,
    ) -> None:
        """Start an engine; its process runs in the environment."""
        self.env = env
        self.spec = spec
        self.name = name
        self.cold_until = cold_until
        self.alive = True
        self.running: list[EngineRun] = []
        self.waiting: list[EngineRun] = []
        self.cold = ArrivalWindow(COLD_SPAN_S)
        self.limit_per_s: float | None = None
        self.limited = ArrivalWindow(LIMIT_SPAN_S)
        self.limited_from = 0.0
        self.rest_s: float | None = None
        self.leaving = False
        self.unwanted = 0
        self._prefix_cache: OrderedDict[str, int] = OrderedDict()
        self._wake = env.event()
        env.process(self._work())

    def submit(self, run: EngineRun) -> bool:
        """Queue a run; return False if the engine refuses it."""
        if self.env.now < self.cold_until:
            self.cold.add(self.env.now)
        counted_from = self.limited_from + LIMIT_PROPAGATION_S
        if self.limit_per_s is not None and self.env.now >= counted_from:
            self.limited.add(self.env.now)
        self.unwanted += self.leaving or self.rest_s is not None
        if self.rest_s is not None:
            return False
        if len(self.waiting) >= self.spec.queue:
            return False
        cached = self._prefix_cache.get(run.subject, 0)
        run.unread = run.own_tokens + max(run.shared_tokens - cached, 0)
        self.waiting.append(run)
        self.waiting.sort(key=lambda one: one.priority)
        self._notify()
        return True

    def cancel(self, run: EngineRun) -> None:
        """Drop a run whose caller or router is gone."""
        for runs in (self.running, self.waiting):
            if run in runs:
                runs.remove(run)
        self._notify()

    def lose_power(self) -> None:
        """Stop the engine at once; all its runs end incomplete."""
        self.alive = False
        for run in self.running + self.waiting:
            run.finish(complete=False)
        self.running, self.waiting = [], []
        self._notify()

    @property
    def unread(self) -> float:
        """Unread prompt work, in thousands of tokens of the largest model."""
        largest = self.spec.models[-1].pace
        return sum(
            run.unread * run.model.pace / largest / 1000
            for run in self.running + self.waiting
        )

    def _notify(self) -> None:
        if not self._wake.triggered:
            self._wake.succeed()

    def _work(self) -> Steps:
        while self.alive:
            self._admit()
            self._wake = self.env.event()
            if not self.running:
                yield self._wake
                continue
            reading = next((one for one in self.running if one.unread), None)
            step_s = self._step_s(reading)
            steps = self._steps_to_change(reading)
            began = self.env.now
            yield self.env.timeout(steps * step_s) | self._wake
            done = min(round((self.env.now - began) / step_s), steps)
            if self.alive and done:
                self._advance(done, step_s, reading)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.spec.slots:
            used = sum(one.tokens for one in self.running)
            if self.running and (
                used + self.waiting[0].tokens > self.spec.memory_tokens
            ):
                return
            self.running.append(self.waiting.pop(0))

    def _step_s(self, reading: EngineRun | None) -> float:
        step_ms = self.spec.step_ms
        step_ms += self.spec.step_ms_per_running * len(self.running)
        if reading is not None:
            chunk = min(reading.unread, self.spec.chunk_tokens)
            step_ms += chunk * reading.model.pace / self.spec.read_tokens_per_ms
        return step_ms / 1000

    def _steps_to_change(self, reading: EngineRun | None) -> int:
        """Return the steps until the next event or end of a run."""
        ends = [
            min(one.remaining, self._tokens_to_event(one))
            for one in self.running
            if not one.unread
        ]
        if reading is not None:
            ends.append(math.ceil(reading.unread / self.spec.chunk_tokens))
        return max(min(ends, default=1), 1)

    def _tokens_to_event(self, run: EngineRun) -> int:
        """Return the tokens until the first event; after it, until the end."""
        if run.began.triggered:
            return run.remaining
        return max(self.spec.event_tokens - run.generated, 1)

    def _advance(
        self, steps: int, step_s: float, reading: EngineRun | None
    ) -> None:
        gap_s = step_s * self.spec.event_tokens
        for run in list(self.running):
            if run.unread:
                continue
            run.generated += steps
            run.remaining -= steps
            if run.began.triggered:
                run.longest_gap_s = max(run.longest_gap_s, gap_s)
            elif run.generated >= self.spec.event_tokens or run.remaining <= 0:
                run.began.succeed(True)
            if run.remaining <= 0:
                self.running.remove(run)
                self._cache_prefix(run)
                run.finish(complete=True)
        if reading is not None and reading in self.running:
            read = steps * self.spec.chunk_tokens
            reading.unread = max(reading.unread - read, 0)

    def _cache_prefix(self, run: EngineRun) -> None:
        """Cache a run's prompt prefix; evict the least recently used."""
        self._prefix_cache[run.subject] = run.shared_tokens
        self._prefix_cache.move_to_end(run.subject)
        used = sum(one.tokens for one in self.running)
        while sum(self._prefix_cache.values()) + used > self.spec.memory_tokens:
            self._prefix_cache.popitem(last=False)
