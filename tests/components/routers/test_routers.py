"""Tests of the entries and status that routers publish in the store."""

import random
import time

import pytest

from lacewingdock.components.poison_requests.report import CrashReport
from lacewingdock.components.routers import (
    GONE_AFTER_S,
    LOSSES_VALID_S,
    Routers,
)
from lacewingdock.components.traffic_shifting.const import KIND_REPORTS
from lacewingdock.components.traffic_shifting.report import Report
from lacewingdock.components.traffic_shifting.reporter import Reporter
from lacewingdock.platform.object_api import ABSENT
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.router_entry import KIND_ROUTERS, RouterEntry
from tests.components.routers.store import Store


class Fleet:
    """Routers with a common store; `see` makes one read its objects."""

    def __init__(self, *names):
        self.store = Store()
        self.statuses = []
        self.routers = {}
        for name in names:
            self.start(name, "1")

    def start(self, name, incarnation):
        """Start or restart a router."""
        entry = RouterEntry(f"{name}:1", incarnation)
        found = Routers(self.store, name, entry, lambda: (), random.Random(1))
        found.on_status = lambda router, status: self.statuses.append(
            (name, router, status.losses)
        )
        self.routers[name] = found
        assert found.announce()
        return found

    def see(self, name):
        """Make a router read the objects of all routers."""
        for (kind, _), stored in self.store.objects.items():
            if kind == KIND_ROUTERS:
                self.routers[name].take(stored)


def test_losses_reach_the_others():
    fleet = Fleet("r-1", "r-2")
    assert fleet.routers["r-1"].publish(CrashReport({"f": ["i-1"]}))
    fleet.see("r-2")
    assert fleet.statuses == [("r-2", "r-1", {"f": ["i-1"]})]
    # A further announcement keeps the status.
    assert fleet.routers["r-1"].announce()
    fleet.see("r-2")
    assert fleet.statuses[-1] == ("r-2", "r-1", {"f": ["i-1"]})


@pytest.mark.parametrize("shift_s", [0.0, 200.0, -200.0, 301.0, -301.0])
def test_recent_status_of_an_earlier_incarnation_is_valid(monkeypatch, shift_s):
    """Guards against a poison request that all routers forget at once.

    All routers are killed, or lose power; the request comes again and crashes
    three more engines, since the stored status of earlier incarnations was
    ignored. An old status may be outdated and stays ignored.
    """
    fleet = Fleet("r-1", "r-2")
    fleet.routers["r-1"].publish(CrashReport({"f": ["i-1"]}))
    now = time.time()
    monkeypatch.setattr(time, "time", lambda: now + shift_s)
    fleet.start("r-1", "2")
    losses = {"f": ["i-1"]} if abs(shift_s) <= LOSSES_VALID_S else {}
    fleet.see("r-2")
    assert fleet.statuses == [("r-2", "r-1", losses)]
    fleet.statuses.clear()
    fleet.see("r-1")
    fleet.see("r-1")
    own = [one for one in fleet.statuses if one[1] == "r-1"]
    assert own == [("r-1", "r-1", losses)]
    # The status of the new incarnation replaces it.
    assert fleet.routers["r-1"].publish(CrashReport({"g": ["i-2"]}))
    fleet.statuses.clear()
    fleet.see("r-1")
    assert [one for one in fleet.statuses if one[1] == "r-1"] == []
    fleet.statuses.clear()
    fleet.see("r-2")
    assert fleet.statuses == [("r-2", "r-1", {"g": ["i-2"]})]


def test_status_of_an_earlier_incarnation_without_a_time_is_invalid():
    fleet = Fleet("r-1", "r-2")
    router = fleet.routers["r-1"]
    told = {"incarnation": "0", "losses": {"f": ["i-1"]}}
    fleet.store.write_status(KIND_ROUTERS, "r-1", told, router.revision, "")
    fleet.see("r-2")
    assert fleet.statuses == [("r-2", "r-1", {})]


@pytest.mark.parametrize(
    ("name", "host", "known"),
    [
        ("r-2", "r-2", True),
        ("r-2", "r-3", False),
        # An unknown name, an empty one, and its own, which no other may use.
        ("r-9", "r-2", False),
        ("", "", False),
        ("r-1", "r-1", False),
    ],
)
def test_router_has_the_address_of_its_entry(name, host, known):
    fleet = Fleet("r-1", "r-2", "r-3")
    fleet.see("r-1")
    assert fleet.routers["r-1"].is_at(name, host) is known


def test_a_write_whose_answer_was_lost_is_written_over():
    fleet = Fleet("r-1")
    router = fleet.routers["r-1"]
    fleet.store.write_status(
        KIND_ROUTERS, "r-1", {"incarnation": "1"}, router.revision, ""
    )
    assert router.publish(CrashReport({"f": ["i-1"]}))
    fleet.store.fails = True
    assert not router.publish(CrashReport({}))
    assert not router.announce()


@pytest.mark.parametrize("status", [7, {"incarnation": 3}, {"losses": "x"}])
def test_invalid_status_is_ignored(status):
    fleet = Fleet("r-1", "r-2")
    key = (KIND_ROUTERS, "r-1")
    fleet.store.objects[key].status = status
    fleet.see("r-2")
    assert fleet.statuses == []
    assert fleet.routers["r-2"].count() == 2


def test_routers_that_are_gone_are_removed(monkeypatch):
    """Guards against a retry budget that shrinks as machines are replaced.

    Each router's object stayed forever, and the fleet's retry budget was
    divided by the number of all routers that had ever existed.
    """
    fleet = Fleet("r-1", "r-2", "r-3")
    now = time.time()
    monkeypatch.setattr(time, "time", lambda: now + GONE_AFTER_S + 5)
    assert fleet.routers["r-2"].announce()
    fleet.see("r-1")
    fleet.routers["r-1"].remove_gone()
    names = {name for _, name in fleet.store.objects}
    assert names == {"r-1", "r-2"}
    entry = fleet.routers["r-3"].entry
    fleet.routers["r-1"].drop(StoredObject("r-3", 99, spec=entry))
    assert fleet.routers["r-1"].count() == 2
    # A router that was only unreachable announces itself again.
    assert not fleet.routers["r-3"].announce()
    assert fleet.routers["r-3"].announce()
    fleet.see("r-1")
    assert fleet.routers["r-1"].count() == 3


def test_a_router_that_came_back_meanwhile_is_not_removed(monkeypatch):
    fleet = Fleet("r-1", "r-2")
    fleet.see("r-1")
    now = time.time()
    monkeypatch.setattr(time, "time", lambda: now + GONE_AFTER_S + 5)
    assert fleet.routers["r-2"].announce()
    fleet.routers["r-1"].remove_gone()
    assert (KIND_ROUTERS, "r-2") in fleet.store.objects


def test_reports_of_routers_that_are_gone_are_removed():
    store = Store()
    reporter = Reporter(store, "r-1", "1", lambda: 1.0, lambda: 1.0)
    for router in ("r-1", "r-2"):
        report = Report("svc", "v2", router, "1")
        spec = {"service": "svc", "target": "v2", "router": router}
        spec["incarnation"] = "1"
        store.overwrite(KIND_REPORTS, report.name, spec, ABSENT, "")
    store.overwrite(KIND_REPORTS, "odd", {"x": 1}, ABSENT, "")
    reporter.remove_gone(list(store.objects.values()), {"r-1"})
    assert [name for _, name in store.objects] == ["svc.r-1"]
