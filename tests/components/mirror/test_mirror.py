"""Tests of mirrors: outages, cut watches, dropped history, old copies."""

import math
import random
import threading
import time

import pytest

from lacewingdock.components.mirror import Mirror
from lacewingdock.components.mirror.copies import Copy
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.mirror.listener import PerObjectListener
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.sync import InstanceListener
from lacewingdock.const import RAN_NO
from lacewingdock.platform.eras import StoreEras
from lacewingdock.platform.object_api import HistoryGoneError, unavailable_error
from lacewingdock.platform.objects import (
    ObjectChange,
    ObjectChanges,
    Snapshot,
    StoredObject,
)

AWAY = unavailable_error("down", RAN_NO)
# A failed watch, and the failed call without a wait that follows it.
OUTAGE = (AWAY, AWAY)
SETTLE_S = 0.4


def entry(name, **changes):
    """Return the entry of an instance as the platform stores it."""
    spec = {
        "service": "svc",
        "address": "10.0.0.1:80",
        "zone": "d",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
        "cold_left_ms": 0,
        **changes,
    }
    return StoredObject(name, 1, spec)


def listed(revision, *names):
    """Return a complete list of instances."""
    return Snapshot(revision, {name: entry(name) for name in names})


def removed(revision, name):
    """Return the changes that remove an instance."""
    return ObjectChanges(revision, [ObjectChange(entry(name), True)])


class Script:
    """A store that returns given answers in order, and then is down."""

    transferred_at = -math.inf

    def __init__(self, *answers):
        self.answers = list(answers)
        self.eras = StoreEras()

    def _next(self):
        found = self.answers.pop(0) if self.answers else AWAY
        if isinstance(found, Exception):
            raise found
        return found

    def list_kind(self, *_args, **_kwargs):
        """Answer a list call."""
        return self._next()

    def watch_kind(self, *_args, **_kwargs):
        """Answer a watch call."""
        return self._next()


def mirror_of(*answers, copy=None):
    """Return a mirror of instances, its directory and its store health."""
    directory = Directory()
    health = StoreHealth(SETTLE_S)
    mirror = Mirror(
        "servers",
        Script(*answers),
        health,
        InstanceListener(directory),
        lambda *_: copy or Copy(sure=False),
        random.Random(1),
        lambda: 0.01,
    )
    return mirror, directory, health


def run(mirror):
    """Run a mirror until the store has returned all its answers."""
    stopping = threading.Event()
    mirror.pause.first_s = mirror.pause.limit_s = 0.001
    task = threading.Thread(target=mirror.run, args=(stopping,))
    task.start()
    while mirror.api.answers:
        stopping.wait(0.002)
    stopping.set()
    task.join()


@pytest.mark.parametrize(
    ("answers", "copy", "open_ones", "lapsed"),
    [
        # Without an outage, a missing entry means that the instance left.
        ([listed(5, "a", "b"), removed(6, "b")], None, {"a"}, set()),
        # A watch may be cut off at any time, and the call after it is
        # answered. With the cut taken for an outage, an instance got requests
        # 2.05 s after its entry was removed, as a watch was cut 0.2 s before.
        ([listed(5, "a", "b"), AWAY, removed(6, "b")], None, {"a"}, set()),
        (
            [listed(5, "a", "b"), AWAY, HistoryGoneError(), listed(9, "a")],
            None,
            {"a"},
            set(),
        ),
        # After an outage of the store, expired entries are kept as lapsed.
        ([listed(5, "a", "b"), *OUTAGE, removed(6, "b")], None, "ab", {"b"}),
        (
            [listed(5, "a", "b"), *OUTAGE, HistoryGoneError(), listed(9, "a")],
            None,
            "ab",
            {"b"},
        ),
        # Only this router was partitioned from the store. It took the end of
        # the partition for the end of an outage, and the entry for a lapsed
        # one, so that an instance got a request 2.1 s after it left.
        (
            [listed(5, "a", "b"), *OUTAGE, removed(6, "b")],
            Copy(sure=True),
            {"a"},
            set(),
        ),
        # Another router has a newer copy.
        (
            [listed(5, "a"), *OUTAGE],
            Copy(True, listed(7, "a", "c")),
            "ac",
            set(),
        ),
        # An older copy of another router changes nothing.
        (
            [listed(5, "a", "b"), *OUTAGE],
            Copy(True, listed(4, "a")),
            "ab",
            set(),
        ),
    ],
)
def test_instances_after_answers(answers, copy, open_ones, lapsed):
    mirror, directory, _ = mirror_of(*answers, copy=copy)
    run(mirror)
    assert set(directory.instances) == set(open_ones)
    found = {n for n, one in directory.instances.items() if one.lapsed}
    assert found == lapsed


def test_router_asks_others_after_a_full_partition():
    """Guards against a request to an instance 2.1 s after it left.

    A router is partitioned from the store and from all other routers; when it
    is back, the entry of an instance that left is missing. Without a report
    that the store had answered others, it kept the entry as lapsed for 2.3 s.
    """
    copies = [Copy(sure=False), Copy(sure=True)]
    mirror, directory, health = mirror_of(
        listed(5, "a", "b"), *OUTAGE, removed(6, "b")
    )
    mirror.pull = lambda *_: copies.pop(0) if copies else Copy(sure=False)
    for _ in range(4):
        mirror.round()
    assert not copies
    assert not health.doubtful
    directory.drop_lapsed()
    assert set(directory.instances) == {"a"}


def test_lapsed_entry_that_does_not_come_back_is_gone():
    mirror, directory, health = mirror_of(
        listed(5, "a", "b"), *OUTAGE, removed(6, "b")
    )
    run(mirror)
    assert health.doubtful
    directory.drop_lapsed()
    assert set(directory.instances) == {"a"}


def test_lapsed_entry_that_comes_back_is_kept():
    back = ObjectChanges(7, [ObjectChange(entry("b"), False)])
    mirror, directory, _ = mirror_of(
        listed(5, "a", "b"), *OUTAGE, removed(6, "b"), back
    )
    run(mirror)
    directory.drop_lapsed()
    assert set(directory.instances) == {"a", "b"}


def test_fault_in_a_listener_does_not_end_the_mirror():
    """Guards against a router that silently receives no further changes.

    An exception of the listener ended the task of the mirror.
    """
    mirror, directory, _ = mirror_of(
        listed(5, "a"),
        ObjectChanges(6, [ObjectChange(entry("b"), False)]),
        listed(7, "c"),
    )
    apply, faults = directory.apply, [ValueError("a fault")]

    def fail_once(found, *, doubtful):
        if faults:
            raise faults.pop()
        apply(found, doubtful=doubtful)

    mirror.listener.directory = type(
        "",
        (),
        {
            "apply": staticmethod(fail_once),
            "replace_all": directory.replace_all,
            "remove": directory.remove,
        },
    )
    run(mirror)
    assert not faults
    assert "a" in directory.instances


def test_fault_in_applying_another_routers_copy_does_not_end_the_mirror():
    """Guards against a router without further changes after an outage.

    The store does not answer, and the listener raises while another router's
    copy is applied. Only exceptions from the store's answers were handled.
    """
    mirror, directory, _ = mirror_of(
        listed(5, "a"),
        *OUTAGE,
        listed(9, "c"),
        copy=Copy(sure=True, snapshot=listed(7, "a", "b")),
    )
    replace, faults = mirror.listener.replace, [ValueError("a fault")]

    def fail_once(found, *, doubtful):
        if found.revision == 7 and faults:
            raise faults.pop()
        replace(found, doubtful=doubtful)

    mirror.listener = type("", (), {"replace": staticmethod(fail_once)})
    for _ in range(3):
        mirror.round()
    assert not faults
    mirror.revision = None
    mirror.round()
    assert set(directory.instances) == {"c"}


def test_faulty_entry_hides_no_other():
    bad = StoredObject("bad", 1, {"service": 3})
    odd = entry("odd", address="nowhere")
    found = Snapshot(5, {"bad": bad, "odd": odd, "a": entry("a")})
    mirror, directory, _ = mirror_of(found)
    run(mirror)
    assert set(directory.instances) == {"a"}


@pytest.mark.parametrize("stale", [True, False])
def test_only_watches_may_be_stale(stale):
    """A list decides what is gone, so it is never read from a replica."""
    asked = []

    class Asked(Script):
        def list_kind(self, *args, **kwargs):
            asked.append(("list", kwargs.get("stale", False)))
            return super().list_kind()

        def watch_kind(self, *args, **kwargs):
            asked.append(("watch", kwargs["stale"]))
            return super().watch_kind()

    mirror, _, _ = mirror_of()
    mirror.api = Asked(listed(5, "a"), removed(6, "a"))
    mirror.stale = stale
    run(mirror)
    assert asked[:2] == [("list", False), ("watch", stale)]


def test_objects_are_passed_on_one_by_one():
    """An object that a list lacks is kept; only a removal drops it."""
    taken, dropped = [], []
    found = PerObjectListener(
        lambda one: taken.append(one.name), lambda one: dropped.append(one.name)
    )
    for doubtful in (False, True):
        found.replace(listed(5, "a", "b"), doubtful=doubtful)
        found.change(ObjectChange(entry("c"), False), doubtful=doubtful)
        found.change(ObjectChange(entry("a"), True), doubtful=doubtful)
    assert taken == ["a", "b", "c"] * 2
    assert dropped == ["a"] * 2


@pytest.mark.parametrize(
    ("answers", "low_s", "high_s"),
    [
        # A first list does not show when its objects were written.
        ([listed(1, "a")], 0.0, 0.0),
        # A waiting watch returns a change at once.
        ([listed(1, "a"), removed(2, "a")], 0.0, 0.0),
        # A list after the history was dropped may show older changes.
        ([listed(1, "a"), HistoryGoneError(), listed(3, "b")], 0.04, 2.0),
    ],
)
def test_how_long_changes_may_have_gone_unseen(answers, low_s, high_s):
    """Guards against an order that ends late because it was observed late.

    Its deadline needs an upper bound on the time since it was placed.
    """
    mirror, *_ = mirror_of(*answers)
    for _ in answers[:2]:
        mirror.round()
        time.sleep(0.05)
    assert low_s <= mirror.unseen_s <= high_s
