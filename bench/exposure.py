"""Support for measuring what judging over a fleet adds to exposure.

The baseline is the judge of `bench.decisions`, which sees each request and
rating of all entries at once.
"""

from concurrent.futures import ProcessPoolExecutor
from typing import Final

import fire

from bench import rollout_fleet, rollout_inputs
from bench.report import progress, show
from bench.rollout_figures import stop_figure
from bench.rollout_inputs import CANDIDATES

FLEETS: Final = (2, 20)
WORKERS: Final = 4


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
                figures.append(
                    stop_figure(
                        candidate,
                        ended,
                        "in one process",
                        alone,
                        f", {count} entries",
                    )
                )
    show("exposure", seed, figures, json)


if __name__ == "__main__":
    fire.Fire(main)
