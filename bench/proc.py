"""Support for what the kernel says a process uses."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Final

TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
_UTIME, _STIME = 11, 12


@dataclass(slots=True)
class Usage:
    """What a process used.

    Attributes:
        cpu_s: Seconds of CPU so far.
        rss_mb: Resident memory now, in MB of 2**20 bytes.
        private_mb: The part of it that no other process shares.
        threads: Threads now.
    """

    cpu_s: float
    rss_mb: float
    private_mb: float
    threads: int


def usage(pid: int) -> Usage:
    """Read what a process uses."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(stat[_UTIME]) + int(stat[_STIME])
    rollup = _kilobytes(Path(f"/proc/{pid}/smaps_rollup"))
    private = rollup["Private_Clean"] + rollup["Private_Dirty"]
    status = _kilobytes(Path(f"/proc/{pid}/status"))
    return Usage(
        ticks / TICKS_PER_S,
        rollup["Rss"] / 1024,
        private / 1024,
        status["Threads"],
    )


def _kilobytes(path: Path) -> dict[str, int]:
    """Read the lines "NAME: NUMBER ..." of a file."""
    found = {}
    for line in path.read_text().splitlines():
        name, _, rest = line.partition(":")
        words = rest.split()
        if words and words[0].isdigit():
            found[name] = int(words[0])
    return found
