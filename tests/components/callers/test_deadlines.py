"""Tests for the deadline of a request over its tries, with fakes."""

import contextlib
import random
import time
from types import SimpleNamespace

import pytest

from lacewingdock.components.callers.relay import MAX_TRIES, Relay
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.messages import Attempt

DEADLINE_MS = 10_000


class Slow:
    """Answers of which each is refused after a while."""

    def __init__(self, monkeypatch, takes_s):
        self.sent = []
        self.takes_s = takes_s
        self.now = time.monotonic()
        clock = SimpleNamespace(monotonic=lambda: self.now)
        for name in ("callers.relay", "answers"):
            monkeypatch.setattr(f"lacewingdock.components.{name}.time", clock)

    def ask(self, _, attempt):
        """Refuse an attempt, as not run."""
        self.sent.append(attempt.deadline_ms)
        self.now += self.takes_s
        raise LacewingdockError(ErrorKind.NO_UPSTREAM, "", "no")


@pytest.mark.parametrize(
    ("takes_s", "sent"),
    [
        (0.0, [10_000] * MAX_TRIES),
        (4.0, [10_000, 6_000, 2_000]),
        # The entry was paused: its caller's time is over.
        (12.0, [10_000]),
    ],
)
def test_tries_share_one_deadline(monkeypatch, takes_s, sent):
    """Each try of a request gets the whole time again.

    Symptom: engines work for callers that have long left.
    Events: an upstream refuses late, or the entry is paused meanwhile.
    Cause: the time left was reckoned once, for the first try.
    """
    slow = Slow(monkeypatch, takes_s)
    quarantine = SimpleNamespace(
        choose=lambda *_: SimpleNamespace(name="w", link=None),
        track_attempt=lambda *_: contextlib.nullcontext(),
    )
    members = SimpleNamespace(placeable=lambda _: [], configuration=None)
    relay = Relay(slow, members, quarantine, random.Random(1))
    relay.retries = SimpleNamespace(
        count_request=lambda: None, take=lambda: True
    )
    attempt = Attempt(
        *("a", "r", "retail", "drafter-1", "POST", "/", b""),
        deadline_ms=DEADLINE_MS,
    )
    with pytest.raises(LacewingdockError):
        relay.start(attempt)
    assert slow.sent == pytest.approx(sent, abs=2)
