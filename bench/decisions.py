"""Support for measuring the decisions against their baselines.

Seeds below 50 are for tuning; the default seeds start at 1000 and were not
looked at while tuning.
"""

import statistics
from concurrent.futures import ProcessPoolExecutor
from typing import Final

import fire

from bench import cascade_run as cascades
from bench.report import Figure, figure, progress, show
from bench.rollout_figures import stop_figure
from bench.rollout_inputs import CANDIDATES, fixed_step, roll_out

TARGETS: Final = (0.85, 0.9)
BASELINES: Final = {
    "always dearest": cascades.always_dearest,
    "always cheapest": cascades.always_cheapest,
    "fixed threshold": cascades.fixed_threshold,
}
WORKERS: Final = 4


def cascade_figures(
    seeds: list[int], count: int, target: float
) -> list[Figure]:
    """Measure cost and quality of the cascade policy at a target."""
    with ProcessPoolExecutor(WORKERS) as pool:
        policies = list(
            pool.map(
                cascades.run_policy,
                seeds,
                [count] * len(seeds),
                [target] * len(seeds),
            )
        )
    oracles = [cascades.run_baseline(s, count, cascades.oracle) for s in seeds]
    others = {
        name: [cascades.run_baseline(s, count, rule) for s in seeds]
        for name, rule in BASELINES.items()
    }
    costs = [p.cost / o.cost for p, o in zip(policies, oracles, strict=True)]
    held = [p.windows_held(target) for p in policies]
    quality = [statistics.mean(p.good) for p in policies]

    def beside(measure: str) -> dict[str, float]:
        values = {}
        for name, tallies in others.items():
            rows = zip(tallies, oracles, strict=True)
            match measure:
                case "cost":
                    per_seed = [t.cost / o.cost for t, o in rows]
                case "held":
                    per_seed = [t.windows_held(target) for t in tallies]
                case _:
                    per_seed = [statistics.mean(t.good) for t in tallies]
            values[name] = statistics.median(per_seed)
        return values

    return [
        figure(
            f"cascade cost, target {target}",
            costs,
            "x oracle",
            baseline=beside("cost"),
            aim="at most 1.10 of the oracle",
            reached=lambda value: value <= 1.10,
        ),
        figure(
            f"cascade windows held, target {target}",
            held,
            "part",
            baseline=beside("held"),
            aim="at least 0.95",
            reached=lambda value: value >= 0.95,
        ),
        figure(
            f"cascade quality, target {target}",
            quality,
            "part",
            baseline=beside("quality"),
        ),
    ]


def rollout_figures(seeds: list[int]) -> list[Figure]:
    """Measure exposure to bad versions and healthy ones stopped."""
    figures = []
    for candidate in CANDIDATES:
        with ProcessPoolExecutor(WORKERS) as pool:
            ended = list(pool.map(roll_out, [candidate] * len(seeds), seeds))
        fixed = [fixed_step(candidate, seed) for seed in seeds]
        figures.append(stop_figure(candidate, ended, "fixed step", fixed))
    return figures


def main(
    json: bool = False,
    seed: int = 1000,
    seeds: int = 10,
    requests: int = 40000,
    rollouts: int = 300,
) -> None:
    """Print every figure of the decisions beside its baselines.

    Args:
        json: Print one JSON object.
        seed: First seed.
        seeds: Seeds of the cascades.
        requests: Requests of each cascade run.
        rollouts: Seeded roll-outs of each kind.
    """
    figures = []
    for target in TARGETS:
        progress(f"cascades at {target}")
        chosen = list(range(seed, seed + seeds))
        figures += cascade_figures(chosen, requests, target)
    progress("roll-outs")
    figures += rollout_figures(list(range(seed, seed + rollouts)))
    show("decisions", seed, figures, json)


if __name__ == "__main__":
    fire.Fire(main)
