"""Support for printing what benchmarks measured."""

import os
import platform
import statistics
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec


@dataclass(slots=True)
class Figure:
    """One measured figure.

    Attributes:
        name: What was measured.
        value: The figure: the median of the runs.
        unit: Its unit.
        baseline: The same measure of the ways compared with, by name.
        aim: The aim in words; None where there is none.
        met: Whether the aim was met, computed from the value.
        runs: Number of runs.
        spread: Lowest and highest of the runs.
    """

    name: str
    value: float
    unit: str
    baseline: dict[str, float] = field(default_factory=dict)
    aim: str | None = None
    met: bool | None = None
    runs: int = 1
    spread: tuple[float, float] = (0.0, 0.0)


def figure(
    name: str,
    runs: list[float],
    unit: str,
    *,
    baseline: dict[str, float] | None = None,
    aim: str | None = None,
    reached: Callable[[float], bool] | None = None,
) -> Figure:
    """Build a figure from its runs.

    Args:
        name: What was measured.
        runs: The value of each run.
        unit: Its unit.
        baseline: The same measure of the ways compared with.
        aim: The aim in words.
        reached: Tells of a value whether it meets the aim.
    """
    value = statistics.median(runs)
    return Figure(
        name,
        value,
        unit,
        baseline or {},
        aim,
        reached(value) if reached else None,
        len(runs),
        (min(runs), max(runs)),
    )


def revision() -> str:
    """Return the git revision of the code that runs."""
    done = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip() or "unknown"


def machine() -> dict[str, Any]:
    """Return what the figures were measured on."""
    return {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "system": platform.system(),
    }


def show(bench: str, seed: int, figures: list[Figure], as_json: bool) -> None:
    """Print figures as one JSON object or as a table."""
    if as_json:
        whole = {
            "bench": bench,
            "seed": seed,
            "revision": revision(),
            "machine": machine(),
            "figures": figures,
        }
        print(msgspec.json.encode(whole).decode())
        return
    for item in figures:
        beside = ", ".join(f"{n} {v:.4g}" for n, v in item.baseline.items())
        verdict = "" if item.met is None else f"met={str(item.met).lower()}"
        low, high = item.spread
        print(
            f"{item.name:44}{item.value:>10.4g} {item.unit:10}"
            f"[{low:.4g}, {high:.4g}] n={item.runs}"
            f"  {beside}  {item.aim or ''} {verdict}".rstrip()
        )


def progress(text: str) -> None:
    """Say on standard error how far a long run is."""
    print(text, file=sys.stderr, flush=True)
