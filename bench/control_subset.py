"""Support for measuring subsets at the target's size, without processes."""

import time
from collections import Counter
from dataclasses import dataclass
from typing import Final

import msgspec
import numpy

from bench.report import Figure, figure, progress
from lacewingdock.components.membership.subset import (
    choose_subset,
    deal,
    group,
    split,
)
from lacewingdock.world.objects import Instance

ENTRIES: Final = 1200
SIDECARS: Final = 6500
POOLS: Final = 7
DOMAINS: Final = 7
SIZE: Final = 24
RUNS: Final = 5

Links = dict[str, set[str]]


def target_fleet() -> tuple[list[str], list[Instance]]:
    """Return entries' names and sidecars at the target's size."""
    entries = [f"entry-{i}" for i in range(ENTRIES)]
    sidecars = [
        Instance(
            name=f"worker-{i}",
            role="sidecar",
            failure_domain=f"domain-{i // POOLS % DOMAINS}",
            address="127.0.0.1:1",
            pool=f"pool-{i % POOLS}",
        )
        for i in range(SIDECARS)
    ]
    return entries, sidecars


def all_links(entries: list[str], sidecars: list[Instance]) -> Links:
    """Return the links of every entry."""
    links: Links = {name: set() for name in entries}
    for pool, domains in group(sidecars).items():
        for label, found, picks in split(sorted(entries), pool, domains, SIZE):
            for name, places in deal(label, found, picks).items():
                links[name] |= {found[at].name for at in places}
    return links


def random_links(entries: list[str], sidecars: list[Instance]) -> Links:
    """Return the links of every entry by rank of a random number a pair."""
    links: Links = {name: set() for name in entries}
    for pool, domains in group(sidecars).items():
        names = [i.name for found in domains.values() for i in found]
        columns = numpy.array([int(name.split("-")[1]) for name in names])
        for row, entry in enumerate(entries):
            ranks = numpy.random.default_rng([row, len(pool)]).random(SIDECARS)
            best = numpy.argpartition(ranks[columns], SIZE)[:SIZE]
            links[entry] |= {names[at] for at in best}
    return links


def loads(links: Links, sidecars: list[Instance]) -> list[int]:
    """Return the number of links of each sidecar."""
    counts = Counter(name for names in links.values() for name in names)
    return [counts[i.name] for i in sidecars]


def moved(before: Links, after: Links) -> int:
    """Count the links that had to be opened."""
    return sum(len(after[e] - before[e]) for e in after if e in before)


@dataclass(slots=True)
class Ways:
    """One measure of the three ways of choosing links."""

    ours: float
    random: float
    mesh: float

    def baseline(self) -> dict[str, float]:
        """Return the ways compared with."""
        return {"random subsets": self.random, "full mesh": self.mesh}


def measure() -> list[Figure]:
    """Measure evenness, movement and cost of the choice."""
    entries, sidecars = target_fleet()
    progress("subsets: all links at 1,200 x 6,500")
    ours = all_links(entries, sidecars)
    chance = random_links(entries, sidecars)
    mine, theirs = loads(ours, sidecars), loads(chance, sidecars)
    mean = sum(mine) / len(mine)
    figures = [
        _ways("links of an entry", SIZE * POOLS, SIZE * POOLS, SIDECARS),
        _ways("links of a sidecar, mean", mean, mean, ENTRIES),
        _ways("links of a sidecar, most", max(mine), max(theirs), ENTRIES),
        _ways("links of a sidecar, fewest", min(mine), min(theirs), ENTRIES),
    ]
    figures += _movement(entries, sidecars, ours, chance)
    figures += _cost(entries, sidecars)
    return figures


def _ways(name: str, ours: float, chance: float, mesh: float) -> Figure:
    ways = Ways(ours, chance, mesh)
    return figure(name, [ours], "links", baseline=ways.baseline())


def _movement(
    entries: list[str],
    sidecars: list[Instance],
    ours: Links,
    chance: Links,
) -> list[Figure]:
    """Measure the links opened when instances go, for each that was lost."""
    ratios, random_ratios = [], []
    for run in range(RUNS):
        progress(f"subsets: a sidecar goes, run {run + 1}")
        at = 1000 * run + 17
        rest = sidecars[:at] + sidecars[at + 1 :]
        gone = sidecars[at].name
        lost = sum(gone in names for names in ours.values())
        ratios.append(moved(ours, all_links(entries, rest)) / lost)
        if run == 0:
            lost = sum(gone in names for names in chance.values())
            after = random_links(entries, rest)
            random_ratios.append(moved(chance, after) / lost)
    rest = [i for i in sidecars if i.failure_domain != "domain-0"]
    names = {i.name for i in rest}
    lost = sum(len(found - names) for found in ours.values())
    domain = moved(ours, all_links(entries, rest)) / lost
    without = [e for e in entries if e != "entry-600"]
    entry = moved(ours, all_links(without, sidecars)) / (SIZE * POOLS)
    return [
        figure(
            "links opened a link lost, one sidecar gone",
            ratios,
            "links",
            baseline={"random subsets": random_ratios[0], "full mesh": 0.0},
            aim="at most 4",
            reached=lambda value: value <= 4,
        ),
        figure("links opened a link lost, a domain gone", [domain], "links"),
        figure("links opened a link lost, one entry gone", [entry], "links"),
    ]


def _cost(entries: list[str], sidecars: list[Instance]) -> list[Figure]:
    """Measure the CPU of one entry for one choice and one list read."""
    listed = [
        Instance(
            name=name,
            role="entry",
            failure_domain=f"domain-{i % DOMAINS}",
            address="127.0.0.1:1",
        )
        for i, name in enumerate(entries)
    ]
    body = msgspec.json.encode([*listed, *sidecars])
    choices, decodes = [], []
    for run in range(3):
        progress(f"subsets: cost, run {run + 1}")
        start = time.thread_time()
        choose_subset("entry-5", entries, sidecars, SIZE)
        choices.append(time.thread_time() - start)
        start = time.thread_time()
        msgspec.json.decode(body, type=list[Instance])
        decodes.append(time.thread_time() - start)
    return [
        figure("CPU of one choice of links", choices, "s"),
        figure("CPU to decode the instance list", decodes, "s"),
        figure("instance list", [len(body) / 1024], "KB"),
    ]
