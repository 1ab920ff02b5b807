"""Plays what is played ahead of each landing: scores, hunts and sweeps.

The list of deployments stands here alone. A new one joins it once its gate is
passed, and takes the place of the oldest.
"""

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import fire

from bench.platform.plays import BENCH_VARIABLE

# Days that a hunt plays at least; fewer where a day takes minutes.
HUNTED: Final = 40
HUNTED_LARGE: Final = 8


@dataclass(slots=True, frozen=True)
class Deployment:
    """A deployment that every landing plays.

    Attributes:
        file: Its file, below the folder of deployments.
        days: Days that a hunt plays.
    """

    file: str
    days: int = HUNTED


DEPLOYMENTS: Final = (
    Deployment("shifted/carpato-slots-now-grown.toml"),
    Deployment("large/carpato-slots-large.toml", HUNTED_LARGE),
    Deployment("further/tasnifu-dar.toml"),
    Deployment("further-grown/tasnifu-dar-grown.toml", HUNTED_LARGE),
    Deployment("grown/carpato-slots-grown.toml", HUNTED_LARGE),
    Deployment("grown/teltlys-fleet-grown.toml", HUNTED_LARGE),
)


# A deployment of each kind, played at 30, 100 and 300 routers.
SWEPT: Final = (
    "shifted/carpato-slots-now-grown.toml",
    "further/tasnifu-dar.toml",
    "sites/teltlys-fleet.toml",
    "large/carpato-slots-large.toml",
)


def commands(sites: Path, why: str, jobs: int) -> list[list[str]]:
    """Return the bench's commands: scores, hunts, sweeps.

    Args:
        sites: Folder of the deployments.
        why: What the journal says of them.
        jobs: Processors to use.
    """
    program = os.environ[BENCH_VARIABLE]
    also = ["--jobs", str(jobs), "--why", why]
    scores = [
        [program, "score", str(sites / one.file), *also] for one in DEPLOYMENTS
    ]
    hunts = [
        [program, "hunt", str(sites / one.file), "--days", str(one.days), *also]
        for one in DEPLOYMENTS
    ]
    sweeps = [[program, "sweep", str(sites / one), *also] for one in SWEPT]
    return scores + hunts + sweeps


def run(sites: str, why: str, jobs: int = 4) -> None:
    """Play everything, one command after the other; some three hours.

    Args:
        sites: Folder of the deployments.
        why: What the journal says of them.
        jobs: Processors to use, half of them at most.
    """
    failed = []
    for command in commands(Path(sites), why, jobs):
        print("$", *command, flush=True)
        if subprocess.run(command, check=False).returncode:
            failed.append(" ".join(command[1:3]))
    if failed:
        sys.exit(f"failed: {', '.join(failed)}")


if __name__ == "__main__":
    fire.Fire(run)
