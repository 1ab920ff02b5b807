"""Support for judging counts by service-level objectives."""

import math
from dataclasses import dataclass, field
from typing import Final

from lacewingdock.components.metrics.const import (
    END_CUT,
    END_REFUSED,
    END_WHOLE,
    VERDICT_GOOD,
)
from lacewingdock.components.reports.const import (
    ALERTS,
    DEFAULT_LIMITS,
    NO_ALERT,
    NO_DATA,
    PERIOD,
    WINDOWS,
)
from lacewingdock.components.reports.samples import Counts, Sample, increase
from lacewingdock.exceptions import ERROR_RESPONSES, ErrorKind
from lacewingdock.world.objects import Objective

SERVER_ERROR: Final = 500
# Refusals that are the system's doing although their status says otherwise.
_OURS: Final = frozenset({ErrorKind.OVERLOADED, ErrorKind.ANSWER_GONE})
OUR_FAULTS: Final = frozenset(
    kind
    for kind, answer in ERROR_RESPONSES.items()
    if answer.status >= SERVER_ERROR or kind in _OURS
)


@dataclass(slots=True)
class Events:
    """Events that an objective counts; not more are good than there are."""

    good: float = 0.0
    total: float = 0.0


@dataclass(slots=True)
class WindowBurn:
    """How fast the error budget went in one window.

    Attributes:
        window: Name of the window.
        covered_s: Seconds of it that samples speak for.
        good: Good events.
        total: Events.
        burn: Part of bad events over the part allowed; 1 uses the budget up
            exactly by the period's end. None without events.
    """

    window: str
    covered_s: float
    good: float
    total: float
    burn: float | None


@dataclass(slots=True)
class Burn:
    """One objective of one workspace.

    Attributes:
        workspace: Name of the workspace.
        measure: What is counted.
        target: Part of events that must be good.
        limit_s: Latency limit, for latency measures.
        bound_s: Histogram bound that the limit is judged at.
        windows: The windows, the shortest first.
        budget_left: Part of the period's error budget that is left; below
            zero when it is overdrawn; None without events.
        alert: "page", "ticket", "ok" or "no data".
    """

    workspace: str
    measure: str
    target: float
    limit_s: float | None = None
    bound_s: float | None = None
    windows: list[WindowBurn] = field(default_factory=list)
    budget_left: float | None = None
    alert: str = NO_DATA

    def label(self) -> str:
        """Return the objective in words."""
        limit = "" if self.limit_s is None else f" within {self.limit_s:g} s"
        return f"{self.measure.replace('_', ' ')}{limit}"


def judge(
    workspace: str, objective: Objective, samples: list[Sample], now: float
) -> Burn:
    """Judge one objective over every window."""
    limit = objective.limit_s or DEFAULT_LIMITS.get(objective.measure)
    burn = Burn(workspace, objective.measure, objective.target, limit)
    for name, seconds in WINDOWS.items():
        span = increase(samples, now, seconds)
        events, burn.bound_s = count(
            span.counts, workspace, objective.measure, limit
        )
        burn.windows.append(
            WindowBurn(
                name,
                span.covered_s,
                events.good,
                events.total,
                burn_rate(events, objective.target),
            )
        )
    rates = {w.window: w.burn for w in burn.windows}
    if (spent := rates[PERIOD]) is not None:
        burn.budget_left = 1.0 - spent
        burn.alert = _alert(rates)
    return burn


def burn_rate(events: Events, target: float) -> float | None:
    """Return how many times faster than allowed bad events came."""
    if not events.total:
        return None
    return (1.0 - events.good / events.total) / (1.0 - target)


def _alert(rates: dict[str, float | None]) -> str:
    for name, long, short, bound in ALERTS:
        if min(rates[long] or 0.0, rates[short] or 0.0) > bound:
            return name
    return NO_ALERT


def count(
    counts: Counts, workspace: str, measure: str, limit_s: float | None
) -> tuple[Events, float | None]:
    """Count good and all events of a measure.

    Returns:
        The events, and the bound that a latency limit was judged at.
    """
    prefix = f"{measure}/{workspace}/"
    match measure:
        case "availability":
            return _availability(_under(counts, f"requests/{workspace}/")), None
        case "whole_answer":
            return _wholeness(_under(counts, f"requests/{workspace}/")), None
        case "quality":
            verdicts = _under(counts, prefix)
            good = verdicts.get(VERDICT_GOOD, 0.0)
            return Events(good, sum(verdicts.values())), None
        case _:
            return _within(_under(counts, prefix), limit_s or math.inf)


def _under(counts: Counts, prefix: str) -> Counts:
    return {
        key.removeprefix(prefix): value
        for key, value in counts.items()
        if key.startswith(prefix)
    }


def _availability(ends: Counts) -> Events:
    """Count requests that were answered whole among those that could be.

    What the caller did wrong, and callers that went away, are no events.
    """
    events = Events()
    for key, value in ends.items():
        end, _, code = key.partition("/")
        ours = end == END_REFUSED and code in OUR_FAULTS
        if end == END_WHOLE:
            events.good += value
        if end in (END_WHOLE, END_CUT) or ours:
            events.total += value
    return events


def _wholeness(ends: Counts) -> Events:
    """Count answers that were given whole among those begun."""
    events = Events()
    for key, value in ends.items():
        end, _, _ = key.partition("/")
        events.good += value if end == END_WHOLE else 0.0
        events.total += value if end in (END_WHOLE, END_CUT) else 0.0
    return events


def _within(buckets: Counts, limit_s: float) -> tuple[Events, float | None]:
    """Count observations known to be within a limit.

    Between two bounds nothing is known, so the bound at or below the limit
    counts: the report may show too little good, never too much.
    """
    bounds = sorted((float(key), value) for key, value in buckets.items())
    if not bounds:
        return Events(), None
    known = [(bound, value) for bound, value in bounds if bound <= limit_s]
    bound, good = known[-1] if known else (0.0, 0.0)
    return Events(good, bounds[-1][1]), bound
