"""Tests of the decision whether a router reads a new connection."""

import random
import socket
import time
from types import SimpleNamespace

import pytest

from lacewingdock.components.gossip import Message
from lacewingdock.components.gossip.port import FANOUT
from lacewingdock.components.overload import fleet as fleet_module
from lacewingdock.components.overload.const import (
    FULL_S,
    MAX_QUEUED_S,
    SHED_ALL,
    SHED_FROM,
)
from lacewingdock.components.overload.fleet import FleetOverload
from lacewingdock.components.overload.guard import ConnectionGuard

CONNECTIONS = 1000


def build_guard(share, general=False):
    return ConnectionGuard(
        SimpleNamespace(share=share, busy=20),
        SimpleNamespace(is_general=lambda: general),
        random.Random(7),
    )


@pytest.fixture
def pair():
    found = socket.socketpair()
    yield found
    for one in found:
        one.close()


@pytest.mark.parametrize(
    ("share", "queued_s", "expected"),
    [
        (0.0, 0.0, 1.0),
        (SHED_FROM, 0.0, 1.0),
        ((SHED_FROM + SHED_ALL) / 2, 0.0, 0.5),
        (SHED_ALL, 0.0, 0.0),
        (1.0, 0.0, 0.0),
        # It waited too long, though the router seems to keep up.
        (0.0, MAX_QUEUED_S, 0.0),
    ],
)
def test_connections_are_closed_in_proportion(pair, share, queued_s, expected):
    guard = build_guard(share)
    admitted = sum(guard.admits(pair[0], queued_s) for _ in range(CONNECTIONS))
    assert admitted / CONNECTIONS == pytest.approx(expected, abs=0.05)
    assert guard.closed == CONNECTIONS - admitted


@pytest.mark.parametrize("sends", [b"", b"POST / HTTP/1.1\r\n"])
@pytest.mark.parametrize(("leaves", "admitted"), [(False, True), (True, False)])
def test_nothing_is_closed_while_all_are_overloaded(
    pair, sends, leaves, admitted
):
    """Guards against callers that go from one full router to the next."""
    guard = build_guard(1.0, general=True)
    pair[1].sendall(sends)
    if leaves:
        pair[1].close()
    assert guard.admits(pair[0], MAX_QUEUED_S) is admitted
    assert guard.closed == 0


def test_beginning_and_end_are_reviewed(pair):
    guard = build_guard(1.0)
    guard.admits(pair[0], 0.0)
    guard.review()
    assert guard.is_shedding
    guard.meter.share = 0.0
    guard.review()
    assert not guard.is_shedding


@pytest.mark.parametrize(
    ("share", "overloaded"),
    [(SHED_FROM, False), (SHED_ALL - 0.01, False), (SHED_ALL, True)],
)
def test_router_with_capacity_left_reports_no_overload(share, overloaded):
    """Guards against a skew that is taken for an overload of all routers."""
    assert build_guard(share).overloaded is overloaded


@pytest.mark.parametrize(
    ("routers", "overloaded", "others", "general"),
    [
        # Alone: nobody else could serve the caller.
        (1, 0, 0, True),
        (2, 0, 0, False),
        (2, 0, 1, False),
        (2, 1, 0, True),
        (5, 1, 3, False),
        # The other two have no requests, so they send nothing.
        (5, 1, 1, False),
        (5, 2, 2, True),
        (5, 4, 0, True),
        # In a large fleet a router hears a part of the others.
        (1200, FANOUT, 0, True),
        (1200, 3, 0, False),
        (1200, 10, 40, False),
        (1200, 30, 20, True),
    ],
)
def test_overload_is_general_if_most_others_report_it(
    monkeypatch, routers, overloaded, others, general
):
    found = FleetOverload(lambda: routers)
    for number in range(overloaded + others):
        name, is_full = f"r-{number}", number < overloaded
        found.receive(Message(name, 1, 1, overloaded=is_full))
    assert found.is_general() is general
    late = time.monotonic() + FULL_S + 0.01
    monkeypatch.setattr(fleet_module.time, "monotonic", lambda: late)
    assert found.is_general() is (routers == 1)


@pytest.mark.parametrize(
    ("messages", "general"),
    [
        ([(1, 1, False), (1, 2, True)], True),
        ([(1, 2, True), (1, 1, False)], True),
        ([(1, 2, False), (1, 1, True)], False),
        # The numbers of a later start begin anew.
        ([(1, 9, True), (2, 1, False)], False),
        ([(2, 1, False), (1, 9, True)], False),
    ],
)
def test_report_that_arrives_late_replaces_no_newer_one(messages, general):
    """Guards against: an earlier datagram that overwrites a later one."""
    found = FleetOverload(lambda: 2)
    for start, number, overloaded in messages:
        found.receive(Message("r-1", start, number, overloaded=overloaded))
    assert found.is_general() is general


@pytest.mark.parametrize(
    ("share", "general", "refused"),
    [
        (0.0, True, set()),
        (SHED_ALL, False, set()),
        # The least urgent first.
        ((SHED_FROM + SHED_ALL) / 2, True, set(range(5, 10))),
        (SHED_ALL, True, set(range(10))),
    ],
)
def test_requests_are_refused_by_priority(share, general, refused):
    """Guards against routers that all read more than they can serve."""
    guard = build_guard(share, general)
    assert {one for one in range(10) if guard.refuses(one)} == refused
