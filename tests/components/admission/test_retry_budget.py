"""Tests of the retry budget."""

import contextlib
import random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.admission.retry_budget import (
    RETRY_BURST,
    RETRY_SHARE,
    RetryBudget,
)
from lacewingdock.components.callers.relay import MAX_TRIES, Relay
from lacewingdock.components.quarantine import QuarantineVerdict
from lacewingdock.const import RAN_NO
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.messages import Attempt

REQUESTS = 500


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.booleans(), max_size=300),
    st.floats(0.01, 1.0),
    st.floats(1.0, 40.0),
)
def test_retries_stay_within_burst_and_share(steps, share, burst):
    budget = RetryBudget(share, burst)
    requests = retries = 0
    for is_request in steps:
        if is_request:
            budget.count_request()
            requests += 1
        else:
            retries += budget.take()
        assert retries <= burst + share * requests + 1e-6


class RejectingUpstreams:
    """Upstreams that reject every attempt, and count the attempts."""

    def __init__(self, kind):
        self.kind = kind
        self.sent = 0

    def ask(self, upstream, attempt):
        """Reject an attempt."""
        self.sent += 1
        raise LacewingdockError(self.kind, "refused", RAN_NO)


@pytest.mark.parametrize(
    ("kind", "most"),
    [
        (ErrorKind.OVERLOADED, REQUESTS * (1 + RETRY_SHARE) + RETRY_BURST),
        (ErrorKind.UPSTREAM_FAILED, REQUESTS * (1 + RETRY_SHARE) + RETRY_BURST),
        (ErrorKind.LEAVING, REQUESTS * MAX_TRIES),
    ],
)
def test_full_pool_is_not_flooded_with_retries(kind, most):
    # Guards against a retry storm: a pool stays overloaded long after the
    # callers' load has dropped, because each rejected request is retried at two
    # more upstreams, which are overloaded too. Happens if attempts are limited
    # per request only. An upstream that is leaving is no sign of overload, so
    # its rejections are always retried elsewhere.
    upstreams = iter(range(10**6))
    quarantine = SimpleNamespace(
        choose=lambda *_: SimpleNamespace(name=str(next(upstreams)), link=None),
        track_attempt=lambda *_: contextlib.nullcontext(),
        verdict=lambda _: QuarantineVerdict.CLEAR,
    )
    rejecting = RejectingUpstreams(kind)
    members = SimpleNamespace(placeable=lambda _: [], configuration=None)
    relay = Relay(rejecting, members, quarantine, random.Random(1))
    attempt = Attempt("a", "r", "retail", "drafter-1", "POST", "/", b"")
    for _ in range(REQUESTS):
        with pytest.raises(LacewingdockError) as caught:
            relay.start(attempt)
        assert (caught.value.kind, caught.value.ran) == (kind, RAN_NO)
        assert caught.value.retry_after_s is not None
    assert rejecting.sent > REQUESTS * (1 + RETRY_SHARE)
    assert rejecting.sent <= most
