"""Says where a day's worth is lost: which requests, when, and why.

It reads the report of a play and the routers' log lines beside it. The report
tells what callers got; the lines tell what the routers did, and so the cause.
"""

import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

import fire
import msgspec

from bench.platform.plays import Outcome, read_report

# Seconds over which the table by time adds up.
SPAN_S = 4


class Cause(StrEnum):
    """Why a request was not answered in time."""

    SILENT = "waited for an instance that stayed silent"
    LARGER = "began late, the larger model asked after the smaller"
    BROKEN = "began late, after an instance broke it off"
    QUEUED = "began late at the one instance it was sent to"
    PAUSED = "a pause in the stream was too long"
    DEADLINE = "given up at its deadline"
    REFUSED = "refused"
    UPSTREAM = "failed by its upstream"
    OWN = "failed by the router"
    LEFT = "its caller left"
    CUT = "stream broken off"


@dataclass(slots=True)
class Request:
    """What the log lines say of a try of a caller.

    Attributes:
        at_s: Second at which it came, from the start of traffic.
        line: The line of its end.
        attempts: The lines of its attempts.
    """

    at_s: float = 0.0
    line: dict[str, Any] = field(default_factory=dict)
    attempts: list[dict[str, Any]] = field(default_factory=list)


def requests_of(text: str) -> list[Request]:
    """Return the requests whose end a log tells, in the order of arrival."""
    found: defaultdict[str, Request] = defaultdict(Request)
    at_s = 0.0
    for row in text.splitlines():
        head, brace, rest = row.partition("{")
        # Of lines that were written at once only the first bears the time.
        at_s = float(head.split()[0]) if head.strip() and brace else at_s
        if not brace or '"gateway"' not in rest:
            continue
        try:
            line = msgspec.json.decode(brace + rest)
        except msgspec.DecodeError:
            continue
        if line.get("message") == "attempt":
            found[line["request"]].attempts.append(line)
        elif line.get("message") == "request":
            one = found[line["request"]]
            one.line = line
            one.at_s = at_s - line["seconds"]
    return sorted(
        (one for one in found.values() if one.line), key=lambda one: one.at_s
    )


def cause_of(one: Request) -> Cause | None:
    """Return why a request was not answered in time; None if it was."""
    line = one.line
    outcome, goal_s = line["outcome"], line.get("goal_s")
    if outcome == "caller_left":
        return Cause.LEFT
    if outcome.startswith("broken off"):
        return Cause.CUT
    if outcome.startswith("status 5"):
        return Cause.UPSTREAM
    if outcome.startswith("deadline"):
        return Cause.DEADLINE
    if outcome.startswith(("upstream_failed", "internal")):
        return Cause.OWN
    if outcome != "streamed" and not outcome.startswith("status"):
        return Cause.REFUSED
    first_s = line.get("first_s") or line["seconds"]
    if goal_s is not None and first_s > goal_s:
        return _late(one)
    pauses = [a for a in one.attempts if a.get("detail") == "silent"]
    if pauses and line.get("pause_s", 0.0) > 1.0:
        return Cause.PAUSED
    return None


def _late(one: Request) -> Cause:
    if any(a.get("detail") == "silent" for a in one.attempts):
        return Cause.SILENT
    results = [a["result"] for a in one.attempts]
    if "Broken" in results or "NotRun" in results:
        return Cause.BROKEN
    if "Unsure" in results:
        return Cause.LARGER
    return Cause.QUEUED


def summary(outcome: Outcome, requests: list[Request]) -> str:
    """Return the account of a day as tables."""
    lines = [
        f"worth {outcome.worth:.3f}, credit earned {outcome.served:.3f}; "
        + ", ".join(
            f"{name} {value:.3f} (weight {weight})"
            for name, (weight, value) in outcome.parts.items()
        ),
        "prices: "
        + ", ".join(
            f"{name} {cost:.3f}"
            for name, cost in sorted(
                outcome.prices.items(), key=lambda one: -one[1]
            )
            if cost >= 0.001
        ),
        "",
        "| kind | requests | in time | late | refused | failed | earned |",
        "| --- " * 7 + "|",
    ]
    lines += [
        f"| {name} | {one['n']} | {one['in_aim']} | {one['late']} "
        f"| {one['refused']} | {one['failed']} | {one['worth']:.3f} |"
        for name, one in outcome.classes.items()
    ]
    return "\n".join([*lines, "", *_by_cause(requests), "", *_by_time(outcome)])


def _by_cause(requests: list[Request]) -> list[str]:
    causes: Counter[Cause] = Counter()
    waited: defaultdict[Cause, float] = defaultdict(float)
    when: defaultdict[Cause, Counter[int]] = defaultdict(Counter)
    for one in requests:
        if cause := cause_of(one):
            causes[cause] += 1
            waited[cause] += one.line["seconds"]
            when[cause][int(one.at_s // SPAN_S) * SPAN_S] += 1
    rows = [
        f"| {cause} | {count} | {waited[cause] / count:.1f} | "
        + ", ".join(
            f"{second}: {many}" for second, many in sorted(when[cause].items())
        )
        + " |"
        for cause, count in causes.most_common()
    ]
    head = "| cause | tries | mean s | by second of arrival |"
    return [head, "| --- " * 4 + "|", *rows]


def _by_time(outcome: Outcome) -> list[str]:
    rows = [
        f"| {second:.0f} | {one['n']} | {one['in_aim']} | {one['late']} "
        f"| {one['refused']} | {one['failed']} | {one['worth']:.2f} |"
        for second, one in outcome.windows.items()
        if one["worth"] < 0.85
    ]
    head = "| second | requests | in time | late | refused | failed | earned |"
    return [head, "| --- " * 7 + "|", *rows]


def main(report: str, log: str) -> None:
    """Print where a day's worth was lost.

    Args:
        report: The play's report.
        log: What the play printed, log lines among it.
    """
    print(
        summary(
            read_report(Path(report)), requests_of(Path(log).read_text("utf-8"))
        )
    )


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
