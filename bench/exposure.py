"""Support for measuring what judging over a fleet adds to exposure.

The baseline is the judge of `bench.decisions`, which sees each request and
rating of all entries at once.
"""

import statistics
from concurrent.futures import ProcessPoolExecutor
from typing import Final

import fire

from bench import rollout_fleet, rollout_inputs
from bench.report import Figure, figure, progress, show
from bench.rollout_inputs import CANDIDATES, Candidate, Ended

FLEETS: Final = (2, 20)
WORKERS: Final = 4


def _figure(
    candidate: Candidate, count: int, ended: list[Ended], alone: list[Ended]
) -> Figure:
    if candidate.name == "healthy":
        return figure(
            f"healthy roll-outs stopped, {count} entries",
            [statistics.mean(e.is_stopped for e in ended)],
            "part",
            baseline={
                "in one process": statistics.mean(e.is_stopped for e in alone)
            },
            aim="at most 0.01",
            reached=lambda value: value <= 0.01,
        )
    limit = 20 if candidate.errors > 0.1 else 300
    return figure(
        f"answered before the stop, {candidate.name}, {count} entries",
        [float(e.answered) for e in ended],
        "requests",
        baseline={
            "in one process": statistics.median(e.answered for e in alone)
        },
        aim=f"median at most {limit}",
        reached=lambda value: value <= limit,
    )


def main(json: bool = False, seed: int = 3000, rollouts: int = 200) -> None:
    """Print the exposure beside that under the in-process judge.

    Args:
        json: Print one JSON object.
        seed: First seed.
        rollouts: Seeded roll-outs of each kind and size.
    """
    seeds = list(range(seed, seed + rollouts))
    figures = []
    with ProcessPoolExecutor(WORKERS) as pool:
        for candidate in CANDIDATES:
            same = [candidate] * rollouts
            alone = list(pool.map(rollout_inputs.roll_out, same, seeds))
            for count in FLEETS:
                progress(f"{candidate.name}, {count} entries")
                counts = [count] * rollouts
                ended = list(
                    pool.map(rollout_fleet.roll_out, same, seeds, counts)
                )
                figures.append(_figure(candidate, count, ended, alone))
    show("exposure", seed, figures, json)


if __name__ == "__main__":
    fire.Fire(main)
