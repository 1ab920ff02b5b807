"""Tests for joining policies to requests and late ratings."""

import random
from types import SimpleNamespace

import pytest

from lacewingdock.components.cascades.const import MAX_OPEN_SAMPLES
from lacewingdock.components.cascades.coordinator import (
    Cascades,
    Seen,
    class_of,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.ratings import RatingPage, SampleRating
from lacewingdock.world.objects import Step, Version, Workspace
from lacewingdock.world.world import World

STEPS = [Step(version="cheap", accept=0.8), Step(version="dear")]
WORLD = World(
    versions={
        "cheap": Version(model="m", output_price=0.3),
        "dear": Version(model="m", output_price=3.0),
    }
)


class FakeRatings:
    """A rating service that rates all it was handed, when it is up."""

    def __init__(self):
        """Start up and empty."""
        self.up = True
        self.handed = []

    def submit(self, client, samples):
        """Take samples."""
        self._check()
        self.handed += samples

    def results(self, client, after):
        """Rate every sample good."""
        self._check()
        rest = self.handed[after:]
        return RatingPage(
            len(self.handed), [SampleRating(s.id, 1.0) for s in rest]
        )

    def _check(self):
        if not self.up:
            raise LacewingdockError(ErrorKind.UPSTREAM_FAILED, "down")


def build(ratings):
    daemon = SimpleNamespace(
        random=random.Random(1), me=SimpleNamespace(incarnation="i")
    )
    return Cascades(daemon, ratings)


def route_of(cascades, target):
    workspace = Workspace(keys=[], quality_target=target)
    return cascades.route(WORLD, "w", workspace, "c", STEPS, "k")


@pytest.mark.parametrize(
    ("ratings", "target", "steps", "held"),
    [
        (None, 0.9, [0], [False]),
        (FakeRatings(), 0.0, [0, 1], [True, False]),
    ],
)
def test_without_target_or_service_the_thresholds_decide(
    ratings, target, steps, held
):
    choice = route_of(build(ratings), target).choice
    assert [s.index for s in choice] == steps
    assert [s.accept is not None for s in choice] == held
    if len(choice) > 1:
        assert choice[0].accepts(0.9)
        assert not choice[0].accepts(0.6)


def test_late_ratings_teach_through_an_outage_of_the_service():
    """The service is down for a while.

    Symptom: a cascade stops learning after an outage of the rating service.
    Sequence: an answer is sampled, handing it in fails, the service returns.
    Cause: the sample was forgotten at the failed try.
    """
    ratings = FakeRatings()
    cascades = build(ratings)
    route = route_of(cascades, 0.9)
    seen = Seen(0, 0.9, True, 0.3, [], "text")
    cascades.saw(route, seen, sampled=True)
    ratings.up = False
    cascades.exchange()
    ratings.up = True
    cascades.exchange()
    stats = route.policy.classes["k"].steps[0]
    assert sum(stats.rated) == 1.0
    assert not cascades.open


def test_ratings_that_never_come_do_not_fill_the_memory():
    cascades = build(FakeRatings())
    route = route_of(cascades, 0.9)
    for _ in range(MAX_OPEN_SAMPLES + 10):
        cascades.saw(route, Seen(0, 0.9, True, 0.3, [], ""), sampled=True)
    assert len(cascades.open) == MAX_OPEN_SAMPLES
    assert len(cascades.waiting) == MAX_OPEN_SAMPLES


@pytest.mark.parametrize(
    ("named", "size", "expected"),
    [
        ("slot-offer", 10, "named-slot-offer"),
        ("x" * 99, 10, "named-" + "x" * 32),
        ("", 10, "size-2"),
        ("", 12, "size-2"),
        ("", 4000, "size-6"),
    ],
)
def test_class_of_a_request(named, size, expected):
    assert class_of(named, [{"content": "a" * size}]) == expected
