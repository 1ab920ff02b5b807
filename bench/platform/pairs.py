"""Compares two states of the code by plays of the same days, in pairs.

Both are played on the same days with the same seeds; what counts is the mean
difference and its standard error.
"""

import os
import statistics
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import fire

from bench.platform.plays import Outcome, Play, play, standard_days


@dataclass(slots=True)
class Row:
    """A day's plays of both states, by seed."""

    day: str
    before: list[Outcome]
    after: list[Outcome]

    def differences(self) -> list[float]:
        """Return how much more the second state was worth, by seed."""
        return [
            b.worth - a.worth
            for a, b in zip(self.before, self.after, strict=True)
        ]


def compare(
    before: str,
    after: str,
    site: str,
    why: str,
    days: str = "",
    seeds: int = 5,
    jobs: int = 4,
    no_cpu: bool = False,
) -> None:
    """Play days with both states and print the differences.

    Args:
        before: Checkout of the first state.
        after: Checkout of the second.
        site: The deployment's file.
        why: What the journal says of the plays.
        days: Names of days, or their files, split by commas; all standard
            days with trouble where empty.
        seeds: Seeds a day, from 1.
        jobs: Plays at once.
        no_cpu: Whether processor time is left out.
    """
    path = Path(site)
    names = days.split(",") if days else standard_days(path)
    plays = [
        Play(Path(checkout), path, day, seed, why, not no_cpu)
        for day in names
        for seed in range(1, seeds + 1)
        for checkout in (before, after)
    ]
    with TemporaryDirectory() as folder, ThreadPoolExecutor(jobs) as pool:
        reports = [Path(folder) / f"{n}.json" for n in range(len(plays))]
        outcomes = list(pool.map(play, plays, reports))
    rows = []
    for number, day in enumerate(names):
        mine = outcomes[2 * seeds * number : 2 * seeds * (number + 1)]
        rows.append(Row(day, mine[::2], mine[1::2]))
    print(table(rows))


def table(rows: list[Row]) -> str:
    """Return the differences as a table."""
    lines = [
        "| day | before | after | difference | se | served | worst windows"
        " | prices | broken |",
        "| --- " * 9 + "|",
    ]
    lines += [_line(row.day, [row]) for row in rows]
    lines.append(_line("all", rows))
    return "\n".join(lines)


def _line(name: str, rows: list[Row]) -> str:
    before = [one for row in rows for one in row.before]
    after = [one for row in rows for one in row.after]
    gains = [gain for row in rows for gain in row.differences()]
    spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
    cells = [
        name,
        f"{_mean([one.worth for one in before]):.3f}",
        f"{_mean([one.worth for one in after]):.3f}",
        f"{_mean(gains):+.3f}",
        f"{spread / len(gains) ** 0.5:.3f}",
        *(_change(before, after, of) for of in (_served, _windows, _prices)),
        f"{_broken(before)}; {_broken(after)}",
    ]
    return "| " + " | ".join(cells) + " |"


def _change(
    before: list[Outcome],
    after: list[Outcome],
    of: Callable[[Outcome], float],
) -> str:
    """Return the mean of a value after, and how much more than before."""
    now = _mean([of(one) for one in after])
    return f"{now:.3f} ({now - _mean([of(one) for one in before]):+.3f})"


def _broken(outcomes: list[Outcome]) -> int:
    return sum(bool(one.broken) for one in outcomes)


def _served(one: Outcome) -> float:
    return one.served


def _windows(one: Outcome) -> float:
    return one.parts.get("worst windows", (0.0, 0.0))[1]


def _prices(one: Outcome) -> float:
    return sum(one.prices.values())


def _mean(values: list[float]) -> float:
    return statistics.fmean(values) if values else 0.0


if __name__ == "__main__":
    os.environ.setdefault("PAGER", "cat")
    sys.exit(fire.Fire(compare))
