"""Tests of a mirror whose answers take long on a slow link."""

import math
import random
import threading

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lacewingdock.components.mirror import LINK_BUSY_S, MIN_WATCH_BYTES, Mirror
from lacewingdock.components.mirror.copies import Copy
from lacewingdock.components.mirror.health import StoreHealth
from lacewingdock.components.mirror.listener import PerObjectListener
from lacewingdock.const import RAN_NO
from lacewingdock.daemons.router_timing import transfer_s, watch_s
from lacewingdock.platform.eras import StoreEras
from lacewingdock.platform.object_api import LongAnswerError, unavailable_error
from lacewingdock.platform.objects import (
    ObjectChange,
    ObjectChanges,
    Snapshot,
    StoredObject,
)
from lacewingdock.world.host import Bounds
from tests.virtual_time import VirtualTime

BOUNDS = Bounds(contact_s=3.0, drain_s=2.0, apply_s=2.0)
# Longest object that the platform stores, and a link that carries it in less
# than a third of the bound.
MAX_BYTES = 1_048_576
BYTES_PER_S = 625_000
TRIP_S = 0.006


class SlowStore:
    """A store behind a slow link, with the versions of one object.

    Attributes:
        time: The virtual time.
        versions: Moment and length in bytes of each version, in order.
        transferred: Bytes that passed the link.
        transferred_at: As for `ObjectApi`.
    """

    transferred_at = -math.inf

    def __init__(self, time, versions):
        self.time = time
        self.versions = versions
        self.eras = StoreEras(time)
        self.transferred = 0

    def revision(self):
        """Return the number of versions so far."""
        return sum(at <= self.time.now() for at, _ in self.versions)

    def stored(self, revision):
        """Return a version of the object."""
        _, size = self.versions[revision - 1]
        return StoredObject("main", revision, None, size=size)

    def list_kind(self, _kind, _purpose, *, transfer_s, **_):
        """Answer a list call."""
        self.time.sleep(TRIP_S)
        revision = self.revision()
        found = self.stored(revision)
        self._transfer(found.size, transfer_s)
        return Snapshot(revision, {"main": found})

    def watch_kind(
        self, _kind, after, wait_s, _purpose, *, transfer_s, max_bytes, **_
    ):
        """Answer a watch call."""
        self.time.sleep(TRIP_S)
        until = self.time.now() + wait_s
        later = [at for at, _ in self.versions[after:]]
        ready = min([*later, until])
        self.time.sleep(max(ready - self.time.now(), 0.0))
        revision = max(self.revision(), after)
        found = [self.stored(one) for one in range(after + 1, revision + 1)]
        length = sum(one.size for one in found)
        if length > max_bytes:
            raise LongAnswerError(length)
        self._transfer(length, transfer_s)
        return ObjectChanges(
            revision, [ObjectChange(one, removed=False) for one in found]
        )

    def _transfer(self, length, transfer_s):
        seconds = length / BYTES_PER_S
        self.time.sleep(min(seconds, transfer_s))
        self.transferred += length
        if seconds > transfer_s:
            raise unavailable_error("too slow", RAN_NO)


def mirror_of(store, time, health=None):
    """Return a mirror of the store's object, and the revisions it applied."""
    taken = []
    mirror = Mirror(
        "config",
        store,
        health or StoreHealth(2.0, clock=time),
        PerObjectListener(
            lambda stored: taken.append((time.now(), stored.revision))
        ),
        lambda *_: Copy(sure=False),
        random.Random(1),
        lambda: watch_s(BOUNDS),
        lambda: 0.25,
        clock=time,
    )
    mirror.transfer_s = lambda: transfer_s(BOUNDS)
    return mirror, taken


@given(
    gaps=st.lists(
        st.floats(0.0, 4.0) | st.floats(0.0, 0.5), min_size=1, max_size=30
    ),
    sizes=st.lists(
        st.sampled_from([1_000, 400_000, MAX_BYTES]), min_size=30, max_size=30
    ),
)
# Six versions within the time that one takes, and a change at a watch's end.
@example([3.0, *[0.4] * 6], [1_000, *[MAX_BYTES] * 29])
@example([4.4] * 4, [1_000, *[MAX_BYTES] * 29])
@settings(derandomize=True, deadline=None, max_examples=150)
def test_newest_version_is_in_force_in_time_whatever_its_size(gaps, sizes):
    """Guards against: versions that never arrive on a link that carries one."""
    time, at, versions = VirtualTime(), 0.0, [(0.0, 1_000)]
    for gap, size in zip(gaps, sizes, strict=False):
        at += gap
        versions.append((at, size))
    store = SlowStore(time, versions)
    mirror, taken = mirror_of(store, time)
    time.start(mirror.run, threading.Event())
    bound_s = BOUNDS.contact_s + BOUNDS.apply_s
    time.run(at + bound_s + 0.1)
    for number, (written_at, _) in enumerate(versions, 1):
        in_force = [when for when, revision in taken if revision >= number]
        assert in_force and min(in_force) <= written_at + bound_s


def test_versions_close_together_cost_the_link_few_copies():
    """Guards against: a link filled with versions of which one counts."""
    time = VirtualTime()
    versions = [(0.0, 1_000)]
    versions += [(5.0 + number / 10, MAX_BYTES) for number in range(20)]
    store = SlowStore(time, versions)
    mirror, taken = mirror_of(store, time)
    time.start(mirror.run, threading.Event())
    time.run(20.0)
    assert taken[-1][1] == len(versions)
    assert store.transferred <= 4 * MAX_BYTES


def test_many_changes_of_a_small_copy_are_watched():
    """Guards against: a list for each burst of small changes."""
    time = VirtualTime()
    versions = [(number / 50, 1_000) for number in range(60)]
    store = SlowStore(time, versions)
    mirror, _ = mirror_of(store, time)
    listed, list_kind = [], store.list_kind

    def counted(*args, **kwargs):
        listed.append(time.now())
        return list_kind(*args, **kwargs)

    store.list_kind = counted
    time.start(mirror.run, threading.Event())
    time.run(5.0)
    assert len(listed) == 1
    assert sum(size for _, size in versions) < MIN_WATCH_BYTES


@pytest.mark.parametrize(
    ("transferred_s_ago", "away"),
    [(math.inf, True), (LINK_BUSY_S + 0.1, True), (LINK_BUSY_S / 2, False)],
)
def test_full_link_is_no_outage(transferred_s_ago, away):
    """Guards against: entries doubted, and kept, while the store answers."""
    time = VirtualTime()
    health = StoreHealth(2.0, clock=time)
    store = SlowStore(time, [(0.0, 1_000)])
    mirror, _ = mirror_of(store, time, health)

    def fail(*_, **__):
        raise unavailable_error("no answer", RAN_NO)

    store.list_kind = fail
    store.transferred_at = time.now() - transferred_s_ago
    mirror.round()
    assert health.away is away
