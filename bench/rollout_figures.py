"""Support for the figures of seeded roll-outs beside a baseline."""

import statistics

from bench.report import Figure, figure
from bench.rollout_inputs import Candidate, Ended


def stop_figure(
    candidate: Candidate,
    ended: list[Ended],
    beside: str,
    baseline: list[Ended],
    where: str = "",
) -> Figure:
    """Return how a candidate's roll-outs ended.

    Args:
        candidate: What was rolled out.
        ended: The roll-outs measured.
        beside: Name of the baseline.
        baseline: The same roll-outs under it.
        where: What is added to the figure's name.

    Returns:
        The part of healthy roll-outs that were stopped, or the requests that a
        bad version answered before the stop.
    """
    if candidate.name == "healthy":
        return figure(
            f"healthy roll-outs stopped{where}",
            [statistics.mean(e.is_stopped for e in ended)],
            "part",
            baseline={beside: statistics.mean(e.is_stopped for e in baseline)},
            aim="at most 0.01",
            reached=lambda value: value <= 0.01,
        )
    limit = 20 if candidate.errors > 0.1 else 300
    return figure(
        f"answered before the stop, {candidate.name}{where}",
        [float(e.answered) for e in ended],
        "requests",
        baseline={beside: statistics.median(e.answered for e in baseline)},
        aim=f"median at most {limit}",
        reached=lambda value: value <= limit,
    )
