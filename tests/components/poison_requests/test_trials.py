"""Tests of claiming the right to trials in the store."""

import random

import pytest

from lacewingdock.components.poison_requests.trials import (
    MAX_CLAIMS,
    TrialClaim,
    TrialClaims,
)
from tests.components.routers.store import Store


def claim(claims, hold, known_trials):
    """Claim a trial until the claim is decided, as the rounds do."""
    while (found := claims.claim(hold, known_trials)) is None:
        pass
    return found


@pytest.mark.parametrize("routers", [1, 3, 40])
def test_one_router_is_granted_each_trial(routers):
    """Guards against a crash for each router when a hold ends."""
    store = Store()
    fleet = [TrialClaims(store) for _ in range(routers)]
    random.Random(routers).shuffle(fleet)
    for number in range(3):
        found = [claim(one, "part-1", number) for one in fleet]
        assert sum(one.is_granted for one in found) == 1
        assert {one.trials for one in found} == {number + 1}


def test_holds_are_claimed_independently():
    store = Store()
    first, second = TrialClaims(store), TrialClaims(store)
    assert claim(first, "a", 0) == TrialClaim(True, 1)
    assert claim(second, "b", 0) == TrialClaim(True, 1)
    assert claim(second, "a", 0) == TrialClaim(False, 1)
    assert claim(first, "b", 0) == TrialClaim(False, 1)


def test_no_trial_without_the_store():
    """Guards against a trial at each router while the store is away."""
    store = Store()
    claims = TrialClaims(store)
    store.fails = True
    assert claims.claim("a", 0) is None
    store.fails = False
    assert claims.claim("a", 0) == TrialClaim(True, 1)


def test_stored_claims_are_bounded():
    claims = TrialClaims(Store())
    for number in range(MAX_CLAIMS + 5):
        assert claim(claims, f"hold-{number}", 0).is_granted
    assert len(claims.claims) == MAX_CLAIMS
    assert "hold-0" not in claims.claims
