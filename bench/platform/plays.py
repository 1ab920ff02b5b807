"""Support for playing days on the platform's bench and reading what it says."""

import os
import subprocess
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

# The bench's program, which lies outside the repository.
BENCH_VARIABLE = "FLEETBENCH_PROGRAM"


@dataclass(slots=True, frozen=True)
class Play:
    """One play of a day.

    Attributes:
        checkout: The committed code that is played.
        site: The deployment's file.
        day: Name of the day, or its file.
        seed: Draws of the day; None for the day's own.
        why: What the journal says of it.
        counts_time: Whether processor time is charged.
    """

    checkout: Path
    site: Path
    day: str
    seed: int | None
    why: str
    counts_time: bool = True


@dataclass(slots=True)
class Outcome:
    """What a play showed.

    Attributes:
        worth: The bench's measure of the day.
        served: Share of the credit earned over the whole day.
        parts: Weight and value of each part of the measure.
        prices: What was taken off, by what it was paid for.
        classes: Requests by kind: all, in time, late, refused, failed.
        windows: The same by the second at which a span of two begins.
        broken: Promises that were broken, with the count.
    """

    worth: float
    served: float
    parts: dict[str, tuple[float, float]] = field(default_factory=dict)
    prices: dict[str, float] = field(default_factory=dict)
    classes: dict[str, dict[str, Any]] = field(default_factory=dict)
    windows: dict[float, dict[str, Any]] = field(default_factory=dict)
    broken: dict[str, Any] = field(default_factory=dict)


def play(one: Play, report: Path, log: Path | None = None) -> Outcome:
    """Play a day and read its report.

    Args:
        one: The play.
        report: Where the report goes.
        log: Where the routers' log lines go; None for none.

    Raises:
        RuntimeError: The bench gave no report.
    """
    command = [os.environ[BENCH_VARIABLE], "run", str(one.site), one.day]
    command += ["--report", str(report), "--why", one.why]
    if one.seed is not None:
        command += ["--seed", str(one.seed)]
    if not one.counts_time:
        command.append("--no-cpu")
    if log is not None:
        command += ["--log", "all"]
    ended = subprocess.run(
        command, cwd=one.checkout, capture_output=True, text=True, check=False
    )
    if log is not None:
        log.write_text(ended.stdout)
    if not report.exists():
        raise RuntimeError(f"{one.day}: {ended.stdout[-500:]}{ended.stderr}")
    return read_report(report)


def read_report(path: Path) -> Outcome:
    """Read the report of a play."""
    found = msgspec.json.decode(path.read_bytes())
    return Outcome(
        worth=found["G"],
        served=found["served"],
        parts={name: (weight, value) for name, weight, value in found["parts"]},
        prices={name: cost for name, _, cost in found["prices"] if cost},
        classes={one["name"]: one for one in found["classes"]},
        windows={float(one["name"]): one for one in found["windows"]},
        broken=found["breaks"],
    )


def standard_days(site: Path, light: bool = False) -> Sequence[str]:
    """Return the names of a deployment's days with trouble, in their order.

    Args:
        site: The deployment's file.
        light: Whether only the days that are played quickly are wanted.
    """
    days = tomllib.loads(site.read_text())["day"]
    return [
        day["name"]
        for day in days
        if day["slot"] != "quiet" and (day["light"] or not light)
    ]
