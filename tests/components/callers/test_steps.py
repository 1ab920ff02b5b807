"""Tests for taking a request through the steps of its plan."""

import random
from types import SimpleNamespace

import msgspec
import pytest

from lacewingdock.components.callers.requests import ChatBody
from lacewingdock.components.callers.steps import Asked, Steps
from lacewingdock.components.cascades import Cascades
from lacewingdock.components.routing import VersionPlan
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.links.messages import Finish
from lacewingdock.world.objects import Step, Version, Workspace
from lacewingdock.world.world import World

FAILED = LacewingdockError(ErrorKind.UPSTREAM_FAILED, "crashed")
WITHDRAWN = LacewingdockError(ErrorKind.VERSION_WITHDRAWN, "gone")
LEFT = LacewingdockError(ErrorKind.CALLER_LEFT, "gone")
DOWN = LacewingdockError(ErrorKind.UPSTREAM_FAILED, "no verdict")
WORLD = World(
    versions={
        name: Version(model="m", output_price=price)
        for name, price in {"cheap": 0.3, "dear": 3.0}.items()
    }
)


class FakeRelay:
    """Answers each version as told, and notes what was asked."""

    def __init__(self, cheap):
        """Take what the cheap version answers: an error, or None."""
        self.cheap = cheap
        self.asked = []
        self.answers = SimpleNamespace(drop=lambda answer: None)

    def start(self, attempt):
        """Answer with the version's name."""
        self.asked.append(attempt.target)
        if attempt.target == "cheap" and self.cheap is not None:
            raise self.cheap
        delta = {"delta": {"content": attempt.target}}
        piece = msgspec.json.encode({"choices": [delta]})
        return SimpleNamespace(finish=Finish("", 1)), [piece]

    def whole(self, attempt):
        """Answer likewise: the answers have one piece."""
        return self.start(attempt)


def run(relay, verdict, target=0.0, outdated=False):
    def rate(messages, text):
        if isinstance(verdict, LacewingdockError):
            raise verdict
        return verdict

    ratings = None if verdict is None else SimpleNamespace(rate=rate)
    daemon = SimpleNamespace(random=random.Random(1))
    steps = Steps(relay, Cascades(daemon, ratings))
    caller = SimpleNamespace(
        request_id="r",
        request_class="k",
        key="",
        priority=1,
        traceparent="",
        left_ms=lambda: 1000,
    )
    plan = VersionPlan(
        "c", [Step(version="cheap", accept=0.8), Step(version="dear")]
    )
    workspace = Workspace(keys=[], quality_target=target)
    chat = ChatBody("c", [], True, {})
    asked = Asked(chat, caller, "w", workspace, WORLD, 1, plan)
    return steps.run(asked, lambda error: outdated)


@pytest.mark.parametrize(
    ("cheap", "verdict", "asked", "given"),
    [
        (None, 0.9, ["cheap"], "cheap"),
        (None, 0.3, ["cheap", "dear"], "dear"),
        (None, DOWN, ["cheap", "dear"], "dear"),
        (None, None, ["cheap"], "cheap"),
        (FAILED, 0.9, ["cheap", "dear"], "dear"),
        (FAILED, None, ["cheap", "dear"], "dear"),
        (WITHDRAWN, 0.9, ["cheap", "dear"], "dear"),
    ],
)
def test_goes_on_only_where_the_cheap_answer_will_not_do(
    cheap, verdict, asked, given
):
    relay = FakeRelay(cheap)
    begun = run(relay, verdict)
    assert relay.asked == asked
    assert begun.step.version == given


@pytest.mark.parametrize(
    ("cheap", "outdated"), [(LEFT, False), (WITHDRAWN, True)]
)
def test_no_dearer_step_for_nobody_or_for_an_old_plan(cheap, outdated):
    relay = FakeRelay(cheap)
    with pytest.raises(LacewingdockError) as raised:
        run(relay, 0.9, outdated=outdated)
    assert raised.value is cheap
    assert relay.asked == ["cheap"]
