"""Runs simulations for the command line, in parallel, and prints results."""

import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Final

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.lab.deployment import Deployment, load_deployment
from lacewingdock.lab.policy import Policy, find_policies
from lacewingdock.lab.results import (
    Day,
    compare,
    day_table,
    difference_table,
)
from lacewingdock.lab.simulation import simulate_day
from lacewingdock.settings import SimulateSettings

# Number of policies that a comparison takes: the baseline, then the candidate.
COMPARED: Final = 2


def simulate(verb: str, file: str, settings: SimulateSettings) -> str:
    """Simulate a deployment and return the results as a table.

    Args:
        verb: "run" lists each simulated day; "compare" lists the differences
            between two policies, paired by seed.
        file: Path of the deployment's TOML file.
        settings: The policies and seeds to simulate, the number of processes
            and the file of stored results.

    Returns:
        A text table.

    Raises:
        LacewingdockError: BAD_COMMAND for an unknown verb, BAD_SETTING for an
            invalid deployment, policy or results file.
    """
    policies = find_policies(settings.policies)
    if verb not in ("run", "compare"):
        raise LacewingdockError(
            ErrorKind.BAD_COMMAND,
            f"simulate: verb must be run or compare, not {verb}",
        )
    if verb == "compare" and len(policies) != COMPARED:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING,
            f"--policies: compare needs two names, not {settings.policies!r}",
        )
    days = _collect_days(load_deployment(file), policies, settings)
    if verb == "run":
        return day_table(days)
    before, after = (
        [day for day in days if day.policy == policy.name]
        for policy in policies
    )
    return difference_table(compare(before, after))


def _collect_days(
    deployment: Deployment,
    policies: Iterable[Policy],
    settings: SimulateSettings,
) -> list[Day]:
    """Simulate the days that are not stored; return all by policy and seed."""
    seeds = range(settings.first_seed, settings.first_seed + settings.seeds)
    wanted = [(policy, seed) for policy in policies for seed in seeds]
    out = Path(settings.out) if settings.out else None
    played_days = _read(out, deployment)
    missing = [
        one for one in wanted if (one[0].name, one[1]) not in played_days
    ]
    with ProcessPoolExecutor(settings.jobs) as pool:
        runs = [pool.submit(simulate_day, deployment, *one) for one in missing]
        for future in as_completed(runs):
            day = future.result()
            played_days[day.policy, day.seed] = day
            _write(out, deployment, day)
            print(f"played {day.policy}, seed {day.seed}", file=sys.stderr)
    return [played_days[policy.name, seed] for policy, seed in wanted]


class _Saved(msgspec.Struct):
    """A line of the results file: a simulated day and its deployment."""

    deployment: str
    day: Day


def _deployment_key(deployment: Deployment) -> str:
    """Return a key that identifies a deployment: its whole definition."""
    return msgspec.json.encode(deployment).decode()


def _read(
    out: Path | None, deployment: Deployment
) -> dict[tuple[str, int], Day]:
    """Return the stored days of a deployment, by policy and seed.

    Raises:
        LacewingdockError: BAD_SETTING, when the file cannot be read as stored
            results.
    """
    if out is None or not out.exists():
        return {}
    try:
        saved = msgspec.json.Decoder(_Saved).decode_lines(out.read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, f"--out: {out}: {error}"
        ) from error
    key = _deployment_key(deployment)
    days = [one.day for one in saved if one.deployment == key]
    return {(day.policy, day.seed): day for day in days}


def _write(out: Path | None, deployment: Deployment, day: Day) -> None:
    if out is None:
        return
    with out.open("ab") as file:
        line = msgspec.json.encode(_Saved(_deployment_key(deployment), day))
        file.write(line + b"\n")
