"""Tests for the choice of the versions that a request tries."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.routing import plan_request
from lacewingdock.components.sessions import Session
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.world.objects import (
    Cascade,
    Model,
    Step,
    Version,
    Workspace,
)
from lacewingdock.world.world import World

VERSIONS = ["a-1", "a-2", "b-1"]
NAMES = ["a", "b", "tour", *VERSIONS, "unknown"]


def world_of(withdrawn=(), shares=None):
    return World(
        versions={
            name: Version(
                model=name[0],
                state="withdrawn" if name in withdrawn else "offered",
            )
            for name in VERSIONS
        },
        models={
            "a": Model(shares=shares or {"a-1": 0.5, "a-2": 0.5}),
            "b": Model(shares={"b-1": 1.0}),
        },
        cascades={
            "tour": Cascade(steps=[Step(version=v) for v in ("a-1", "b-1")])
        },
    )


def workspace_of(versions=("a-1", "a-2"), models=("a", "b", "tour")):
    return Workspace(keys=[], models=list(models), versions=list(versions))


def plan(world, workspace, name, on=None):
    session = Session("w", name, on) if on else None
    return plan_request(world, workspace, name, session, random.Random(1))


@pytest.mark.parametrize(
    ("name", "fields", "steps"),
    [
        ("a", {"withdrawn": ["a-1"]}, ["a-2"]),
        ("a", {"shares": {"a-1": 0.0, "a-2": 1.0}}, ["a-2"]),
        ("tour", {}, ["a-1"]),
        ("a-2", {}, ["a-2"]),
        ("a", {"withdrawn": ["a-1", "a-2"]}, ErrorKind.VERSION_WITHDRAWN),
        ("a-1", {"withdrawn": ["a-1"]}, ErrorKind.VERSION_WITHDRAWN),
        ("tour", {"withdrawn": ["a-1"]}, ErrorKind.VERSION_WITHDRAWN),
        ("b", {}, ErrorKind.MODEL_NOT_ALLOWED),
        ("b-1", {}, ErrorKind.MODEL_NOT_ALLOWED),
        ("unknown", {}, ErrorKind.UNKNOWN_MODEL),
    ],
)
def test_plan(name, fields, steps):
    try:
        planned = [
            s.version
            for s in plan(world_of(**fields), workspace_of(), name).steps
        ]
    except LacewingdockError as error:
        assert error.ran == "no"
        planned = error.kind
    assert planned == steps


@pytest.mark.parametrize(
    ("on", "fields", "versions", "stays"),
    [
        ("a-1", {}, ("a-1", "a-2"), True),
        # A roll-out that gets all new sessions does not move this session.
        ("a-1", {"shares": {"a-2": 1.0}}, ("a-1", "a-2"), True),
        # Nor does it when the new version is withdrawn again.
        (
            "a-1",
            {"shares": {"a-2": 1.0}, "withdrawn": ["a-2"]},
            ("a-1", "a-2"),
            True,
        ),
        ("a-1", {"withdrawn": ["a-1"]}, ("a-1", "a-2"), False),
        # The workspace may no longer use the version.
        ("a-1", {}, ("a-2",), False),
        ("gone", {}, ("a-1", "a-2"), False),
    ],
)
def test_a_session_stays_unless_its_version_may_not(
    on, fields, versions, stays
):
    planned = plan(world_of(**fields), workspace_of(versions), "a", on)
    (step,) = planned.steps
    assert (step.version == on) is stays
    assert planned.moved_from == ("" if stays else on)


def test_a_session_of_a_model_taken_away_is_refused():
    workspace = workspace_of(models=["b"])
    with pytest.raises(LacewingdockError) as refused:
        plan(world_of(), workspace, "a", "a-1")
    assert refused.value.kind is ErrorKind.MODEL_NOT_ALLOWED


@settings(derandomize=True, deadline=None)
@given(
    name=st.sampled_from(NAMES),
    on=st.sampled_from([None, *VERSIONS, "gone"]),
    withdrawn=st.sets(st.sampled_from(VERSIONS)),
    allowed=st.sets(st.sampled_from(VERSIONS)),
    models=st.sets(st.sampled_from(["a", "b", "tour"])),
    shares=st.dictionaries(
        st.sampled_from(["a-1", "a-2"]), st.floats(0, 1), min_size=1
    ),
)
def test_never_a_version_that_may_not_run(
    name, on, withdrawn, allowed, models, shares
):
    world = world_of(withdrawn, shares)
    workspace = workspace_of(sorted(allowed), sorted(models))
    try:
        planned = plan(world, workspace, name, on)
    except LacewingdockError as error:
        assert error.ran == "no"
        # A session whose version may run is refused only if its model is not
        # allowed.
        assert on not in allowed - withdrawn or name not in models
        return
    assert planned.steps
    for step in planned.steps:
        assert step.version in allowed - withdrawn
    if on in allowed - withdrawn:
        assert [s.version for s in planned.steps] == [on]
