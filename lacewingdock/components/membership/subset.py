"""Support for choosing which sidecars an entry keeps links to.

Every entry computes the choice of all entries and keeps its own. That makes
the choice even without a word between the entries: whoever has the same list
knows how many links each sidecar gets.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

from lacewingdock.world.objects import Instance

# Of two sidecars drawn, the second is taken if it has this many links fewer.
# Without the margin loads are more even, but a sidecar that goes turns more
# of the later comparisons round, and three times as many links move.
MARGIN: Final = 2
# Domains' parts of a pool are rounded to this many binary digits, so that one
# sidecar less does not shift the links of all domains.
SHARE_BITS: Final = 4
# Places that sidecars are drawn from; the next size is taken when half are in
# use. Every link moves then, hence the large steps.
TABLE_BITS: Final = (6, 10, 14, 18)
MAX_DRAWS: Final = 4096

_WORD: Final = 64
_MASK: Final = (1 << _WORD) - 1
# Knuth's MMIX generator; an odd constant keeps an entry's draws apart.
_MULTIPLIER: Final = 6364136223846793005
_INCREMENT: Final = 1442695040888963407
_TURN: Final = 0x632BE59BD9B4E019


def choose_subset(
    me: str, entries: Iterable[str], instances: list[Instance], size: int
) -> list[Instance]:
    """Choose the sidecars that an entry links to, the same ones every time.

    Args:
        me: Name of the choosing entry.
        entries: Names of all entries, with or without `me`.
        instances: All sidecars.
        size: Links for each pool.

    Returns:
        Of each pool all sidecars, or `size` of them that span the failure
        domains in proportion to what the pool has there.
    """
    names = sorted({*entries, me})
    chosen: list[Instance] = []
    for pool, domains in sorted(group(instances).items()):
        if sum(map(len, domains.values())) <= size:
            chosen += [i for found in domains.values() for i in found]
            continue
        for label, found, picks in split(names, pool, domains, size):
            chosen += [found[at] for at in deal(label, found, picks)[me]]
    return chosen


def group(instances: list[Instance]) -> dict[str, dict[str, list[Instance]]]:
    """Return the instances by pool and failure domain, sorted by name."""
    pools: dict[str, dict[str, list[Instance]]] = {}
    for instance in sorted(instances, key=lambda i: i.name):
        domains = pools.setdefault(instance.pool, {})
        domains.setdefault(instance.failure_domain, []).append(instance)
    return pools


def split(
    names: list[str],
    pool: str,
    domains: dict[str, list[Instance]],
    size: int,
) -> list[tuple[str, list[Instance], dict[str, int]]]:
    """Split each entry's links of a pool over the failure domains.

    The links stand at even distances on [0, 1) from an offset of the entry's
    own. So a part of 3.4 links is 3 for some entries and 4 for others.

    Returns:
        For each domain a label, its instances, and links by entry.
    """
    weights = {d: round_weight(len(found)) for d, found in domains.items()}
    total = sum(weights.values())
    offsets = {name: _hash(f"{name}\0{pool}") / 2**_WORD for name in names}
    parts, start = [], 0
    for domain, found in sorted(domains.items()):
        end = start + weights[domain]
        low, high = size * start / total, size * end / total
        picks = {
            name: min(len(found), _below(high - offset) - _below(low - offset))
            for name, offset in offsets.items()
        }
        parts.append((f"{pool}/{domain}", found, picks))
        start = end
    return parts


def round_weight(count: int) -> int:
    """Round a count to its leading binary digits."""
    unit = 1 << max(0, count.bit_length() - SHARE_BITS)
    return (count + unit // 2) // unit * unit


def _below(bound: float) -> int:
    """Count the integers from 0 that lie below a bound."""
    return max(0, -int(-bound // 1))


def deal(
    label: str, found: list[Instance], picks: dict[str, int]
) -> dict[str, list[int]]:
    """Deal the links of all entries to the sidecars of one domain.

    In rounds each entry draws two sidecars that it does not have and takes
    the first, or the second where that has `MARGIN` links fewer.

    Args:
        label: Keeps the draws for different pools and domains apart.
        found: The sidecars.
        picks: Links by entry.

    Returns:
        By entry, the places of its sidecars in `found`.
    """
    table, shift = _place(found)
    salt = _hash(label)
    seeds = {name: _hash(name) ^ salt for name in picks}
    loads = [0] * len(found)
    dealt: dict[str, list[int]] = {name: [] for name in picks}
    for turn in range(max(picks.values(), default=0)):
        for name, wanted in picks.items():
            if turn >= wanted:
                continue
            mine = dealt[name]
            state = (seeds[name] + turn * _TURN) & _MASK
            first = -1
            for _ in range(MAX_DRAWS):
                state = (state * _MULTIPLIER + _INCREMENT) & _MASK
                at = table[state >> shift]
                if at < 0 or at in mine:
                    continue
                if first < 0 and len(mine) + 1 < len(loads):
                    first = at
                    continue
                if first >= 0 and loads[at] >= loads[first] - MARGIN:
                    at = first
                break
            else:
                at = next(i for i in range(len(loads)) if i not in mine)
            loads[at] += 1
            mine.append(at)
    return dealt


def _place(found: list[Instance]) -> tuple[list[int], int]:
    """Give each sidecar a place that depends on its name, not on its rank.

    Returns:
        The table, -1 where it is free, and the shift from a draw to a place.
    """
    bits = next(b for b in TABLE_BITS if 2 * len(found) <= 1 << b)
    table = [-1] * (1 << bits)
    for at, instance in enumerate(found):
        place = _hash(instance.name) >> (_WORD - bits)
        while table[place] >= 0:
            place = (place + 1) % len(table)
        table[place] = at
    return table, _WORD - bits


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=_WORD // 8).digest()
    return int.from_bytes(digest, "big")
