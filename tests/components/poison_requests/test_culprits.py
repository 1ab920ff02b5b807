"""Tests of finding the traits that explain crashes."""

import pytest

from lacewingdock.components.poison_requests.culprits import (
    AccusedTrait,
    find_culprits,
)
from lacewingdock.components.poison_requests.traits import PART_MARK

BAD, POPULAR, RARE = (f"{PART_MARK}{name}" for name in ("b", "p", "r"))


def accused(trait, crashes, **fields):
    """Return a trait with crashes, named by the letters of a text."""
    return AccusedTrait(trait, frozenset(crashes), **fields)


@pytest.mark.parametrize(
    ("traits", "held", "culprits"),
    [
        pytest.param([accused("f", "12")], [], [], id="too few of a request"),
        pytest.param([accused("f", "123")], [], [{"f"}], id="a request"),
        pytest.param([accused(BAD, "123")], [], [], id="too few of a part"),
        pytest.param([accused(BAD, "1234")], [], [{BAD}], id="a part"),
        pytest.param(
            [accused(BAD, "1234567", recurrent=False)],
            [],
            [],
            id="many instances that crash at one moment",
        ),
        pytest.param(
            [accused(BAD, "123456"), accused(RARE, "1234")],
            [],
            [{BAD}],
            id="a rare part beside the bad one",
        ),
        pytest.param(
            [accused(BAD, "123456"), accused("f", "123")],
            [],
            [{BAD}],
            id="a request beside the bad part",
        ),
        pytest.param(
            [accused(BAD, "1234"), accused("f", "1234")],
            [],
            [{"f"}],
            id="a part of one request alone",
        ),
        pytest.param(
            [accused(BAD, "12345"), accused(POPULAR, "12345")],
            [],
            [{BAD, POPULAR}],
            id="parts that nothing tells apart",
        ),
        pytest.param(
            [
                accused(BAD, "12345"),
                accused(POPULAR, "1234567", was_answered=True),
            ],
            [],
            [{BAD}],
            id="a part that was answered before",
        ),
        pytest.param(
            [accused(POPULAR, "1234", was_answered=True)],
            [],
            [{POPULAR}],
            id="a part that was answered before, and is the only one",
        ),
        pytest.param(
            [accused(BAD, "12345"), accused(RARE, "6789")],
            [],
            [{BAD}, {RARE}],
            id="two bad parts",
        ),
        pytest.param(
            [accused("f", "123"), accused(BAD, "1234", recurrent=False)],
            [],
            [],
            id="a request that a likelier part explains",
        ),
        pytest.param(
            [accused("f", "123"), accused(BAD, "1234", recurrent=False)],
            ["f"],
            [{"f"}],
            id="a request that is held already",
        ),
    ],
)
def test_crashes_are_explained_by_as_few_traits_as_possible(
    traits, held, culprits
):
    """Guards against refusing harmless requests for crashes beside others."""
    found = find_culprits(traits, held)
    assert [one.traits for one in found] == culprits
