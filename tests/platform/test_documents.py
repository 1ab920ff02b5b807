"""Tests of decoding the documents in the platform's store."""

import copy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.unknown_names import UnknownNames
from lacewingdock.platform import documents
from lacewingdock.platform.documents import (
    MAX_COLD_S,
    read_configuration,
    read_instance,
    read_shift,
    shift_status,
)
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.backend import ShiftState
from lacewingdock.world.route import Caller, Repeat, Target
from tests.fuzz.common import json_values

ROUTE = {
    "name": "r",
    "host": "H.example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 20000,
    "goal_ms": 800,
    "gap_target_ms": 600,
    "priority": 1,
    "sizes": ["s", "l"],
    "service": "svc",
    "max_attempts": 3,
    "public": False,
    "resumable": True,
}
CONFIG = {
    "version": 7,
    "routes": [
        ROUTE,
        {**ROUTE, "name": "deep", "path_prefix": "/a/b/"},
        {
            **ROUTE,
            "name": "split",
            "path_prefix": "/s/",
            "kind": "non_idempotent",
            "service": "",
            "split": [
                {"service": "x", "weight": 90},
                {"service": "y", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "svc",
            "max_conns": 290,
            "engine": {
                "models": [
                    {"name": "s", "cost": 0.1},
                    {"name": "l", "cost": 0.2},
                ]
            },
        }
    ],
    "limits": {"max_header_bytes": 99, "idle_timeout_ms": 1500},
    "tenants": [{"name": "w", "api_keys": ["k1", "k2"], "priority": 1}],
}


def table(**changes):
    return read_configuration(StoredObject("main", 3, {**CONFIG, **changes}))


def test_configuration():
    found = table()
    route = found.find("h.EXAMPLE", "/a/x")
    assert (route.name, route.repeat) == ("r", Repeat.RESUMABLE)
    assert (route.timeout_s, route.goal_s, route.gap_s) == (20.0, 0.8, 0.6)
    assert route.models == ("s", "l")
    assert found.callers["k2"] == Caller("w", 1)
    assert (found.limits.header_bytes, found.limits.idle_s) == (99, 1.5)
    assert found.services["svc"].relative_cost("s") == 0.5


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h.example", "/a/b/c", "deep"),
        ("h.example", "/a/b", "r"),
        ("h.example", "/a", None),
        ("other", "/a/", None),
        ("h.example", "/s/", "split"),
    ],
)
def test_longest_prefix(host, path, name):
    route = table().find(host, path)
    assert (route.name if route else None) == name


@pytest.mark.parametrize(
    ("kind", "resumable", "repeat"),
    [
        ("idempotent", False, Repeat.IDEMPOTENT),
        ("non_idempotent", True, Repeat.ONCE),
        ("streaming", False, Repeat.ONCE),
        ("streaming", True, Repeat.RESUMABLE),
        # A kind that a later version of the platform adds runs at most once.
        ("of a later version", True, Repeat.ONCE),
    ],
)
def test_repeat_policy(kind, resumable, repeat):
    one = {**ROUTE, "kind": kind, "resumable": resumable}
    assert table(routes=[one]).routes[0].repeat is repeat


def test_split():
    assert table().find("h.example", "/s/").targets == (
        Target("x", 90),
        Target("y", 10),
    )


def test_without_workspaces_no_key_is_required():
    spec = copy.deepcopy(CONFIG)
    del spec["tenants"]
    assert read_configuration(StoredObject("main", 1, spec)).callers is None


SERVER = {
    "service": "svc",
    "address": "10.0.0.9:80",
    "zone": "hall",
    "version": "v1",
    "slots": 48,
    "state": "ready",
    "sequence": 4,
    "cold_left_ms": 0,
}


@pytest.mark.parametrize(
    ("state", "leaving"), [("ready", False), ("draining", True)]
)
def test_instance(state, leaving):
    found = read_instance(StoredObject("i-1", 2, {**SERVER, "state": state}))
    assert (found.id, found.host, found.port) == ("i-1", "10.0.0.9", 80)
    assert (found.failure_domain, found.leaving) == ("hall", leaving)


@pytest.mark.parametrize(
    ("left_ms", "left_s"),
    [(0, 0.0), (2500, 2.5), (-7, 0.0), (1e300, MAX_COLD_S)],
)
def test_cold_instance(left_ms, left_s):
    spec = {**SERVER, "cold_left_ms": left_ms}
    found = read_instance(StoredObject("i-1", 9, spec, created=4))
    assert (found.cold_left_s, found.created) == (left_s, 4)


def test_rate_limit_of_a_cold_instance():
    services = [
        {"name": "svc", "cold_start_s": 3.0, "cold_per_s": 18.0},
        {"name": "odd", "cold_start_s": -1, "cold_per_s": -1},
        {"name": "old"},
    ]
    found = table(services=services).services
    rates = {
        name: (one.cold_start_s, one.cold_per_s) for name, one in found.items()
    }
    assert rates == {"svc": (3.0, 18.0), "odd": (0.0, 0.0), "old": (0.0, 0.0)}


@pytest.mark.parametrize(
    ("status", "state"),
    [
        (None, ShiftState.ORDERED),
        ({}, ShiftState.ORDERED),
        ({"state": "running", "target": "v2"}, ShiftState.RUNNING),
        ({"state": "completed", "target": "v2"}, ShiftState.COMPLETED),
        # The status of an earlier order.
        ({"state": "completed", "target": "v1"}, ShiftState.ORDERED),
        ({"state": "odd", "target": "v2"}, ShiftState.ORDERED),
    ],
)
def test_rollout_order(status, state):
    spec = {"service": "svc", "target": "v2", "duration_s": 12}
    order = read_shift(StoredObject("svc", 5, spec, status))
    assert (order.state, order.duration_s) == (state, 12.0)
    assert shift_status(order, ShiftState.RUNNING) == {
        "state": "running",
        "target": "v2",
    }


@given(
    json_values
    | st.fixed_dictionaries({"version": json_values, "routes": json_values})
)
def test_invalid_documents_raise_coded_errors(spec):
    for read in (read_configuration, read_instance, read_shift):
        try:
            read(StoredObject("main", 1, spec, spec))
        except LacewingdockError as error:
            assert error.kind is ErrorKind.BAD_MANIFEST


@pytest.mark.parametrize(
    ("changes", "names"),
    [
        ({}, []),
        # Known fields that are ignored.
        ({"routes": [{**ROUTE, "sticky": True}]}, []),
        ({"services": [{"name": "svc", "tls": False}]}, []),
        ({"mood": 1}, ["configuration.mood"]),
        ({"routes": [ROUTE, {**ROUTE, "mood": 1}]}, ["route.mood"]),
        ({"services": [{"name": "svc", "mood": 1}]}, ["service.mood"]),
        (
            {"services": [{"name": "svc", "engine": {"mood": 1}}]},
            ["engine.mood"],
        ),
        ({"tenants": [{"name": "w", "mood": 1}]}, ["tenant.mood"]),
    ],
)
def test_unknown_fields_are_recorded(monkeypatch, changes, names):
    """Guards against not noticing a field that the platform adds.

    A new field of an object asked for something, and a rule was broken before
    the field was known.
    """
    found = UnknownNames("object")
    monkeypatch.setattr(documents, "unknown_fields", found)
    table(**changes)
    assert sorted(found.counts()) == names


def test_unknown_field_of_an_entry_is_recorded(monkeypatch):
    found = UnknownNames("object")
    monkeypatch.setattr(documents, "unknown_fields", found)
    read_instance(StoredObject("i-1", 3, {**SERVER, "mood": 1}))
    assert found.counts() == {"server.mood": 1}
