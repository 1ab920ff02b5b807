"""Tests for the choice of the sidecars that an entry links to."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.membership.subset import choose_subset
from lacewingdock.world.objects import Instance


def fleet(count, domains, pool="engines"):
    return [
        Instance(
            name=f"{pool}-{i}",
            role="sidecar",
            failure_domain=f"hall-{i % domains}",
            address="127.0.0.1:1",
            pool=pool,
        )
        for i in range(count)
    ]


def choices(entries, sidecars, size):
    return {
        entry: {i.name for i in choose_subset(entry, entries, sidecars, size)}
        for entry in entries
    }


ENTRIES = [f"entry-{i}" for i in range(40)]


@pytest.mark.parametrize(("count", "domains"), [(60, 3), (100, 4), (64, 1)])
def test_links_are_even_and_span_the_domains(count, domains):
    sidecars = fleet(count, domains)
    chosen = choices(ENTRIES, sidecars, 12)
    assert {len(names) for names in chosen.values()} == {12}
    loads = Counter(name for names in chosen.values() for name in names)
    links = [loads[i.name] for i in sidecars]
    mean = len(ENTRIES) * 12 / count
    assert max(links) - mean <= 4
    assert mean - min(links) <= 5
    where = {i.name: i.failure_domain for i in sidecars}
    for names in chosen.values():
        spread = Counter(where[name] for name in names)
        assert len(spread) == domains
        assert max(spread.values()) - min(spread.values()) <= 2


def test_little_moves_when_a_sidecar_or_an_entry_goes():
    sidecars = fleet(100, 4)
    before = choices(ENTRIES, sidecars, 12)
    gone = sidecars[50].name
    after = choices(ENTRIES, sidecars[:50] + sidecars[51:], 12)
    lost = sum(gone in names for names in before.values())
    moved = sum(len(after[e] - before[e]) for e in ENTRIES)
    assert lost <= moved <= 8 * lost
    fewer = ENTRIES[:20] + ENTRIES[21:]
    kept = choices(fewer, sidecars, 12)
    assert sum(len(kept[e] - before[e]) for e in fewer) <= 4 * 12


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    count=st.integers(0, 30),
    domains=st.integers(1, 5),
    size=st.integers(1, 12),
    others=st.integers(0, 6),
    seed=st.randoms(use_true_random=False),
)
def test_any_order_of_the_list_gives_the_same_choice(
    count, domains, size, others, seed
):
    sidecars = fleet(count, domains) + fleet(count // 2, 1, "booking")
    entries = [f"entry-{i}" for i in range(others)]
    first = choose_subset("me", entries, sidecars, size)
    seed.shuffle(sidecars)
    seed.shuffle(entries)
    again = choose_subset("me", entries, sidecars, size)
    assert {i.name for i in first} == {i.name for i in again}
    pools = Counter(i.pool for i in first)
    for pool, total in (("engines", count), ("booking", count // 2)):
        assert pools[pool] == min(total, size)
