"""Tests for the verdicts on evidence, with fakes."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewingdock.components.quarantine.const import (
    MAX_RECORDS,
    QUARANTINE_TTL_S,
    SUSPECT_TTL_S,
)
from lacewingdock.components.quarantine.evidence import (
    EvidenceTable,
    QuarantineVerdict,
)
from lacewingdock.links.messages import Evidence

NOW = 1_000_000.0
CHECKED = settings(derandomize=True, deadline=None)

EVIDENCE = st.builds(
    Evidence,
    crash=st.sampled_from(["a/1", "a/2", "b/1", "c/1"]),
    isolated=st.booleans(),
    excused=st.booleans(),
    fingerprints=st.lists(
        st.sampled_from(["f", "g", "h"]), min_size=1, unique=True
    ),
    unresolved=st.booleans(),
)


def crash(name, *, isolated=False, excused=False, fingerprints=("f",), age=0.0):
    return Evidence(
        name, isolated, excused, list(fingerprints), int(age * 1000)
    )


def table_of(evidence):
    table = EvidenceTable()
    for one in evidence:
        table.merge(one, NOW)
    return table


@pytest.mark.parametrize(
    ("evidence", "verdict"),
    [
        ([], QuarantineVerdict.CLEAR),
        ([crash("a/1")], QuarantineVerdict.SUSPECT),
        # In flight at two crashes, never alone: it may just be frequent.
        ([crash("a/1"), crash("b/1")], QuarantineVerdict.SUSPECT),
        (
            [crash("a/1"), crash("b/1", isolated=True)],
            QuarantineVerdict.QUARANTINED,
        ),
        ([crash("a/1", isolated=True)], QuarantineVerdict.SUSPECT),
        # A second crash of the same, broken upstream must not quarantine.
        (
            [crash("a/1"), crash("a/2", isolated=True)],
            QuarantineVerdict.SUSPECT,
        ),
        (
            [
                crash("a/1"),
                crash("a/2", isolated=True),
                crash("a/3", isolated=True),
            ],
            QuarantineVerdict.QUARANTINED,
        ),
        # A crash that is reported twice is one crash.
        (
            [crash("a/1"), crash("a/1", isolated=True)],
            QuarantineVerdict.SUSPECT,
        ),
        ([crash("a/1"), crash("a/1", excused=True)], QuarantineVerdict.CLEAR),
        (
            [
                crash("a/1"),
                crash("a/1", excused=True),
                crash("b/1", isolated=True),
            ],
            QuarantineVerdict.SUSPECT,
        ),
        ([crash("a/1", fingerprints=["g"])], QuarantineVerdict.CLEAR),
    ],
)
def test_verdict(evidence, verdict):
    for order in itertools.permutations(evidence):
        assert_that(table_of(order).get("f").verdict(), Equals(verdict))


@pytest.mark.parametrize(
    ("released", "verdict"),
    [
        ([], QuarantineVerdict.QUARANTINED),
        (["a/1"], QuarantineVerdict.SUSPECT),
        (["a/1", "b/1"], QuarantineVerdict.CLEAR),
        (["x/9"], QuarantineVerdict.QUARANTINED),
    ],
)
def test_a_release_excuses_only_the_crashes_that_it_names(released, verdict):
    table = table_of([crash("a/1"), crash("b/1", isolated=True)])
    assert table.get("f").verdict(released) is verdict


@CHECKED
@given(st.lists(EVIDENCE, max_size=8), st.randoms())
def test_order_and_repeats_do_not_matter(evidence, rng):
    shuffled = [*evidence, *evidence]
    rng.shuffle(shuffled)
    first, second = table_of(evidence), table_of(shuffled)
    for fingerprint in "fgh":
        verdicts = {t.get(fingerprint).verdict() for t in (first, second)}
        assert len(verdicts) == 1
        assert (
            first.get(fingerprint).unresolved_instances()
            == second.get(fingerprint).unresolved_instances()
        )


@CHECKED
@given(st.lists(EVIDENCE, max_size=8))
def test_what_a_table_dumps_builds_the_same_table(evidence):
    first = table_of(evidence)
    second = table_of(first.dump(NOW))
    for fingerprint in "fgh":
        assert (
            first.get(fingerprint).verdict()
            is second.get(fingerprint).verdict()
        )


@CHECKED
@given(st.lists(EVIDENCE, max_size=12))
def test_no_conviction_without_a_crash_alone(evidence):
    table = table_of(evidence)
    for fingerprint in "fgh":
        alone = {
            e.crash
            for e in evidence
            if e.isolated and fingerprint in e.fingerprints
        }
        if table.get(fingerprint).verdict() is QuarantineVerdict.QUARANTINED:
            assert alone


@CHECKED
@given(st.lists(EVIDENCE, max_size=8))
def test_only_news_is_passed_on(evidence):
    """Evidence forwarded without being new would loop between daemons."""
    table = table_of(evidence)
    assert not any(table.merge(one, NOW) for one in evidence)


@pytest.mark.parametrize(
    ("evidence", "after_s", "left"),
    [
        ([crash("a/1")], SUSPECT_TTL_S - 1, 1),
        ([crash("a/1")], SUSPECT_TTL_S + 1, 0),
        ([crash("a/1", age=SUSPECT_TTL_S)], 1, 0),
        ([crash("a/1"), crash("b/1", isolated=True)], SUSPECT_TTL_S + 1, 1),
        ([crash("a/1"), crash("b/1", isolated=True)], QUARANTINE_TTL_S + 1, 0),
        ([crash("a/1", age=QUARANTINE_TTL_S + 1)], 0, 0),
    ],
)
def test_expiry(evidence, after_s, left):
    table = table_of(evidence)
    table.sweep(NOW + after_s)
    assert len(table.records) == left


def test_memory_is_bounded_and_convictions_stay():
    """A caller crashes upstreams with ever new bodies.

    Symptom: memory grows, or quarantined requests run again.
    Cause: each body has a fingerprint and a record of its own.
    """
    table = table_of([crash("a/1"), crash("b/1", isolated=True)])
    names = [f"s{i}" for i in range(MAX_RECORDS + 10)]
    table.merge(crash("c/1", fingerprints=names), NOW)
    assert len(table.records) == MAX_RECORDS
    assert table.get("f").verdict() is QuarantineVerdict.QUARANTINED
    for index in range(20):
        table.merge(crash(f"d/{index}"), NOW)
    assert len(table.get("f").crashes) <= 8
