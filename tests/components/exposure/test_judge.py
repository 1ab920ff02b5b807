"""Tests of judging a new version during its roll-out."""

import itertools
import math

import pytest

from lacewingdock.components.exposure import Judge, Verdict
from lacewingdock.components.exposure.evidence import (
    ErrorEvidence,
    RatingEvidence,
)


def known_control() -> Judge:
    judge = Judge()
    for index in range(200):
        judge.add_request(False, False)
        judge.add_rating(False, 0.8 + 0.1 * (index % 2))
    return judge


@pytest.mark.parametrize(
    ("rating", "errors", "expected", "reason"),
    [
        (0.85, [], Verdict.GOOD, ""),
        (0.95, [], Verdict.GOOD, ""),
        (0.60, [], Verdict.BAD, "ratings"),
        (0.85, range(0, 500, 3), Verdict.BAD, "errors"),
        (0.85, [7], Verdict.GOOD, ""),
    ],
)
def test_verdict(rating, errors, expected, reason):
    judge = known_control()
    for index in range(500):
        judge.add_request(True, index in errors)
        if index % 10 == 0:
            judge.add_rating(True, rating)
    assert (judge.verdict(), judge.reason) == (expected, reason)


def test_version_that_always_fails_is_bad_after_a_few_requests():
    judge = known_control()
    for _ in range(5):
        judge.add_request(True, True)
    assert judge.verdict() is Verdict.BAD


def test_no_verdict_before_the_old_version_is_known():
    judge = Judge()
    for _ in range(100):
        judge.add_rating(True, 0.0)
    assert judge.verdict() is Verdict.OPEN


def test_bets_on_errors_are_fair_when_the_version_is_healthy():
    """The expected wealth is exactly one, however often it is evaluated."""
    level, count, mean = 0.25, 8, 0.0
    for outcomes in itertools.product([False, True], repeat=count):
        evidence = ErrorEvidence()
        chance = 1.0
        for is_error in outcomes:
            evidence.add(is_error, level)
            chance *= level if is_error else 1.0 - level
        mean += chance * evidence.wealth
    # Bets on shares at or below the level keep their wealth.
    assert math.isclose(mean, 1.0)


@pytest.mark.parametrize("level", [0.3, 0.6, 0.83])
def test_bets_on_ratings_are_fair_and_never_bankrupt(level):
    mean = 0.0
    for ratings in itertools.product([0.0, 1.0], repeat=6):
        evidence = RatingEvidence()
        chance = 1.0
        for rating in ratings:
            evidence.add(rating, level)
            chance *= level if rating else 1.0 - level
        assert min(evidence.wealths) > 0.0
        mean += chance * evidence.wealth
    assert math.isclose(mean, 1.0)
